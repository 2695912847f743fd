package io.camphordrum.core.limits

/** Describes a store operation on the platform object `allotments` that the daemon executes. */
public sealed interface AllotmentEffect {
    /** Reads the object; the result goes to `allotmentsRead`. A failed read is not reported and is retried later. */
    public data object ReadAllotments : AllotmentEffect

    /**
     * Replaces the object if its version is still [expectedVersion]; the outcome goes to `allotmentsWritten`.
     *
     * @property expectedVersion version that the write replaces; 0 creates the object.
     */
    public data class WriteAllotments(public val record: AllotmentRecord, public val expectedVersion: Long) :
        AllotmentEffect
}
