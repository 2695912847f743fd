package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.RateLimit

/** Holds this member's buckets and determines which of their parts are usable now. */
internal class ShareTable(private val leaseValid: (now: Long) -> Boolean, private val parameters: ShareParameters) {
    private val buckets = HashMap<AccountId, Bucket>()
    var limits: Map<AccountId, RateLimit> = emptyMap()
        private set

    /** Parts of every account that remain usable without a lease, until the floor lease expires. */
    var floorParts = 0
    private var floorExpiresAt = Long.MIN_VALUE

    fun configure(now: Long, limits: Map<AccountId, RateLimit>) {
        this.limits = if (limits.size <= parameters.maxAccounts) {
            limits
        } else {
            limits.entries.sortedBy { it.key }.take(parameters.maxAccounts).associate { it.key to it.value }
        }
        for ((account, bucket) in buckets) {
            bucket.refill(now, refreshLease(now), usableFloor(now))
            bucket.setLimit(this.limits[account] ?: ZERO_LIMIT)
        }
        for ((account, limit) in this.limits) buckets.getOrPut(account) { Bucket(now, limit) }
        // Parts of accounts without a limit are kept, because other members may already have a newer configuration.
        if (buckets.size > 2 * parameters.maxAccounts) buckets.keys.retainAll(this.limits.keys)
    }

    /** Returns true if the lease is valid now, and in that case extends the floor lease. */
    fun refreshLease(now: Long): Boolean {
        val valid = leaseValid(now)
        if (valid) {
            val margin = parameters.floorLeaseNanos / PER_MILLE * parameters.driftPerMille
            floorExpiresAt = maxOf(floorExpiresAt, now + parameters.floorLeaseNanos - margin)
        }
        return valid
    }

    /** Returns the bucket of [account], refilled up to [now] under the current lease; null if there is none. */
    fun bucket(now: Long, account: AccountId): Bucket? {
        val bucket = buckets[account] ?: return null
        bucket.refill(now, refreshLease(now), usableFloor(now))
        return bucket
    }

    /** Credits [amounts]; returns the levels that exceeded the capacity and were not credited. */
    fun credit(now: Long, amounts: List<ShareAmount>): List<ShareAmount> = amounts.mapNotNull { amount ->
        val account = amount.account
        if (buckets.size >= 2 * parameters.maxAccounts && account !in buckets) return@mapNotNull null
        buckets.getOrPut(account) { Bucket(now, ZERO_LIMIT) }
        val bucket = bucket(now, account) ?: return@mapNotNull null
        val excess = bucket.credit(amount.parts, amount.levelNanoTokens)
        if (excess > bucket.capacity(MIN_EXCESS_PARTS)) ShareAmount(account, 0, excess) else null
    }

    /** Debits up to [parts] and [levelNanoTokens]; returns null if nothing can be debited. */
    fun debit(now: Long, account: AccountId, parts: Int, levelNanoTokens: Long): ShareAmount? {
        val bucket = bucket(now, account) ?: return null
        val count = parts.coerceIn(0, bucket.parts)
        val level = bucket.debit(count, levelNanoTokens.coerceAtLeast(0))
        return if (count > 0 || level > 0) ShareAmount(account, count, level) else null
    }

    /** Discards all parts except an unexpired floor; called when this member may have been removed. */
    fun reduceToFloor(now: Long) {
        floorParts = usableFloor(now)
        for (bucket in buckets.values) bucket.truncateTo(floorParts)
    }

    fun heldParts(): Map<AccountId, Int> = buckets.filterValues { it.parts > 0 }.mapValues { it.value.parts }

    fun parts(account: AccountId): Int = buckets[account]?.parts ?: 0

    private fun usableFloor(now: Long): Int = if (now < floorExpiresAt) floorParts else 0

    private companion object {
        const val PER_MILLE = 1_000L

        // The level of fewer parts is not returned, because a transfer costs two messages.
        const val MIN_EXCESS_PARTS = 10_000
        val ZERO_LIMIT = RateLimit(tokensPerSecond = 0, burstTokens = 0)
    }
}
