package io.camphordrum.core

/** Describes the outcome of a conditional write to the platform's store. */
public sealed interface WriteOutcome {
    /** Reports that the write took effect and the object now has [version]. */
    public data class Applied(public val version: Long) : WriteOutcome

    /** Reports that another write changed the object's version first, so this one had no effect. */
    public data object Conflict : WriteOutcome

    /** Reports a lost answer: the write may have taken effect or may still take effect. */
    public data object Unknown : WriteOutcome

    /** Reports that the store refused the write or was not reached; the write has no effect now or later. */
    public data object Unavailable : WriteOutcome
}
