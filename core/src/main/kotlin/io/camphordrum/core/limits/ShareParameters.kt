package io.camphordrum.core.limits

/**
 * Configures the bounds and periods of a [ShareHolder].
 *
 * @property floorPerMille fraction of the even share that a member keeps without a lease (its floor), in thousandths.
 *   It must be the same on all instances and never change, because coordinators derive the largest sum of floors from
 *   it.
 * @property floorLeaseNanos time for which the floor may be used after the last valid lease.
 * @property driftPerMille margin for clock drift, in thousandths; a member stops using its floor that much earlier.
 * @property requestPeriodNanos minimum time between surplus requests for the same account, and wait time for parts.
 * @property retransmitNanos time after which an unconfirmed message is sent again.
 * @property demandPeriodNanos time between reports of demand to the coordinator.
 * @property storePeriodNanos time between regular reads of the object `allotments`, and minimum time between
 *   collections of surplus for other data centres.
 * @property maxAccounts maximum number of accounts that have a share; further accounts are refused.
 */
public data class ShareParameters(
    public val floorPerMille: Int = 200,
    public val floorLeaseNanos: Long = 3_600_000_000_000L,
    public val driftPerMille: Int = 50,
    public val requestPeriodNanos: Long = 20_000_000L,
    public val retransmitNanos: Long = 200_000_000L,
    public val demandPeriodNanos: Long = 1_000_000_000L,
    public val storePeriodNanos: Long = 2_000_000_000L,
    public val maxAccounts: Int = 4_096,
) {
    init {
        require(floorPerMille in 1..PER_MILLE) { "expected floorPerMille from 1 to $PER_MILLE, but was $floorPerMille" }
        require(maxAccounts > 0) { "expected a positive number for maxAccounts, but was $maxAccounts" }
    }

    /** Returns the upper bound of the sum of all floors of a data centre with [defaultParts]. */
    internal fun floorTotal(defaultParts: Int): Int = (defaultParts.toLong() * floorPerMille / PER_MILLE).toInt()

    internal companion object {
        const val PER_MILLE: Int = 1_000
    }
}
