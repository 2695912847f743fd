package io.camphordrum.core.serving

/** Describes how the run of a request at an endpoint ended. */
public enum class RunEnd {
    /** The complete answer was passed on. */
    COMPLETE,

    /** The endpoint rejected the request without running it. */
    TURNED_AWAY,

    /** The endpoint failed the request, or its answer was cut off. */
    FAILED,

    /** The endpoint could not be reached or stopped answering. */
    SILENT,

    /** The caller disconnected, or the deadline of the request passed. */
    CANCELLED,
}
