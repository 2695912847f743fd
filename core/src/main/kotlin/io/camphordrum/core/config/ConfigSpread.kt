package io.camphordrum.core.config

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.Member
import kotlinx.serialization.StringFormat

/**
 * Spreads revisions between daemons and catches up from peers.
 *
 * ```kotlin
 * val spread = ConfigSpread(self, DataCentreId("a"), Json)
 * spread.peers(mapOf(DataCentreId("a") to members))
 * run(spread.installed(now, tree, records))   // after StoreEffect.Installed
 * run(spread.receive(now, from, message))
 * ```
 *
 * @param format the form of chunks; the same as that of [ConfigStore].
 * @param seed seeds the choice of the peers that notices start with.
 */
public class ConfigSpread(
    private val self: Member,
    private val dataCentre: DataCentreId,
    private val format: StringFormat,
    private val options: SpreadOptions = SpreadOptions(),
    private val seed: Long = 0,
) {
    /** The newest revision known to be valid. */
    public var tree: Tree = Tree.empty()
        private set

    /** Monotonic time at which a peer last confirmed a revision; null before the first. */
    public var confirmedNanos: Long? = null
        private set

    /** Sets the peers by data centre; the own data centre is among them. */
    public fun peers(peers: Map<DataCentreId, List<Member>>): Unit =
        TODO("$peers $self $dataCentre $format $options $seed")

    /** Takes over a revision that came from the platform and pushes [records] to peers. */
    public fun installed(now: Long, newer: Tree, records: List<ChangeRecord>): List<SpreadEffect> =
        TODO("$now $newer $records")

    /** Takes a message of a peer; it may be late, duplicated or out of order. */
    public fun receive(now: Long, from: Member, message: ConfigMessage): List<SpreadEffect> =
        TODO("$now $from $message")

    /** Sends the notices and repeats the fetches that are due; call at least every 100 ms. */
    public fun tick(now: Long): List<SpreadEffect> = TODO("$now")
}
