package io.camphordrum.core.residency

/** Learns how long requests and loads take at an endpoint. */
internal class Estimates(private val settings: OwnerSettings) {
    var serviceNanos: Long = settings.serviceNanos
        private set

    /** A time within which recent requests have finished at best; it rises slowly so that it follows a change. */
    var shortestNanos: Long = 0
        private set
    private var loadWaitNanos = settings.loadNanos

    fun served(nanos: Long) {
        serviceNanos += (nanos - serviceNanos) / WINDOW
        shortestNanos = if (shortestNanos == 0L) nanos else minOf(nanos, shortestNanos + shortestNanos / SLOW_RISE)
    }

    /** Takes the time from the first request for an adapter until its load was done. */
    fun loaded(nanos: Long) {
        loadWaitNanos += (nanos - loadWaitNanos) / WINDOW
    }

    /** Returns the wait for a load, which is only as long as past ones while other loads are wanted. */
    fun loadNanos(contended: Boolean): Long =
        if (contended) maxOf(loadWaitNanos, settings.loadNanos) else settings.loadNanos

    /** Returns the wait when [ahead] requests go first and [limit] run at once. */
    fun queueNanos(ahead: Int, limit: Int): Long = (ahead + 1) * serviceNanos / maxOf(1, limit)

    private companion object {
        const val WINDOW = 8
        const val SLOW_RISE = 64
    }
}
