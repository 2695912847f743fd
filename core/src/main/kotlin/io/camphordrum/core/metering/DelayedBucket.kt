package io.camphordrum.core.metering

/**
 * Holds a token bucket whose charges may arrive late.
 *
 * The bucket is settled as of [DELAY_NANOS] ago. A bucket that was settled at once would overflow while charges are on
 * their way, and lose them from its level when they arrive.
 */
internal class DelayedBucket(now: Long) {
    private var settledTokens = 0.0
    private var settledNanos = now - DELAY_NANOS
    private val pending = DoubleArray(SLOTS)
    private var pendingTokens = 0.0

    /** Settles what is older than the delay, with [tokensPerSecond] and at most [capTokens]. */
    fun settle(now: Long, tokensPerSecond: Double, capTokens: Double) {
        var slots = (now - DELAY_NANOS - settledNanos) / SLOT_NANOS
        if (slots > SLOTS) {
            // After a pause no charge is pending that is older than the slots.
            val skipped = slots - SLOTS
            settledTokens =
                minOf(capTokens, settledTokens + tokensPerSecond * skipped * SLOT_NANOS / 1e9 - pendingTokens)
            pending.fill(0.0)
            pendingTokens = 0.0
            settledNanos += skipped * SLOT_NANOS
            slots = SLOTS.toLong()
        }
        repeat(slots.toInt()) {
            val slot = slot(settledNanos)
            settledTokens = minOf(capTokens, settledTokens + tokensPerSecond * SLOT_NANOS / 1e9) - pending[slot]
            pendingTokens -= pending[slot]
            pending[slot] = 0.0
            settledNanos += SLOT_NANOS
        }
    }

    /** Charges [tokens] that were used [ageNanos] ago. */
    fun take(now: Long, tokens: Long, ageNanos: Long) {
        pending[slot(maxOf(settledNanos, now - ageNanos))] += tokens.toDouble()
        pendingTokens += tokens
    }

    /** Returns the level without charges that have not arrived; it may be above the depth. */
    fun level(now: Long, tokensPerSecond: Double): Double =
        settledTokens + tokensPerSecond * (now - settledNanos) / 1e9 - pendingTokens

    /** Replaces the level; all charges until now are part of it. */
    fun reset(now: Long, tokens: Double, tokensPerSecond: Double) {
        pending.fill(0.0)
        pendingTokens = 0.0
        settledTokens = tokens - tokensPerSecond * DELAY_NANOS / 1e9
        settledNanos = now - DELAY_NANOS
    }

    /** Multiplies a debt by [debtFactor], and reduces a higher level to [maxTokens]. */
    fun lower(now: Long, tokensPerSecond: Double, debtFactor: Double, maxTokens: Double) {
        val level = level(now, tokensPerSecond)
        settledTokens += if (level < 0) level * (debtFactor - 1) else minOf(0.0, maxTokens - level)
    }

    private fun slot(nanos: Long) = Math.floorMod(nanos / SLOT_NANOS, SLOTS.toLong()).toInt()

    private companion object {
        const val SLOT_NANOS = 50_000_000L
        const val SLOTS = 20

        // Charges of another data centre arrive within three notices.
        const val DELAY_NANOS = 750_000_000L
    }
}
