package io.camphordrum.core.residency

/**
 * Bounds and times of a [Router]; times are in nanoseconds.
 *
 * @property candidates endpoints that are considered for one adapter.
 * @property endpointLimit endpoints that are kept; those above it are ignored.
 * @property residentLimit resident adapters that are kept for one endpoint.
 * @property hintLimit prefix hints that are kept; the oldest goes first.
 * @property hintNanos how long a prefix hint is used.
 * @property spillNanos a candidate with a longer wait comes after those below it.
 * @property replicaNanos how long a wait must have been above [spillNanos] before an adapter is loaded a second time.
 * @property waitNanos how long a reported wait is believed.
 */
public data class RouterSettings(
    public val candidates: Int = 8,
    public val endpointLimit: Int = 8_192,
    public val residentLimit: Int = 256,
    public val hintLimit: Int = 4_096,
    public val hintNanos: Long = 30 * SECOND,
    public val spillNanos: Long = 500 * MILLISECOND,
    public val replicaNanos: Long = SECOND,
    public val waitNanos: Long = 5 * SECOND,
)
