package io.camphordrum.core.residency

/**
 * Limits the number of concurrent requests at an endpoint.
 *
 * The limit starts from 1 when the endpoint is cold and grows by one with each completed request, which doubles it in
 * the duration of one request. An error or a late first token halves it; from then on it grows by one each time that as
 * many requests as the limit have completed.
 */
internal class SlowStart(private val settings: OwnerSettings) {
    var limit: Int = 1
        private set
    private val maxLimit = minOf(settings.maxConcurrency, settings.ticketLimit)
    private var slowStartThreshold = maxLimit
    private var completions = 0
    private var lastDecreaseNanos = Long.MIN_VALUE

    fun reset(now: Long) {
        limit = 1
        slowStartThreshold = maxLimit
        completions = 0
        lastDecreaseNanos = now
    }

    /** Raises the limit to the concurrency observed at a running endpoint. */
    fun raiseTo(running: Int) {
        limit = running.coerceIn(limit, maxLimit)
    }

    /**
     * Adjusts the limit after a request that was granted at [grantedNanos] has finished.
     *
     * @param underLoad whether the limit was in use; an idle endpoint gives no evidence that it can serve more.
     */
    fun requestFinished(now: Long, grantedNanos: Long, report: TicketReport, underLoad: Boolean) {
        val slowFirstToken = report.firstTokenNanos > settings.highLatencyNanos
        when {
            report.outcome == TicketOutcome.NOT_RUN || report.outcome == TicketOutcome.UNKNOWN -> Unit
            report.outcome == TicketOutcome.FAILED || slowFirstToken -> decrease(now, grantedNanos)
            // A request that was granted before the last decrease or reset gives no evidence about the current limit.
            underLoad && grantedNanos >= lastDecreaseNanos -> increase()
        }
    }

    private fun decrease(now: Long, grantedNanos: Long) {
        if (grantedNanos < lastDecreaseNanos) return
        limit = maxOf(1, limit / 2)
        slowStartThreshold = limit
        completions = 0
        lastDecreaseNanos = now
    }

    private fun increase() {
        if (limit >= maxLimit) return
        completions++
        if (limit >= slowStartThreshold && completions < limit) return
        limit++
        completions = 0
    }
}
