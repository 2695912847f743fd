package io.camphordrum.core.residency

/** Estimates the durations of requests and loads at an endpoint from observations. */
internal class Estimates(private val settings: OwnerSettings) {
    var serviceNanos: Long = settings.initialServiceNanos
        private set

    /** A lower bound of the recent durations of requests; it rises slowly in order to follow a change. */
    var shortestServiceNanos: Long = 0
        private set
    private var loadIntervalNanos = settings.initialLoadNanos
    private var lastLoadNanos: Long? = null

    fun recordService(durationNanos: Long) {
        serviceNanos += (durationNanos - serviceNanos) / AVERAGE_DIVISOR
        shortestServiceNanos = if (shortestServiceNanos == 0L) {
            durationNanos
        } else {
            minOf(durationNanos, shortestServiceNanos + shortestServiceNanos / RISE_DIVISOR)
        }
    }

    /**
     * Records a completed load.
     *
     * @param contended whether other loads are pending; only then does the time until the next load show the interval
     *   between loads.
     */
    fun recordLoad(now: Long, contended: Boolean) {
        lastLoadNanos?.let { loadIntervalNanos += (now - it - loadIntervalNanos) / AVERAGE_DIVISOR }
        lastLoadNanos = if (contended) now else null
    }

    /** Returns the wait for a load behind [loadsAhead] others, which is only the load itself when there are none. */
    fun loadWaitNanos(loadsAhead: Int): Long = settings.initialLoadNanos + loadsAhead * loadIntervalNanos

    /** Returns the wait behind [requestsAhead] requests of which [concurrencyLimit] run at once. */
    fun queueWaitNanos(requestsAhead: Int, concurrencyLimit: Int): Long =
        (requestsAhead + 1) * serviceNanos / maxOf(1, concurrencyLimit)

    private companion object {
        const val AVERAGE_DIVISOR = 8
        const val RISE_DIVISOR = 64
    }
}
