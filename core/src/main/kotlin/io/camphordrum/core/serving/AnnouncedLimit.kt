package io.camphordrum.core.serving

/**
 * Tracks the rate limit that an endpoint announces in its answers.
 *
 * The newest observation counts. A limit is observed when its answer arrives, and the absence of a limit when the
 * request was sent whose answer announces none. Therefore an answer that the endpoint gave before it announced a limit
 * does not lift that limit if it arrives later.
 */
internal class AnnouncedLimit {
    /** Requests a second that the endpoint accepts from all daemons together; null if it announces no limit. */
    var perSecond: Double? = null
        private set

    private var observedNanos = Long.MIN_VALUE / 2

    /** Records an answer that announces [limitPerSecond]; returns whether the limit has changed. */
    fun recordLimit(now: Long, limitPerSecond: Double): Boolean = apply(now, limitPerSecond)

    /** Records the answer to a request sent at [sentNanos] that announces no limit; returns whether it lifts one. */
    fun recordNoLimit(sentNanos: Long): Boolean =
        perSecond != null && sentNanos > observedNanos && apply(sentNanos, null)

    /** Forgets all observations, because the endpoint has restarted. */
    fun reset() {
        perSecond = null
        observedNanos = Long.MIN_VALUE / 2
    }

    private fun apply(atNanos: Long, limitPerSecond: Double?): Boolean {
        val changed = perSecond != limitPerSecond
        observedNanos = atNanos
        perSecond = limitPerSecond
        return changed
    }
}
