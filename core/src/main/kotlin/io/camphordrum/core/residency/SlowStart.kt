package io.camphordrum.core.residency

/**
 * Limits the requests that an endpoint runs at once.
 *
 * The limit restarts from 1 when the endpoint is cold and grows by one with each completed request, which doubles it
 * in the time of one request. An error or a late first token halves it, and from there it grows by one per limit.
 */
internal class SlowStart(private val settings: OwnerSettings) {
    var limit: Int = 1
        private set
    private val most = minOf(settings.concurrency, settings.ticketLimit)
    private var threshold = most
    private var progress = 0
    private var decreasedNanos = Long.MIN_VALUE

    fun restart(now: Long) {
        limit = 1
        threshold = most
        progress = 0
        decreasedNanos = now
    }

    /** Sets the limit to what a running endpoint was seen to carry. */
    fun relearn(running: Int) {
        limit = running.coerceIn(limit, most)
    }

    /**
     * Takes the end of a request that was granted at [grantedNanos].
     *
     * @param pressed whether the limit was in use; an idle endpoint proves nothing about more load.
     */
    fun ended(now: Long, grantedNanos: Long, report: TicketReport, pressed: Boolean) {
        val late = report.firstTokenNanos > settings.highLatencyNanos
        when {
            report.outcome == TicketOutcome.NOT_RUN || report.outcome == TicketOutcome.UNKNOWN -> Unit
            report.outcome == TicketOutcome.FAILED || late -> decrease(now, grantedNanos)
            // A request from before the last decrease or restart tells nothing about the present limit.
            pressed && grantedNanos >= decreasedNanos -> increase()
        }
    }

    private fun decrease(now: Long, grantedNanos: Long) {
        if (grantedNanos < decreasedNanos) return
        limit = maxOf(1, limit / 2)
        threshold = limit
        progress = 0
        decreasedNanos = now
    }

    private fun increase() {
        if (limit >= most) return
        progress++
        if (limit >= threshold && progress < limit) return
        limit++
        progress = 0
    }
}
