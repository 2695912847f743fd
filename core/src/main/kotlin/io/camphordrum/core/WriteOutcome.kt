package io.camphordrum.core

/** Tells how a conditional write to the platform's store ended. */
public sealed interface WriteOutcome {
    /** The write took effect; the object now has [version]. */
    public data class Applied(public val version: Long) : WriteOutcome

    /** Another write moved the object first; this one had no effect. */
    public data object Conflict : WriteOutcome

    /** The answer was lost; the write may have taken effect, or may still do so. */
    public data object Unknown : WriteOutcome

    /** The store refused the write or was not reached; the write had no effect and will have none. */
    public data object Unavailable : WriteOutcome
}
