package io.camphordrum.core.serving

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.Member
import io.camphordrum.core.Rendezvous

/** Describes a registered daemon. */
public data class RegisteredDaemon(
    public val member: Member,
    public val dataCentre: DataCentreId,
    public val peerAddress: String,
) {
    /** Name of the machine of the daemon, as stored in an order right. */
    public val machine: String get() = "${member.instance.name}@${peerAddress.substringBeforeLast(':')}"
}

/** Tracks the registered daemons, when each was last heard from, and their charges received directly or forwarded. */
internal class PeerTable(private val self: Member, private val startedNanos: Long) {
    private class ReportedCharges(
        val member: Member,
        var sequence: Long,
        var receivedNanos: Long,
        var charged: Map<String, Long>,
    )

    private val registered = HashMap<String, RegisteredDaemon>()
    private val directNanos = HashMap<String, Long>()

    // When a relay last reported a daemon as live.
    private val relayedNanos = HashMap<String, Long>()
    private val charges = HashMap<String, ReportedCharges>()

    // Ages of the notices that each other daemon has received, as reported by it.
    private val noticeAgesMillis = HashMap<String, Map<String, Long>>()

    /** Number of registered daemons, including this one. */
    val knownCount: Int get() = maxOf(1, registered.size + if (self.instance.name in registered) 0 else 1)

    /** Whether the fleet is too large for every daemon to send notices to every other one. */
    val usesRelays: Boolean get() = knownCount > MAX_MESH_DAEMONS

    var others: List<RegisteredDaemon> = emptyList()
        private set

    /** Number of registered daemons by data centre. */
    var dataCentreSizes: Map<String, Int> = emptyMap()
        private set

    private val liveTimeoutNanos: Long get() = if (usesRelays) RELAYED_LIVE_TIMEOUT_NANOS else LIVE_TIMEOUT_NANOS

    fun replaceRegistered(daemons: Collection<RegisteredDaemon>) {
        registered.clear()
        daemons.associateByTo(registered) { it.member.instance.name }
        others = registered.values.filter { it.member.instance != self.instance }
        dataCentreSizes = registered.values.groupingBy { it.dataCentre.name }.eachCount()
    }

    fun get(daemon: String): RegisteredDaemon? = registered[daemon]

    fun inDataCentre(id: DataCentreId): List<RegisteredDaemon> = registered.values.filter { it.dataCentre == id }

    /** Records a notice received from its sender; returns whether its charges are new. */
    fun receive(now: Long, notice: ServingNotice): Boolean {
        directNanos[notice.sender.instance.name] = now
        noticeAgesMillis[notice.sender.instance.name] = notice.noticeAgesMillis
        return recordCharges(now, notice.sender, notice.sequence, notice.charged)
    }

    /** Records that a relay reported [daemon] as live. */
    fun recordRelayed(now: Long, daemon: String) {
        relayedNanos[daemon] = now
    }

    /** Returns whether a notice of [daemon] itself was received recently. */
    fun isHeardDirectly(now: Long, daemon: String): Boolean =
        directNanos[daemon]?.let { now - it < DIRECT_TIMEOUT_NANOS } == true

    /** Excludes [nanos] in which this process did not run from all timeouts. */
    fun excludePause(nanos: Long) {
        for (times in listOf(directNanos, relayedNanos)) times.replaceAll { _, receivedNanos -> receivedNanos + nanos }
        for (reported in charges.values) reported.receivedNanos += nanos
    }

    /** Returns whether [daemon] is live but has received no recent notice of this one: the connection is broken. */
    fun isOutboundBroken(now: Long, daemon: String): Boolean {
        val ages = noticeAgesMillis[daemon] ?: return false
        if (!isLive(now, daemon)) return false
        return (ages[self.instance.name] ?: return false) > MAX_NOTICE_AGE_MILLIS
    }

    /** Records charges received directly or through another daemon; returns whether they are new. */
    fun recordCharges(receivedNanos: Long, member: Member, sequence: Long, charged: Map<String, Long>): Boolean {
        if (member.instance == self.instance) return false
        val previous = charges[member.instance.name]
        val newer = previous == null ||
            previous.member.incarnation < member.incarnation ||
            (previous.member.incarnation == member.incarnation && previous.sequence < sequence)
        if (newer) charges[member.instance.name] = ReportedCharges(member, sequence, receivedNanos, charged)
        return newer
    }

    fun isLive(now: Long, daemon: String): Boolean =
        daemon == self.instance.name || lastReceivedNanos(daemon)?.let { now - it < liveTimeoutNanos } == true

    /** Returns the time since [daemon] was last heard from, or since the start of this process if it never was. */
    fun silenceNanos(now: Long, daemon: String): Long = now - (lastReceivedNanos(daemon) ?: startedNanos)

    fun liveDaemons(now: Long): List<RegisteredDaemon> =
        registered.values.filter { isLive(now, it.member.instance.name) }

    /** Returns the number of daemons whose charges are recent enough to share limits with them, including this one. */
    fun reachableCount(now: Long): Int = 1 + others.count { other ->
        if (usesRelays) {
            isLive(now, other.member.instance.name)
        } else {
            charges[other.member.instance.name]?.let { now - it.receivedNanos < CHARGES_MAX_AGE_NANOS } == true
        }
    }

    /**
     * Returns this daemon's share of the [bound] operations that the fleet may do for [key].
     *
     * If the bound is below the number of daemons, the first live daemons by rank get one operation each.
     */
    fun evenShare(now: Long, key: String, bound: Double): Double {
        if (bound >= knownCount) return bound / knownCount
        val ranked = Rendezvous.order(key, liveDaemons(now)) { it.member.instance.name }
        val rank = ranked.indexOfFirst { it.member.instance == self.instance }
        return if (rank < bound.toInt()) 1.0 else 0.0
    }

    fun directNoticeAgesMillis(now: Long): Map<String, Long> =
        directNanos.mapValues { (_, nanos) -> (now - nanos) / 1_000_000 }

    /** Returns the recent charges of daemons whose notices do not reach [receiver]. */
    fun chargesToRelay(now: Long, receiver: String): List<RelayedCharges> {
        val ages = noticeAgesMillis[receiver] ?: return emptyList()
        return charges.values
            .filter { it.member.instance.name != receiver && now - it.receivedNanos < CHARGES_MAX_AGE_NANOS }
            .filter { (ages[it.member.instance.name] ?: Long.MAX_VALUE) > MAX_NOTICE_AGE_MILLIS }
            .map { RelayedCharges(it.member, it.sequence, (now - it.receivedNanos) / 1_000_000, it.charged) }
    }

    private fun lastReceivedNanos(daemon: String): Long? {
        val direct = directNanos[daemon] ?: return relayedNanos[daemon]
        return maxOf(direct, relayedNanos[daemon] ?: direct)
    }

    private companion object {
        // In a larger fleet, direct notices between all daemons would cost too much traffic.
        const val MAX_MESH_DAEMONS = 16

        // Three notices between data centres.
        const val LIVE_TIMEOUT_NANOS = 1_600_000_000L

        // Three notices through two relays, plus the time until the loss of a relay is detected.
        const val RELAYED_LIVE_TIMEOUT_NANOS = 2_200_000_000L

        // Four notices to a relay.
        const val DIRECT_TIMEOUT_NANOS = 1_100_000_000L

        // In a longer time, a daemon may have charged more than the slack of a rate limit allows.
        const val CHARGES_MAX_AGE_NANOS = 1_300_000_000L

        const val MAX_NOTICE_AGE_MILLIS = 1_100L
    }
}
