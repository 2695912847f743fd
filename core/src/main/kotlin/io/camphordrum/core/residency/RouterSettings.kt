package io.camphordrum.core.residency

/**
 * Limits and durations of a [Router]; durations are in nanoseconds.
 *
 * @property candidateCount number of candidates for one adapter.
 * @property endpointLimit maximum number of endpoints; further ones are ignored.
 * @property residentLimit maximum number of resident adapters recorded for one endpoint.
 * @property hintLimit maximum number of prefix hints; the oldest is removed first.
 * @property hintValidNanos how long a prefix hint is used.
 * @property spillWaitNanos a candidate with a longer wait ranks after those with a shorter one.
 * @property replicaDelayNanos how long a wait must exceed [spillWaitNanos] before a second replica of an adapter is
 *   loaded.
 * @property waitValidNanos how long a reported wait is used.
 */
public data class RouterSettings(
    public val candidateCount: Int = 8,
    public val endpointLimit: Int = 8_192,
    public val residentLimit: Int = 256,
    public val hintLimit: Int = 4_096,
    public val hintValidNanos: Long = 30 * SECOND,
    public val spillWaitNanos: Long = 500 * MILLISECOND,
    public val replicaDelayNanos: Long = SECOND,
    public val waitValidNanos: Long = 5 * SECOND,
)
