package io.camphordrum.core.serving

import io.camphordrum.core.load.EndpointFacts

/** Tracks the models, the requests in flight and the recent answers of one endpoint as seen by this daemon. */
internal class EndpointState(var record: EndpointRecord) {
    private class PeerLoad(val load: EndpointLoad, val receivedNanos: Long)

    val id get() = record.id

    /** What daemons observed in the answers of this endpoint. */
    val facts = EndpointFacts()

    /** Adapter versions by adapter, for each base model that the endpoint holds. */
    val held = HashMap<String, HashMap<String, Int>>()

    /** Name of the daemon that reported owning this endpoint. */
    var owner: String? = null

    /** When the owner last reported this endpoint. */
    var ownerReportedNanos = 0L

    /** Adapter loads that the owner has queued for this endpoint. */
    var ownerQueuedLoads = 0

    /** Whether the owner may send orders now; without a valid right it cannot load adapters. */
    var ownerMayOrder = false

    /** Prompt tokens queued for a turn, as last reported by the owner. */
    var queuedTurnTokens = 0

    /** Prompt tokens of this daemon's pending turn requests, by request id. */
    val requestedTurns = HashMap<String, Int>()

    /** Requests of this daemon in flight at this endpoint, whether or not their answer has begun. */
    val openRequests: Int get() = running.size + unanswered.size

    /** Requests of this daemon whose answer has begun, by request id. */
    val running = HashMap<String, Work>()

    /** Requests of this daemon that were sent and whose answer has not begun, by request id. */
    val unanswered = HashMap<String, Work>()

    /** Expected time to read the prompts of the unanswered requests, by request id. */
    val expectedReadMillis = HashMap<String, Double>()

    /** How much longer the requests of this daemon take than without the queue found at their sending, by request id. */
    val queueFactors = HashMap<String, Double>()

    /** No request is sent before this time, because the endpoint requested a pause. */
    var pausedUntilNanos = Long.MIN_VALUE / 2

    /** Rate limit that the endpoint announces in its answers. */
    val announcedLimit = AnnouncedLimit()

    /** No permit is expected before this time. */
    var atLimitUntilNanos = Long.MIN_VALUE / 2

    /** When the next caller that is refused because no permit is expected may return. */
    var callersReturnNanos = Long.MIN_VALUE / 2

    var coldUntilNanos = 0L
    private val peerLoads = HashMap<String, PeerLoad>()
    private val coldSends = ArrayDeque<Long>()
    private val coldGrants = ArrayDeque<Long>()
    private var backoffUntilNanos = Long.MIN_VALUE
    private var backoffSteps = 0

    /** Ratio of actual to expected time until the first event. */
    var slowness = 1.0

    /** When the record was first found missing; null while it is registered. */
    var missingSinceNanos: Long? = null

    fun recordPeerLoad(now: Long, daemon: String, load: EndpointLoad?) {
        if (load == null) peerLoads.remove(daemon) else peerLoads[daemon] = PeerLoad(load, now)
    }

    // Times and prompt tokens of turns granted to other daemons that do not report the request yet.
    private val unreportedGrants = ArrayDeque<Pair<Long, Int>>()

    /** Records a granted turn; it counts as an unanswered request until notices of other daemons show the request. */
    fun recordGrantedTurn(now: Long, id: String, tokens: Int) {
        coldGrants.addBounded(now)
        if (id !in requestedTurns) unreportedGrants.addLast(now to tokens)
    }

    fun runningEverywhere(now: Long): Int = running.size + recentPeerLoads(now).sumOf { it.running }

    fun unansweredEverywhere(now: Long): Int {
        while (unreportedGrants.isNotEmpty() && now - unreportedGrants.first().first > GRANT_REPORT_NANOS) {
            unreportedGrants.removeFirst()
        }
        return unanswered.size + recentPeerLoads(now).sumOf { it.unanswered } + unreportedGrants.size
    }

    fun pendingTokens(now: Long): Int =
        unanswered.values.sumOf { it.promptTokens } + recentPeerLoads(now).sumOf { it.pendingTokens }

    fun adaptersInUse(now: Long): Set<String> {
        val used = HashSet<String>()
        for (work in running.values) work.adapter?.let(used::add)
        for (work in unanswered.values) work.adapter?.let(used::add)
        for (load in recentPeerLoads(now)) used += load.adapters
        return used
    }

    fun holds(base: String, adapter: String?, version: Int?): Boolean {
        val adapters = held[base] ?: return false
        if (adapter == null) return true
        val has = adapters[adapter] ?: return false
        return version == null || has >= version
    }

    fun isBackingOff(now: Long): Boolean = now < backoffUntilNanos

    /** Records that the endpoint did not answer at all; it is retried after an exponential backoff. */
    fun recordNoAnswer(now: Long) {
        backoffSteps = minOf(backoffSteps + 1, MAX_BACKOFF_STEPS)
        backoffUntilNanos = now + (FIRST_BACKOFF_NANOS shl (backoffSteps - 1))
    }

    fun recordSuccess() {
        backoffSteps = 0
        backoffUntilNanos = Long.MIN_VALUE
    }

    /** Records the time until an answer began, with the time expected of an endpoint of slowness 1. */
    fun recordFirstPart(expectedMillis: Double, actualMillis: Double) {
        val ratio = (actualMillis / maxOf(MIN_EXPECTED_MILLIS, expectedMillis)).coerceIn(0.3, 8.0)
        slowness = (slowness * (1 - SLOWNESS_WEIGHT) + SLOWNESS_WEIGHT * ratio).coerceIn(0.5, 6.0)
    }

    fun isPaused(now: Long): Boolean = now < pausedUntilNanos

    /** Returns until when the endpoint's pause or a missing permit holds requests back; in the past if neither does. */
    fun unavailableUntilNanos(now: Long): Long =
        if (isAtLimit(now)) maxOf(pausedUntilNanos, atLimitUntilNanos) else pausedUntilNanos

    /** Returns whether the endpoint is cold or announces a rate limit, and no permit is expected yet. */
    fun isAtLimit(now: Long): Boolean =
        now < atLimitUntilNanos && (announcedLimit.perSecond != null || now < coldUntilNanos)

    /** Returns whether this daemon may send one more request within [perSecond] if the endpoint is cold. */
    fun hasColdRoom(now: Long, perSecond: Double): Boolean =
        now >= coldUntilNanos || coldSends.countRecent(now) + 1 <= perSecond

    /** Returns the turns that the owner may still grant in this second, within [perSecond] if the endpoint is cold. */
    fun remainingColdTurns(now: Long, perSecond: Double): Int {
        if (now >= coldUntilNanos) return Int.MAX_VALUE
        return maxOf(0, perSecond.toInt() - coldGrants.countRecent(now))
    }

    fun recordSend(now: Long) = coldSends.addBounded(now)

    private fun ArrayDeque<Long>.countRecent(now: Long): Int {
        while (isNotEmpty() && now - first() > COLD_WINDOW_NANOS) removeFirst()
        return size
    }

    private fun ArrayDeque<Long>.addBounded(now: Long) {
        addLast(now)
        while (size > MAX_COLD_EVENTS) removeFirst()
    }

    private fun recentPeerLoads(now: Long): List<EndpointLoad> =
        peerLoads.values.filter { now - it.receivedNanos < PEER_LOAD_MAX_AGE_NANOS }.map { it.load }

    private companion object {
        // Two retries a second detect the recovery of an endpoint soon and cost few connections.
        const val FIRST_BACKOFF_NANOS = 500_000_000L
        const val MAX_BACKOFF_STEPS = 3

        const val SLOWNESS_WEIGHT = 0.1

        // Shorter expected times are dominated by network and step times.
        const val MIN_EXPECTED_MILLIS = 60.0

        // Slightly longer than the second of the bound, because requests arrive later than they are sent.
        const val COLD_WINDOW_NANOS = 1_150_000_000L
        const val MAX_COLD_EVENTS = 256

        // The interval of notices between data centres.
        const val GRANT_REPORT_NANOS = 500_000_000L

        // Three notices between data centres; an older load is no longer valid.
        const val PEER_LOAD_MAX_AGE_NANOS = 1_600_000_000L
    }
}
