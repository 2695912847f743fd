package io.camphordrum.bench

/**
 * Measures by how much admitted tokens exceed a rate: the largest excess over any window is the highest level of a
 * leaky bucket that drains at the rate. The limit holds if the level never exceeds the burst.
 */
class RateMeter(private val tokensPerSecond: Long) {
    private var levelTokens = 0.0
    private var lastNanos = 0L

    /** The largest excess so far, in tokens. */
    var largestExcessTokens = 0.0
        private set

    /** Adds [tokens] at [atNanos]; times must not decrease. */
    fun add(atNanos: Long, tokens: Long) {
        levelTokens = maxOf(0.0, levelTokens - tokensPerSecond * (atNanos - lastNanos) / 1e9) + tokens
        lastNanos = atNanos
        largestExcessTokens = maxOf(largestExcessTokens, levelTokens)
    }
}

/**
 * Determines which requests are within an account's rate and burst; each is charged in full, without refunds. A request
 * that this bucket covers is therefore within the limit in any case.
 */
class ReferenceTokenBucket(private val tokensPerSecond: Long, private val burstTokens: Long) {
    private var levelTokens = burstTokens.toDouble()
    private var lastNanos = 0L

    /** Returns whether [chargedTokens] at [atNanos] is within the limit; if not, it is charged only if [admitted]. */
    fun isWithinLimit(atNanos: Long, chargedTokens: Long, admitted: Boolean): Boolean {
        levelTokens = minOf(burstTokens.toDouble(), levelTokens + tokensPerSecond * (atNanos - lastNanos) / 1e9)
        lastNanos = atNanos
        val covered = levelTokens >= chargedTokens
        if (covered || admitted) levelTokens -= chargedTokens
        return covered
    }
}
