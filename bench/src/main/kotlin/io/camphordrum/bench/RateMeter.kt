package io.camphordrum.bench

/**
 * Measures how far admitted tokens rise above a rate: the largest excess over any window is the fill level of a bucket
 * that leaks at the rate. The limit holds when the level never exceeds the burst.
 */
class RateMeter(private val tokensPerSecond: Long) {
    private var level = 0.0
    private var lastNanos = 0L

    /** The largest excess so far, in tokens. */
    var largest = 0.0
        private set

    /** Adds [tokens] at [nanos]; times must not fall. */
    fun add(nanos: Long, tokens: Long) {
        level = maxOf(0.0, level - tokensPerSecond * (nanos - lastNanos) / 1e9) + tokens
        lastNanos = nanos
        largest = maxOf(largest, level)
    }
}

/**
 * Tells which requests lie inside an account's rate and burst, charging each in full and refunding nothing. A request
 * that this bucket covers is certainly inside.
 */
class ShadowBucket(private val tokensPerSecond: Long, private val burstTokens: Long) {
    private var level = burstTokens.toDouble()
    private var lastNanos = 0L

    /** Returns whether [charge] at [nanos] is inside; one that is outside is charged only when it was [admitted]. */
    fun inside(nanos: Long, charge: Long, admitted: Boolean): Boolean {
        level = minOf(burstTokens.toDouble(), level + tokensPerSecond * (nanos - lastNanos) / 1e9)
        lastNanos = nanos
        val covered = level >= charge
        if (covered || admitted) level -= charge
        return covered
    }
}
