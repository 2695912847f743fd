package io.camphordrum.core.limits

/** Asks the daemon to read or write the platform object `allotments`. */
public sealed interface AllotmentEffect {
    /** Read the object and report it with `allotmentsRead`; a failed read needs no report and is repeated later. */
    public data object ReadAllotments : AllotmentEffect

    /**
     * Replace the object if its version still is [expectedVersion], and report with `allotmentsWritten`.
     *
     * @property expectedVersion the version that the write replaces; 0 creates the object.
     */
    public data class WriteAllotments(public val record: AllotmentRecord, public val expectedVersion: Long) :
        AllotmentEffect
}
