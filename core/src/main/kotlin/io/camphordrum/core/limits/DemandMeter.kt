package io.camphordrum.core.limits

/** Estimates the tokens per second that requests ask for, granted or not; used as a hint only. */
internal class DemandMeter(now: Long) {
    var tokensPerSecond = 0.0
        private set
    private var windowStart = now
    private var windowTokens = 0.0
    private var windowBacklog = 0.0

    val isIdle: Boolean get() = tokensPerSecond == 0.0 && windowTokens == 0.0 && windowBacklog == 0.0

    fun add(tokens: Double) {
        windowTokens += tokens
    }

    /** Records that requests for [tokens] wait. They may be counted again while they wait, so the largest counts. */
    fun waiting(tokens: Double) {
        windowBacklog = maxOf(windowBacklog, tokens)
    }

    /** Closes the current window if it has ended. Estimates rise quickly and fall slowly, to keep parts in use. */
    fun roll(now: Long) {
        val elapsed = now - windowStart
        if (elapsed < WINDOW_NANOS) return
        val sample = (maxOf(0.0, windowTokens) + windowBacklog) * Bucket.NANOS_PER_SECOND / elapsed
        val windows = minOf(elapsed / WINDOW_NANOS, MAX_WINDOWS)
        repeat(windows.toInt()) {
            tokensPerSecond += (sample - tokensPerSecond) * if (sample > tokensPerSecond) RISE else FALL
        }
        if (tokensPerSecond < MINIMUM) tokensPerSecond = 0.0
        windowStart = now
        windowTokens = 0.0
        windowBacklog = 0.0
    }

    private companion object {
        const val WINDOW_NANOS = 250_000_000L
        const val MAX_WINDOWS = 100L
        const val RISE = 0.6
        const val FALL = 0.2
        const val MINIMUM = 0.001
    }
}
