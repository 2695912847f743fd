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

/** Tells how a conditional update of an object ended. */
public sealed interface WriteOutcome {
    /** The object now has the value, at [version]. */
    public data class Applied(public val version: Long) : WriteOutcome

    /** The object has another version than the update named; nothing was written. */
    public data object Conflict : WriteOutcome

    /** The answer was lost; the update may have taken effect, or may still do so. */
    public data object Unknown : WriteOutcome

    /** The update was not sent or was refused; nothing was written. */
    public data object Unavailable : WriteOutcome
}
