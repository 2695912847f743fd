package io.camphordrum.core.serving

import io.camphordrum.core.EndpointId

/**
 * Orders an endpoint to load or unload a base model or an adapter.
 *
 * @property load true to load, false to unload.
 * @property adapter null orders the base model itself.
 * @property version adapter version to load; null loads the newest.
 * @property permitted returns whether the order right is still valid; checked again right before the order is sent.
 * @property expected number of orders that the endpoint must have accepted before; otherwise the order is void.
 * @property token fencing token of the order right.
 */
public data class EndpointOrder(
    public val endpoint: EndpointId,
    public val address: String,
    public val load: Boolean,
    public val base: String,
    public val adapter: String?,
    public val version: Int?,
    public val expected: Long,
    public val token: Long,
    public val permitted: () -> Boolean = { true },
)

/** Describes the result of an order. */
public enum class OrderEnd {
    /** The endpoint carries the order out. */
    ACCEPTED,

    /** The endpoint is already in the ordered state, or has carried the order out at once. */
    HOLDS,

    /** Another order is in progress, or other orders were accepted in between. */
    CONFLICT,

    /** The endpoint refused the order. */
    REFUSED,

    /** No clear answer arrived; the order may have been accepted and may be carried out later. */
    UNKNOWN,
}

/**
 * Holds the state that an endpoint reports; the values may be a few hundred milliseconds old.
 *
 * @property accepted number of orders accepted since the start of the endpoint.
 * @property busy whether an order is in progress.
 * @property incoming adapters that are being loaded, by base model.
 */
public data class EndpointReport(
    public val accepted: Long,
    public val busy: Boolean,
    public val held: List<HeldModel>,
    public val incoming: List<HeldModel>,
    public val startedEpochMillis: Long,
)

/** Sends orders to endpoints and reads their reports; callbacks run on the decision thread. */
public interface OrderPort {
    /** Sends [order] without retries. */
    public fun order(order: EndpointOrder, onEnd: (OrderEnd) -> Unit)

    /** Reads the report of an endpoint; null if it did not answer with a valid one. */
    public fun report(endpoint: EndpointId, address: String, onEnd: (EndpointReport?) -> Unit)
}
