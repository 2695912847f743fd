package io.camphordrum.core.limits

import io.camphordrum.core.RateLimit

/**
 * Represents this member's parts of one account's token bucket and their fill level in nano-tokens.
 *
 * Every division rounds down, so that the sum over all holders never exceeds the account's burst and rate.
 */
internal class Bucket(now: Long, limit: RateLimit) {
    var parts = 0
        private set

    /** Tokens available now, in nano-tokens. */
    var levelNanoTokens = 0L
        private set

    private var rate = 0L
    private var burst = 0L
    private var usableParts = 0
    private var unleased = false

    // Level that is unusable until the lease is valid again.
    private var unusableNanoTokens = 0L
    private var refilledAt = now
    private val refunds = RefundWindow()

    init {
        setLimit(limit)
    }

    fun setLimit(limit: RateLimit) {
        rate = limit.tokensPerSecond.coerceIn(0, MAX_RATE)
        burst = limit.burstTokens.coerceIn(0, MAX_BURST)
        levelNanoTokens = minOf(levelNanoTokens, capacity(usableParts))
        unusableNanoTokens = minOf(unusableNanoTokens, capacity(parts) - capacity(usableParts))
    }

    /** Returns the capacity of [parts] in nano-tokens. */
    fun capacity(parts: Int): Long = burst * parts * NANO_PER_PART

    /** Returns the time in nanoseconds until the level reaches [nanoTokens] by refill; null if it never does. */
    fun nanosUntil(nanoTokens: Long): Long? {
        val missing = nanoTokens - levelNanoTokens
        if (missing <= 0) return 0
        if (nanoTokens > capacity(usableParts) || rate == 0L || usableParts == 0) return null
        return (missing.toDouble() * AllotmentRecord.PARTS / (rate.toDouble() * usableParts)).toLong() + 1
    }

    /**
     * Refills up to [now].
     *
     * Without a lease only [floorParts] refill and are usable. The time between the last refill with a lease and the
     * first refill without one counts as unleased, because the lease may have expired at any moment in between.
     */
    fun refill(now: Long, leased: Boolean, floorParts: Int) {
        val floor = minOf(floorParts, parts)
        if (!leased && !unleased) {
            val usable = minOf(levelNanoTokens, capacity(floor))
            unusableNanoTokens = levelNanoTokens - usable
            levelNanoTokens = usable
        }
        val refillingParts = if (leased && !unleased) parts else floor
        val elapsed = now - refilledAt
        if (elapsed > 0) {
            levelNanoTokens =
                minOf(capacity(refillingParts), levelNanoTokens + refilledNanoTokens(refillingParts, elapsed))
            refilledAt = now
        }
        if (leased && unleased) {
            levelNanoTokens += unusableNanoTokens
            unusableNanoTokens = 0
        }
        unleased = !leased
        usableParts = if (leased) parts else floor
        levelNanoTokens = minOf(levelNanoTokens, capacity(usableParts))
        refunds.recordHeadroom(capacity(usableParts) - levelNanoTokens)
    }

    fun charge(now: Long, nanoTokens: Long): Boolean {
        if (nanoTokens > levelNanoTokens) return false
        levelNanoTokens -= nanoTokens
        refunds.recordCharge(now, capacity(usableParts) - levelNanoTokens)
        return true
    }

    /** Refunds up to [nanoTokens] of a charge made at [chargedAt]; returns the amount refunded. */
    fun refund(chargedAt: Long, nanoTokens: Long): Long {
        val refunded = refunds.refund(chargedAt, minOf(nanoTokens, capacity(usableParts) - levelNanoTokens))
        levelNanoTokens += refunded
        refunds.recordHeadroom(capacity(usableParts) - levelNanoTokens)
        return refunded
    }

    /** Removes [count] parts and at least [nanoTokens] of level; returns the level removed. */
    fun debit(count: Int, nanoTokens: Long): Long {
        parts -= count
        usableParts = minOf(usableParts, parts)
        val debited = maxOf(minOf(nanoTokens, levelNanoTokens), levelNanoTokens - capacity(usableParts))
        levelNanoTokens -= debited
        unusableNanoTokens = minOf(unusableNanoTokens, capacity(parts) - capacity(usableParts))
        refunds.recordHeadroom(capacity(usableParts) - levelNanoTokens)
        return debited
    }

    /** Adds parts and level; returns the level above the capacity, which is not added. */
    fun credit(count: Int, nanoTokens: Long): Long {
        parts += count
        val added = if (unleased) {
            minOf(nanoTokens, capacity(parts) - capacity(usableParts) - unusableNanoTokens)
                .also { unusableNanoTokens += it }
        } else {
            usableParts = parts
            minOf(nanoTokens, capacity(parts) - levelNanoTokens).also { levelNanoTokens += it }
        }
        refunds.recordHeadroom(capacity(usableParts) - levelNanoTokens)
        return nanoTokens - added
    }

    /** Discards all parts above [count] and the level that exceeds the remaining capacity. */
    fun truncateTo(count: Int) {
        parts = minOf(parts, count)
        usableParts = minOf(usableParts, parts)
        levelNanoTokens = minOf(levelNanoTokens, capacity(usableParts))
        unusableNanoTokens = 0
        refunds.recordHeadroom(capacity(usableParts) - levelNanoTokens)
    }

    // Computes rate * parts * nanos / PARTS, split so that no product exceeds 63 bits.
    private fun refilledNanoTokens(parts: Int, nanos: Long): Long {
        val partRate = rate * parts
        val seconds = nanos / NANOS_PER_SECOND
        if (partRate == 0L || seconds > capacity(parts) / (partRate * NANO_PER_PART)) return capacity(parts)
        val rest = nanos % NANOS_PER_SECOND
        val fraction = partRate / AllotmentRecord.PARTS * rest +
            partRate % AllotmentRecord.PARTS * rest / AllotmentRecord.PARTS
        return partRate * NANO_PER_PART * seconds + fraction
    }

    internal companion object {
        const val NANOS_PER_SECOND = 1_000_000_000L
        const val NANO_PER_PART = NANOS_PER_SECOND / AllotmentRecord.PARTS

        // With these bounds every intermediate product fits into 63 bits; larger limits are clamped to them.
        const val MAX_RATE = 1_000_000_000L
        const val MAX_BURST = 4_000_000_000L
    }
}
