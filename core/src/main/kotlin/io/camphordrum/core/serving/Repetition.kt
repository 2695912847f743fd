package io.camphordrum.core.serving

/** Specifies how often one request of a route may run. */
public enum class Repetition {
    /** The request may run any number of times. */
    ALLOWED,

    /** The request is a stream that another endpoint may resume after the last event passed on. */
    RESUMABLE,

    /** The request runs at most once. */
    FORBIDDEN,
}
