package io.camphordrum.core.residency

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Tells why an owner refused a request; a refused request has not run. */
@Serializable
public enum class DenyReason {
    /** The expected wait is above the bound that the request gave; another candidate may be free sooner. */
    @SerialName("w")
    WAIT_TOO_LONG,

    /** The request can no longer finish before its deadline. */
    @SerialName("d")
    DEADLINE,

    /** A queue or table of the owner is full. */
    @SerialName("f")
    QUEUE_FULL,

    /** The adapter could not be loaded after several attempts. */
    @SerialName("l")
    LOAD_FAILED,

    /** The owner, or its endpoint, takes no new work. */
    @SerialName("x")
    LEAVING,

    /** The owner holds no valid lease. */
    @SerialName("n")
    NO_LEASE,

    /** The endpoint is a plain service and cannot run adapters, or the request names no adapter. */
    @SerialName("u")
    UNSUITABLE,
}
