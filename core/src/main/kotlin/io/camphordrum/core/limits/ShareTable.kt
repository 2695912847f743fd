package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.RateLimit

/** Holds this member's buckets and decides which of their parts may be used now. */
internal class ShareTable(private val leaseValid: (now: Long) -> Boolean, private val parameters: ShareParameters) {
    private val buckets = HashMap<AccountId, Bucket>()
    var limits: Map<AccountId, RateLimit> = emptyMap()
        private set

    /** Parts of every account that stay usable for a while without a lease. */
    var floorParts = 0
    private var floorUntil = Long.MIN_VALUE

    fun configure(now: Long, limits: Map<AccountId, RateLimit>) {
        this.limits = if (limits.size <= parameters.maxAccounts) {
            limits
        } else {
            limits.entries.sortedBy { it.key }.take(parameters.maxAccounts).associate { it.key to it.value }
        }
        for ((account, bucket) in buckets) {
            bucket.touch(now, leased(now), usableFloor(now))
            bucket.setLimit(this.limits[account] ?: NO_LIMIT)
        }
        for ((account, limit) in this.limits) buckets.getOrPut(account) { Bucket(now, limit) }
        // Parts are kept for accounts that are unknown here, because other members may know them already.
        if (buckets.size > 2 * parameters.maxAccounts) buckets.keys.retainAll(this.limits.keys)
    }

    /** Returns true if the lease is valid now, and then extends the right to use the floor. */
    fun leased(now: Long): Boolean {
        val valid = leaseValid(now)
        if (valid) {
            val margin = parameters.floorLeaseNanos / PER_MILLE * parameters.driftPerMille
            floorUntil = maxOf(floorUntil, now + parameters.floorLeaseNanos - margin)
        }
        return valid
    }

    /** Returns the bucket of [account], refilled to [now] under the rights held now; null without a limit. */
    fun bucket(now: Long, account: AccountId): Bucket? {
        val bucket = buckets[account] ?: return null
        bucket.touch(now, leased(now), usableFloor(now))
        return bucket
    }

    /** Credits [amounts]; returns the levels that exceeded the capacity and were not credited. */
    fun credit(now: Long, amounts: List<ShareAmount>): List<ShareAmount> = amounts.mapNotNull { amount ->
        val account = amount.account
        if (buckets.size >= 2 * parameters.maxAccounts && account !in buckets) return@mapNotNull null
        buckets.getOrPut(account) { Bucket(now, NO_LIMIT) }
        val bucket = bucket(now, account) ?: return@mapNotNull null
        val excess = bucket.credit(amount.parts, amount.levelNanoTokens)
        if (excess > bucket.capacity(MIN_EXCESS_PARTS)) ShareAmount(account, 0, excess) else null
    }

    /** Debits up to [parts] and [levelNanoTokens]; returns null if nothing can be debited. */
    fun debit(now: Long, account: AccountId, parts: Int, levelNanoTokens: Long): ShareAmount? {
        val bucket = bucket(now, account) ?: return null
        val count = parts.coerceIn(0, bucket.parts)
        val level = bucket.take(count, levelNanoTokens.coerceAtLeast(0))
        return if (count > 0 || level > 0) ShareAmount(account, count, level) else null
    }

    /** Drops everything but an unexpired floor, after this member may have been removed. */
    fun forfeit(now: Long) {
        floorParts = usableFloor(now)
        for (bucket in buckets.values) bucket.retain(floorParts)
    }

    fun held(): Map<AccountId, Int> = buckets.filterValues { it.parts > 0 }.mapValues { it.value.parts }

    fun parts(account: AccountId): Int = buckets[account]?.parts ?: 0

    private fun usableFloor(now: Long): Int = if (now < floorUntil) floorParts else 0

    private companion object {
        const val PER_MILLE = 1_000L

        // Less than the level of so many parts is not worth the two messages of a transfer.
        const val MIN_EXCESS_PARTS = 10_000
        val NO_LIMIT = RateLimit(tokensPerSecond = 0, burstTokens = 0)
    }
}
