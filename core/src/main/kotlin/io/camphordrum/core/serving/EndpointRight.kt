package io.camphordrum.core.serving

import kotlinx.serialization.Serializable

/**
 * Records which daemon holds the right to send orders to an endpoint.
 *
 * The right is stored and only replaced at the revision that was read.
 *
 * @property machine process slot and address of the holder; a restarted process keeps the right of its machine.
 * @property token fencing token that grows with every change of the holder or its incarnation and is sent with every
 *   order.
 * @property settled whether the holder has waited for the leases of all former holders to expire; only then does a
 *   restarted process skip that wait.
 * @property released whether the holder released the right; the next holder still waits for the lease to expire.
 */
@Serializable
public data class EndpointRight(
    public val machine: String,
    public val incarnation: Long,
    public val token: Long,
    public val settled: Boolean = false,
    public val released: Boolean = false,
)

/** Pairs a right with the revision at which it is stored. */
public data class StoredRight(public val right: EndpointRight, public val revision: Long)

/** Describes the result of a conditional write of a right. */
public sealed interface RightWriteResult {
    /** The right is stored at [revision]. */
    public data class Stored(public val revision: Long) : RightWriteResult

    /** The revision has changed since it was read. */
    public data object Conflict : RightWriteResult

    /** The store refused the right, or it is not known whether it was stored. */
    public data object Unknown : RightWriteResult
}

/** Reads and writes rights; callbacks run on the decision thread. */
public interface RightStore {
    /** Lists all rights by endpoint without stale reads; null if the store did not answer. */
    public fun list(onEnd: (Map<String, StoredRight>?) -> Unit)

    /** Stores [right] for [endpoint] if its revision is still [revision]; a null revision creates it. */
    public fun put(endpoint: String, right: EndpointRight, revision: Long?, onEnd: (RightWriteResult) -> Unit)
}
