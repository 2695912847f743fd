package io.camphordrum.core.limits

/** Tells how a conditional write of the object `allotments` ended. */
public enum class AllotmentOutcome {
    /** The write took effect. */
    APPLIED,

    /** The object had another version; this attempt did not take effect. */
    CONFLICT,

    /** The answer was lost; the write may have taken effect or may still do so. */
    UNKNOWN,

    /** The platform could not be reached; treated like [UNKNOWN]. */
    UNAVAILABLE,
}
