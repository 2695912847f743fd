package io.camphordrum.core.residency

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The reason for which an owner denied a request for a ticket; a denied request has not run. */
@Serializable
public enum class DenyReason {
    /** The expected wait exceeds the maximum wait of the request; another endpoint may be free sooner. */
    @SerialName("w")
    WAIT_TOO_LONG,

    /** The request cannot finish before its deadline. */
    @SerialName("d")
    DEADLINE,

    /** The queue or a table of the owner is full. */
    @SerialName("f")
    QUEUE_FULL,

    /** The adapter could not be loaded after several attempts. */
    @SerialName("l")
    LOAD_FAILED,

    /** The owner or its endpoint is leaving and accepts no new requests. */
    @SerialName("x")
    LEAVING,

    /** The owner holds no valid lease. */
    @SerialName("n")
    NO_LEASE,

    /** The endpoint is a plain service and cannot run adapters, or the request names no adapter. */
    @SerialName("u")
    UNSUITABLE,
}
