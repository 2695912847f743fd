package io.camphordrum.core.serving

/**
 * Describes how the run of a request at an endpoint ended.
 *
 * @property countsAsFailure whether the endpoint failed the request; null if the end says nothing about the endpoint.
 */
public enum class RunEnd(public val countsAsFailure: Boolean?) {
    /** The complete answer was passed on. */
    COMPLETE(false),

    /** The endpoint rejected the request without running it. */
    TURNED_AWAY(true),

    /** The endpoint rejected the request because its rate limit is used up. */
    RATE_LIMITED(null),

    /** The endpoint, or the adapter of the request, is not at the address. */
    NOT_HERE(null),

    /** The endpoint failed the request, or its answer was cut off. */
    FAILED(true),

    /** The endpoint could not be reached or stopped answering. */
    SILENT(true),

    /** The caller disconnected, or the deadline of the request passed. */
    CANCELLED(null),
}
