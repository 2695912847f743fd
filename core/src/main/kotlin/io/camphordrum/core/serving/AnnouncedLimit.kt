package io.camphordrum.core.serving

/**
 * Tracks the rate limit that an endpoint announces in its answers to this and to other daemons.
 *
 * The newest observation counts. A limit is observed when its answer arrives, and the absence of a limit when the
 * request was sent whose answer announces none. Therefore an answer that the endpoint gave before it announced a limit
 * does not lift that limit if it arrives later.
 */
internal class AnnouncedLimit {
    /** Holds what this daemon observed itself; [perSecond] is null if an answer announced no limit any more. */
    class Observation(val perSecond: Double?, val atNanos: Long)

    /** Requests a second that the endpoint accepts from all daemons together; null if it announces no limit. */
    var perSecond: Double? = null
        private set

    // Null until a limit was announced.
    private var observedNanos: Long? = null
    private var own: Observation? = null

    /** Records an answer that announces [limitPerSecond]; returns whether the limit has changed. */
    fun recordLimit(now: Long, limitPerSecond: Double): Boolean {
        own = Observation(limitPerSecond, now)
        return apply(now, limitPerSecond)
    }

    /** Records the answer to a request sent at [sentNanos] that announces no limit; returns whether it lifts one. */
    fun recordNoLimit(sentNanos: Long): Boolean {
        val observed = observedNanos ?: return false
        if (sentNanos <= observed) return false
        own = Observation(null, sentNanos)
        return apply(sentNanos, null)
    }

    /** Records what another daemon observed at [atNanos], an estimate; returns whether the limit has changed. */
    fun recordReported(atNanos: Long, limitPerSecond: Double?): Boolean {
        val observed = observedNanos
        if (limitPerSecond == null) {
            if (observed == null || atNanos - REPORT_DELAY_NANOS <= observed) return false
            return apply(atNanos - REPORT_DELAY_NANOS, null)
        }
        return (observed == null || atNanos > observed) && apply(atNanos, limitPerSecond)
    }

    /** Returns this daemon's own observation if it is recent enough to be reported to other daemons. */
    fun reportable(now: Long): Observation? = own?.takeIf { now - it.atNanos < REPORT_NANOS }

    /** Forgets all observations, because the endpoint has restarted. */
    fun reset() {
        perSecond = null
        observedNanos = null
        own = null
    }

    private fun apply(atNanos: Long, limitPerSecond: Double?): Boolean {
        val changed = perSecond != limitPerSecond
        observedNanos = atNanos
        perSecond = limitPerSecond
        return changed
    }

    private companion object {
        // Reports reach this daemon late, so that what they observed seems newer than it is. This much is allowed for
        // before a report lifts a limit; the limit itself takes effect at once.
        const val REPORT_DELAY_NANOS = 500_000_000L

        // Long enough for a daemon that has restarted to receive the limit before it uses the endpoint much.
        const val REPORT_NANOS = 10_000_000_000L
    }
}
