package io.camphordrum.core.limits

import io.camphordrum.core.RateLimit

/**
 * Holds this member's parts of one account's token bucket, and their level in nano-tokens.
 *
 * Every division rounds down, so that the sum over all holders never exceeds the account's burst and rate.
 */
internal class Bucket(now: Long, limit: RateLimit) {
    var parts = 0
        private set

    /** Tokens available now, in nano-tokens. */
    var level = 0L
        private set

    private var rate = 0L
    private var burst = 0L
    private var usableParts = 0
    private var isolated = false

    // Level that cannot be used until the lease is valid again.
    private var frozen = 0L
    private var refilledAt = now
    private val refunds = RefundWindow()

    init {
        setLimit(limit)
    }

    fun setLimit(limit: RateLimit) {
        rate = limit.tokensPerSecond.coerceIn(0, MAX_RATE)
        burst = limit.burstTokens.coerceIn(0, MAX_BURST)
        level = minOf(level, capacity(usableParts))
        frozen = minOf(frozen, capacity(parts) - capacity(usableParts))
    }

    /** Returns the most nano-tokens that [parts] can hold. */
    fun capacity(parts: Int): Long = burst * parts * NANO_PER_PART

    /** Returns the time in nanoseconds until the usable parts have refilled [nanoTokens]; null if they never do. */
    fun nanosUntil(nanoTokens: Long): Long? {
        val missing = nanoTokens - level
        if (missing <= 0) return 0
        if (nanoTokens > capacity(usableParts) || rate == 0L || usableParts == 0) return null
        return (missing.toDouble() * AllotmentRecord.PARTS / (rate.toDouble() * usableParts)).toLong() + 1
    }

    /**
     * Refills up to [now].
     *
     * Without a lease only [floorParts] refill and are usable. The time between the last touch and the first touch
     * without a lease counts as isolated, because the lease may have ended at any moment in between.
     */
    fun touch(now: Long, leased: Boolean, floorParts: Int) {
        val floor = minOf(floorParts, parts)
        if (!leased && !isolated) {
            val usable = minOf(level, capacity(floor))
            frozen = level - usable
            level = usable
        }
        val refilling = if (leased && !isolated) parts else floor
        val elapsed = now - refilledAt
        if (elapsed > 0) {
            level = minOf(capacity(refilling), level + refill(refilling, elapsed))
            refilledAt = now
        }
        if (leased && isolated) {
            level += frozen
            frozen = 0
        }
        isolated = !leased
        usableParts = if (leased) parts else floor
        level = minOf(level, capacity(usableParts))
        refunds.note(capacity(usableParts) - level)
    }

    fun charge(now: Long, nanoTokens: Long): Boolean {
        if (nanoTokens > level) return false
        level -= nanoTokens
        refunds.charged(now, capacity(usableParts) - level)
        return true
    }

    /** Gives back up to [nanoTokens] of a charge made at [grantedAt]; returns the amount given back. */
    fun refund(grantedAt: Long, nanoTokens: Long): Long {
        val granted = refunds.refund(grantedAt, minOf(nanoTokens, capacity(usableParts) - level))
        level += granted
        refunds.note(capacity(usableParts) - level)
        return granted
    }

    /** Removes [count] parts and at least [nanoTokens] of level; returns the level removed. */
    fun take(count: Int, nanoTokens: Long): Long {
        parts -= count
        usableParts = minOf(usableParts, parts)
        val taken = maxOf(minOf(nanoTokens, level), level - capacity(usableParts))
        level -= taken
        frozen = minOf(frozen, capacity(parts) - capacity(usableParts))
        refunds.note(capacity(usableParts) - level)
        return taken
    }

    /** Adds parts and level; returns the level above the capacity, which is not added. */
    fun credit(count: Int, nanoTokens: Long): Long {
        parts += count
        val added = if (isolated) {
            minOf(nanoTokens, capacity(parts) - capacity(usableParts) - frozen).also { frozen += it }
        } else {
            usableParts = parts
            minOf(nanoTokens, capacity(parts) - level).also { level += it }
        }
        refunds.note(capacity(usableParts) - level)
        return nanoTokens - added
    }

    /** Drops all parts above [count], and the level that they could hold. */
    fun retain(count: Int) {
        parts = minOf(parts, count)
        usableParts = minOf(usableParts, parts)
        level = minOf(level, capacity(usableParts))
        frozen = 0
        refunds.note(capacity(usableParts) - level)
    }

    // rate * parts * nanos / PARTS; split so that no product exceeds 63 bits.
    private fun refill(parts: Int, nanos: Long): Long {
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

        // With these bounds every intermediate product fits into 63 bits; larger limits are cut to them.
        const val MAX_RATE = 1_000_000_000L
        const val MAX_BURST = 4_000_000_000L
    }
}
