package io.camphordrum.core.residency

/**
 * Bounds and times of an [EndpointOwner]; times are in nanoseconds.
 *
 * @property queueLimit requests that may wait.
 * @property ticketLimit tickets that may exist, which is also the upper bound of the concurrency.
 * @property accountLimit client accounts with a place in the fair queue.
 * @property concurrency the concurrency limit of a warm endpoint.
 * @property quantumTokens tokens that the account with the largest weight gets in each round of the fair queue.
 * @property passOverLimit how often later requests of the same account may go before a request; 16 was too few when the
 *   load budget was too small, because requests for resident adapters then waited for loads.
 * @property ticketLifeNanos the longest life of a ticket.
 * @property dispatchNanos time after the grant within which the holder must send the request.
 * @property previousLeaseNanos the longest time that a previous owner's lease may outlive the change of owner.
 * @property orderNanos the longest time from the decision for an order until it can no longer take effect.
 * @property reportLagNanos how much older than its sampling time a load report may be.
 * @property residenceNanos how long an adapter stays resident at least.
 * @property highLatencyNanos a first token later than this halves the concurrency limit.
 * @property loadAttempts load attempts for an adapter before its requests are denied.
 * @property loadBackoffNanos pause after the first failed load; it doubles with each further failure.
 * @property loadNanos expected time of a load until one has been observed.
 * @property serviceNanos expected time of a request until one has been observed.
 * @property loadsInFlight loads of this endpoint that may be in progress at once.
 */
public data class OwnerSettings(
    public val queueLimit: Int = 1_024,
    public val ticketLimit: Int = 256,
    public val accountLimit: Int = 256,
    public val concurrency: Int = 32,
    public val quantumTokens: Long = 1_024,
    public val passOverLimit: Int = 128,
    public val ticketLifeNanos: Long = 60 * SECOND,
    public val dispatchNanos: Long = 2 * SECOND,
    public val previousLeaseNanos: Long = 3_150 * MILLISECOND,
    public val orderNanos: Long = 5 * SECOND,
    public val reportLagNanos: Long = 2 * SECOND,
    public val residenceNanos: Long = 2 * SECOND,
    public val highLatencyNanos: Long = 2 * SECOND,
    public val loadAttempts: Int = 3,
    public val loadBackoffNanos: Long = 500 * MILLISECOND,
    public val loadNanos: Long = 250 * MILLISECOND,
    public val serviceNanos: Long = SECOND,
    public val loadsInFlight: Int = 2,
)

internal const val MILLISECOND: Long = 1_000_000L
internal const val SECOND: Long = 1_000 * MILLISECOND
