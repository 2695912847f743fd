package io.camphordrum.core.limits

/**
 * Bounds and periods of a [ShareHolder].
 *
 * @property floorPerMille share of the even share that a member keeps when isolated, in thousandths; the same in the
 *   whole fleet, and for good, because coordinators derive the largest sum of floors from it.
 * @property floorLeaseNanos how long the floor may be used after the last valid lease.
 * @property driftPerMille margin for the drift of clocks, in thousandths; a member stops that much earlier.
 * @property askPeriodNanos shortest time between asks for the same account, and of a wait for parts.
 * @property repeatNanos time after which an unconfirmed message is sent again.
 * @property demandPeriodNanos time between reports of demand to the coordinator.
 * @property storePeriodNanos shortest time between writes, and between reads, of the object `allotments`.
 * @property maxAccounts accounts that can have a share; further accounts are refused.
 */
public data class ShareParameters(
    public val floorPerMille: Int = 200,
    public val floorLeaseNanos: Long = 3_600_000_000_000L,
    public val driftPerMille: Int = 50,
    public val askPeriodNanos: Long = 20_000_000L,
    public val repeatNanos: Long = 200_000_000L,
    public val demandPeriodNanos: Long = 1_000_000_000L,
    public val storePeriodNanos: Long = 2_000_000_000L,
    public val maxAccounts: Int = 4_096,
) {
    init {
        require(floorPerMille in 1..PER_MILLE) { "expected floorPerMille from 1 to $PER_MILLE, got $floorPerMille" }
        require(maxAccounts > 0) { "expected a positive number for maxAccounts, got $maxAccounts" }
    }

    /** Returns the most parts that all floors of a data centre with [defaultParts] may use together. */
    internal fun floorTotal(defaultParts: Int): Int = (defaultParts.toLong() * floorPerMille / PER_MILLE).toInt()

    internal companion object {
        const val PER_MILLE: Int = 1_000
    }
}
