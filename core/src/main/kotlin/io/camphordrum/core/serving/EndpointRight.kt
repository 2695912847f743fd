package io.camphordrum.core.serving

import kotlinx.serialization.Serializable

/**
 * Records which daemon gives an endpoint its orders; stored, and changed only under the revision that was read.
 *
 * @property machine names the process slot and its address; a restarted process keeps the right of its machine.
 * @property token grows with every change of the holder or its incarnation, and goes with every order.
 * @property settled whether the holder has waited out every holder before it; only then does a restarted process skip
 *   that wait.
 * @property released whether the holder gave the right up; the next one still waits out the lease.
 */
@Serializable
public data class EndpointRight(
    public val machine: String,
    public val incarnation: Long,
    public val token: Long,
    public val settled: Boolean = false,
    public val released: Boolean = false,
)

/** Pairs a stored right with the revision at which it was read. */
public data class StoredRight(public val right: EndpointRight, public val revision: Long)

/** Tells how a conditional write of a right ended. */
public sealed interface RightEnd {
    /** The right is stored at [revision]. */
    public data class Stored(public val revision: Long) : RightEnd

    /** Another write came first. */
    public data object Conflict : RightEnd

    /** Whether it was stored is not known, or the store did not take it. */
    public data object Unknown : RightEnd
}

/** Reads and writes rights; results arrive on the thread of the decisions. */
public interface RightStore {
    /** Lists all rights, never from a stale copy; null when the store did not answer. */
    public fun list(onEnd: (Map<String, StoredRight>?) -> Unit)

    /** Stores [right] for [endpoint] if its revision is still [revision]; null creates it. */
    public fun put(endpoint: String, right: EndpointRight, revision: Long?, onEnd: (RightEnd) -> Unit)
}
