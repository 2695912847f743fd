package io.camphordrum.core.residency

import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Member

/** The kind of an order to an endpoint. */
public enum class OrderKind { LOAD, EVICT }

/** The outcome of an order. */
public enum class OrderOutcome {
    /** The endpoint confirmed the order. */
    DONE,

    /** The endpoint, or the weight store behind it, returned an error; the order had no effect. */
    FAILED,

    /** The endpoint rejected the fencing token; a newer owner exists. */
    FENCED,

    /** The order was not sent, for example because it expired or the lease was lost. */
    NOT_SENT,

    /** No response was received; the order may still take effect until it expires. */
    UNKNOWN,
}

/** The effects that an [EndpointOwner] requests. */
public sealed interface OwnerEffect {
    /**
     * Grants [to] a ticket to dispatch [request] to [endpoint] with the fencing token [fencing] in its header.
     *
     * @property version the adapter that the ticket protects from eviction; null on a plain service.
     * @property expiresNanos when the ticket expires, on the owner's clock.
     * @property dispatchWithinNanos time from the arrival of the request within which it must be sent to the endpoint.
     * @property validNanos time from the arrival of the request until the ticket expires; see
     *   [TicketMessage.Grant.validMillis].
     * @property waitNanos the expected wait of the next request of the same account.
     */
    public data class Grant(
        public val to: Member,
        public val request: Long,
        public val ticket: Long,
        public val endpoint: EndpointId,
        public val version: AdapterVersion?,
        public val fencing: Long,
        public val expiresNanos: Long,
        public val dispatchWithinNanos: Long,
        public val validNanos: Long,
        public val waitNanos: Long,
    ) : OwnerEffect

    /**
     * Informs [to] that [request] has not run, with the delay before a retry and the expected wait at this endpoint.
     */
    public data class Deny(
        public val to: Member,
        public val request: Long,
        public val reason: DenyReason,
        public val retryAfterNanos: Long,
        public val waitNanos: Long,
    ) : OwnerEffect

    /**
     * Orders [endpoint] to load or evict [version]; report the outcome to [EndpointOwner.closeOrder].
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
