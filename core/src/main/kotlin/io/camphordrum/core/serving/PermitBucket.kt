package io.camphordrum.core.serving

/**
 * Grants the permits of one endpoint at a given rate.
 *
 * The bucket starts empty, because a former granter may have granted permits until now.
 */
internal class PermitBucket(startedNanos: Long) {
    private var permits = 0.0
    private var refilledNanos = startedNanos

    /** When a permit was last asked for. */
    val askedNanos: Long get() = refilledNanos

    /** Takes a permit and returns 0, or returns the milliseconds until the next one is free. */
    fun tryAcquire(now: Long, perSecond: Double): Long {
        val refill = maxOf(0, now - refilledNanos) / NANOS_PER_SECOND * perSecond
        permits = minOf(permits + refill, 1 + BURST_SECONDS * perSecond)
        refilledNanos = now
        if (permits >= 1) {
            permits--
            return 0
        }
        val waitNanos = ((1 - permits) / perSecond * NANOS_PER_SECOND).toLong()
        return waitNanos.coerceIn(MIN_WAIT_NANOS, MAX_WAIT_NANOS) / OrderRights.NANOS_PER_MILLI
    }

    companion object {
        /** Returns the rate at which a bucket grants at most [bound] permits in any second. */
        fun rateFor(bound: Double): Double = maxOf(0.0, bound - 1) / (1 + BURST_SECONDS)

        private const val NANOS_PER_SECOND = 1e9

        // Unused permits of half a second are kept, since requests do not arrive evenly.
        private const val BURST_SECONDS = 0.5

        // Askers return at least this often, so that a limit that has ended does not hold requests back for long.
        private const val MAX_WAIT_NANOS = 2_000_000_000L
        private const val MIN_WAIT_NANOS = 50_000_000L
    }
}
