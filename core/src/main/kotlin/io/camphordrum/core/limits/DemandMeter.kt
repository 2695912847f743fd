package io.camphordrum.core.limits

/** Estimates the tokens per second that requests need, admitted or not; serves only as a hint. */
internal class DemandMeter(now: Long) {
    var tokensPerSecond = 0.0
        private set
    private var windowStart = now
    private var windowTokens = 0.0
    private var windowBacklogTokens = 0.0

    val isIdle: Boolean get() = tokensPerSecond == 0.0 && windowTokens == 0.0 && windowBacklogTokens == 0.0

    fun add(tokens: Double) {
        windowTokens += tokens
    }

    /** Records that requests for [tokens] wait; the largest value counts, because they may be recorded repeatedly. */
    fun recordBacklog(tokens: Double) {
        windowBacklogTokens = maxOf(windowBacklogTokens, tokens)
    }

    /** Closes the current window if it has ended. Estimates rise quickly and fall slowly, to retain parts in use. */
    fun closeWindow(now: Long) {
        val elapsed = now - windowStart
        if (elapsed < WINDOW_NANOS) return
        val sample = (maxOf(0.0, windowTokens) + windowBacklogTokens) * Bucket.NANOS_PER_SECOND / elapsed
        val windows = minOf(elapsed / WINDOW_NANOS, MAX_WINDOWS)
        repeat(windows.toInt()) {
            tokensPerSecond += (sample - tokensPerSecond) * if (sample > tokensPerSecond) RISE_FACTOR else FALL_FACTOR
        }
        if (tokensPerSecond < MIN_TOKENS_PER_SECOND) tokensPerSecond = 0.0
        windowStart = now
        windowTokens = 0.0
        windowBacklogTokens = 0.0
    }

    private companion object {
        const val WINDOW_NANOS = 250_000_000L
        const val MAX_WINDOWS = 100L
        const val RISE_FACTOR = 0.6
        const val FALL_FACTOR = 0.2
        const val MIN_TOKENS_PER_SECOND = 0.001
    }
}
