package io.camphordrum.core.request

/**
 * Limits and durations of a [RequestFlow]; durations are in nanoseconds.
 *
 * @property maxRequests maximum number of requests without a final answer; further ones are refused.
 * @property maxDispatches maximum number of dispatches of a request; one that is not idempotent is dispatched again
 *   only if it has not run.
 * @property ticketRequestRetryNanos time after which an unanswered ticket request is sent again.
 * @property minRunNanos a ticket or deadline with less remaining time is not used.
 * @property candidateRetryNanos delay before new candidates are selected when no candidate granted a ticket but one may
 *   recover.
 * @property closedTicketRequests maximum number of closed ticket requests for which a late ticket can still be
 *   returned.
 */
public data class FlowSettings(
    public val maxRequests: Int = 16_384,
    public val maxDispatches: Int = 3,
    public val ticketRequestRetryNanos: Long = 500_000_000L,
    public val minRunNanos: Long = 5_000_000L,
    public val candidateRetryNanos: Long = 100_000_000L,
    public val closedTicketRequests: Int = 4_096,
)
