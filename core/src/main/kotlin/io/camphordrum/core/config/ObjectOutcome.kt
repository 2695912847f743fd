package io.camphordrum.core.config

/** Tells how reading an object ended. */
public sealed interface ReadOutcome {
    /** The object exists; [version] is what a conditional update names. */
    public data class Found(public val value: String, public val version: Long) : ReadOutcome

    /** There is no such object. */
    public data object Missing : ReadOutcome

    /** No usable answer came. */
    public data object Unavailable : ReadOutcome
}
