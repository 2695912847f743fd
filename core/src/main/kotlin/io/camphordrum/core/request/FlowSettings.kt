package io.camphordrum.core.request

/**
 * Bounds and times of a [RequestFlow].
 *
 * @property maxRequests requests without a final answer that may exist; further ones are refused.
 * @property maxDispatches how often an idempotent request may be sent to endpoints.
 * @property askRepeatNanos time after which an unanswered ask for a ticket is sent again.
 * @property shortestRunNanos a ticket or deadline with less time left is not used.
 * @property closedAsks asks of ended requests whose tickets can still be returned if they arrive late.
 * @property searchAgainNanos pause before candidates are searched again after all of them had no owner.
 */
public data class FlowSettings(
    public val maxRequests: Int = 16_384,
    public val maxDispatches: Int = 3,
    public val askRepeatNanos: Long = 500_000_000L,
    public val shortestRunNanos: Long = 5_000_000L,
    public val searchAgainNanos: Long = 100_000_000L,
    public val closedAsks: Int = 4_096,
)
