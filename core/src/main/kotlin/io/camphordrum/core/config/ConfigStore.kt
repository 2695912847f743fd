package io.camphordrum.core.config

import kotlinx.serialization.StringFormat

/**
 * Loads revisions from the platform's objects and moves the root when an operator submits a change.
 *
 * ```kotlin
 * val store = ConfigStore(Json)
 * run(store.load(clock.nanos()))                    // at start, and whenever the root's watch fires
 * run(store.submit(clock.nanos(), change))          // ends with StoreEffect.Submitted
 * ```
 *
 * @param format the form of stored objects; the same for the whole fleet.
 * @param seed seeds the jitter of retries.
 */
public class ConfigStore(
    private val format: StringFormat,
    private val options: StoreOptions = StoreOptions(),
    seed: Long = 0,
) {
    private val random = kotlin.random.Random(seed)

    /** The newest revision known to be valid. */
    public var tree: Tree = Tree.empty()
        private set

    /** Monotonic time of the last read that confirmed [tree] or replaced it; null before the first. */
    public var confirmedNanos: Long? = null
        private set

    /** Reads the root and installs its revision when it is newer. */
    public fun load(now: Long): List<StoreEffect> = TODO("$now $format $options $random")

    /** Submits [change]; the outcome follows as [StoreEffect.Submitted]. */
    public fun submit(now: Long, change: Change): List<StoreEffect> = TODO("$now $change")

    /** Takes over a [newer] revision that came from a peer; an older one is ignored. */
    public fun adopt(now: Long, newer: Tree): List<StoreEffect> = TODO("$now $newer")

    /** Reads the newest [limit] change records; the answer follows as [StoreEffect.History] with [query]. */
    public fun history(now: Long, query: Long, limit: Int): List<StoreEffect> = TODO("$now $query $limit")

    /** Takes the outcome of [StoreEffect.ReadObject]. */
    public fun objectRead(now: Long, request: Long, outcome: ReadOutcome): List<StoreEffect> =
        TODO("$now $request $outcome")

    /** Takes the outcome of [StoreEffect.WriteObject]. */
    public fun objectWritten(now: Long, request: Long, outcome: WriteOutcome): List<StoreEffect> =
        TODO("$now $request $outcome")

    /** Retries what is due; call at least every 100 ms. */
    public fun tick(now: Long): List<StoreEffect> = TODO("$now")
}
