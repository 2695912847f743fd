package io.camphordrum.core.residency

/** Learns how long requests and loads take at an endpoint. */
internal class Estimates(private val settings: OwnerSettings) {
    var serviceNanos: Long = settings.serviceNanos
        private set

    /** A time within which recent requests have finished at best; it rises slowly so that it follows a change. */
    var shortestNanos: Long = 0
        private set
    private var loadIntervalNanos = settings.loadNanos
    private var loadedNanos: Long? = null

    fun served(nanos: Long) {
        serviceNanos += (nanos - serviceNanos) / WINDOW
        shortestNanos = if (shortestNanos == 0L) nanos else minOf(nanos, shortestNanos + shortestNanos / SLOW_RISE)
    }

    /**
     * Takes the end of a load.
     *
     * @param contended whether others wait; only then does the time until the next load tell how fast they follow.
     */
    fun loaded(now: Long, contended: Boolean) {
        loadedNanos?.let { loadIntervalNanos += (now - it - loadIntervalNanos) / WINDOW }
        loadedNanos = if (contended) now else null
    }

    /** Returns the wait for a load when [ahead] others are wanted, which is short when there are none. */
    fun loadNanos(ahead: Int): Long = settings.loadNanos + ahead * loadIntervalNanos

    /** Returns the wait when [ahead] requests go first and [limit] run at once. */
    fun queueNanos(ahead: Int, limit: Int): Long = (ahead + 1) * serviceNanos / maxOf(1, limit)

    private companion object {
        const val WINDOW = 8
        const val SLOW_RISE = 64
    }
}
