package io.camphordrum.core.config

/** Represents the outcome of reading an object. */
public sealed interface ReadOutcome {
    /** The object exists; a conditional update must state [version]. */
    public data class Found(public val value: String, public val version: Long) : ReadOutcome

    /** The object does not exist. */
    public data object Missing : ReadOutcome

    /** The read failed or timed out. */
    public data object Unavailable : ReadOutcome
}
