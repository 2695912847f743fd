package io.camphordrum.core.serving

/** Says how often one request of a route may run. */
public enum class Repetition {
    /** The request may run any number of times. */
    ALLOWED,

    /** The request is a stream that another endpoint may continue after the last event that was passed on. */
    RESUMABLE,

    /** The request runs at most once. */
    FORBIDDEN,
}
