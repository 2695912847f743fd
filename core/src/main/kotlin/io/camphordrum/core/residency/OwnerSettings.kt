package io.camphordrum.core.residency

/**
 * Limits and durations of an [EndpointOwner]; durations are in nanoseconds.
 *
 * @property queueLimit maximum number of queued requests.
 * @property ticketLimit maximum number of tickets, which is also the upper bound of the concurrency.
 * @property accountLimit maximum number of client accounts in the fair queue.
 * @property maxConcurrency the concurrency limit of a warm endpoint.
 * @property quantumTokens tokens that the account with the largest weight receives in each round of the fair queue.
 * @property passOverLimit how often later requests of the same account may be served before a request; with 16 and a
 *   small load budget, requests for resident adapters wait for loads.
 * @property ticketLifeNanos maximum life of a ticket.
 * @property dispatchTimeoutNanos time after the grant within which the holder must send the request.
 * @property previousLeaseNanos maximum time for which a previous owner's lease may outlive the change of owner.
 * @property orderTimeoutNanos maximum time from issuing an order until it can no longer take effect.
 * @property reportLagNanos maximum age of the state in a load report at its sampling time.
 * @property minResidenceNanos minimum time for which an adapter stays resident.
 * @property highLatencyNanos a time to the first token above this halves the concurrency limit.
 * @property loadAttempts load attempts for an adapter before its requests are denied.
 * @property loadBackoffNanos delay after the first failed load; it doubles with each further failure.
 * @property initialLoadNanos estimated duration of a load before one has been observed.
 * @property initialServiceNanos estimated duration of a request before one has been observed.
 * @property loadsInFlight maximum number of concurrent loads of this endpoint.
 */
public data class OwnerSettings(
    public val queueLimit: Int = 1_024,
    public val ticketLimit: Int = 256,
    public val accountLimit: Int = 256,
    public val maxConcurrency: Int = 32,
    public val quantumTokens: Long = 1_024,
    public val passOverLimit: Int = 128,
    public val ticketLifeNanos: Long = 60 * SECOND,
    public val dispatchTimeoutNanos: Long = 2 * SECOND,
    public val previousLeaseNanos: Long = 3_150 * MILLISECOND,
    public val orderTimeoutNanos: Long = 5 * SECOND,
    public val reportLagNanos: Long = 2 * SECOND,
    public val minResidenceNanos: Long = 2 * SECOND,
    public val highLatencyNanos: Long = 2 * SECOND,
    public val loadAttempts: Int = 3,
    public val loadBackoffNanos: Long = 500 * MILLISECOND,
    public val initialLoadNanos: Long = 250 * MILLISECOND,
    public val initialServiceNanos: Long = SECOND,
    public val loadsInFlight: Int = 2,
)

internal const val MILLISECOND: Long = 1_000_000L
internal const val SECOND: Long = 1_000 * MILLISECOND
