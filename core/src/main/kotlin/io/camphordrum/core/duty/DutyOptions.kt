package io.camphordrum.core.duty

/**
 * Names the duties of a deployment and their bounds.
 *
 * @property usage whether the use of accounts is reported.
 * @property scaling whether numbers of endpoints are ordered.
 * @property callsPerSecond calls for duties that the platform accepts from all daemons together.
 * @property windowMillis length of a usage window; window k begins k times this length after the Unix epoch.
 * @property lateMillis time after the end of a window by which its report is due.
 */
public data class DutyOptions(
    public val usage: Boolean,
    public val scaling: Boolean,
    public val callsPerSecond: Double = 10.0,
    public val windowMillis: Long = 60_000,
    public val lateMillis: Long = 60_000,
) {
    /** Time between two calls for one duty, so that both duties together stay within [callsPerSecond]. */
    internal val callIntervalNanos: Long get() = (DUTIES * 1e9 / callsPerSecond).toLong()

    private companion object {
        const val DUTIES = 2
    }
}
