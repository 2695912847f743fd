package io.camphordrum.core.residency

import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Member

/** Tells what a load or evict order does. */
public enum class OrderKind { LOAD, EVICT }

/** Tells how an order ended. */
public enum class OrderOutcome {
    /** The endpoint confirmed the order. */
    DONE,

    /** The endpoint, or the weight store behind it, answered with an error; the order had no effect. */
    FAILED,

    /** The endpoint refused the fencing number; a newer owner exists. */
    FENCED,

    /** The order was not sent, for example because its time had passed or the lease was lost. */
    NOT_SENT,

    /** No answer came; the order may still take effect until its last moment. */
    UNKNOWN,
}

/** Lists what an [EndpointOwner] wants done. */
public sealed interface OwnerEffect {
    /**
     * Allows [to] to dispatch [request] to [endpoint] with the header fencing number [fencing].
     *
     * @property version the adapter that the ticket protects from eviction; null on a plain service.
     * @property expiresNanos end of the ticket's life on the owner's clock.
     * @property startNanos time from the arrival of the request until it must have been sent to the endpoint.
     * @property validNanos the same counted from the arrival of the request; see [TicketMessage.Grant.validMillis].
     * @property waitNanos the wait that the next request of the same account would meet.
     */
    public data class Grant(
        public val to: Member,
        public val request: Long,
        public val ticket: Long,
        public val endpoint: EndpointId,
        public val version: AdapterVersion?,
        public val fencing: Long,
        public val expiresNanos: Long,
        public val startNanos: Long,
        public val validNanos: Long,
        public val waitNanos: Long,
    ) : OwnerEffect

    /** Tells [to] that [request] has not run, the time after which to retry, and the expected wait here. */
    public data class Deny(
        public val to: Member,
        public val request: Long,
        public val reason: DenyReason,
        public val retryAfterNanos: Long,
        public val waitNanos: Long,
    ) : OwnerEffect

    /**
     * Has [endpoint] load or evict [version]; the result goes to [EndpointOwner.ordered].
     *
     * Check the lease again right before sending, and do not send after [sendBeforeNanos].
     */
    public data class Order(
        public val order: Long,
        public val endpoint: EndpointId,
        public val kind: OrderKind,
        public val version: AdapterVersion,
        public val fencing: Long,
        public val sendBeforeNanos: Long,
    ) : OwnerEffect
}
