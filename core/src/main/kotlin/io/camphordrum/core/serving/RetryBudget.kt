package io.camphordrum.core.serving

/**
 * Limits the retries of one service in relation to the requests of this daemon in a sliding window.
 *
 * The limit over all daemons is `ratio` times the requests plus `slack`. Each daemon uses the part of its own requests
 * and an even part of the slack, so the sum stays within the limit without coordination.
 */
public class RetryBudget(private val windowNanos: Long, private val ratio: Double, private val slack: Double) {
    private val requestNanos = ArrayDeque<Long>()
    private val retryNanos = ArrayDeque<Long>()

    /** Records a request for the service. */
    public fun recordRequest(now: Long) {
        trim(now)
        if (requestNanos.size < MAX_COUNTED_REQUESTS) requestNanos.addLast(now)
    }

    /** Acquires one retry from the budget shared by [daemons]; returns false when none is left. */
    public fun tryAcquire(now: Long, daemons: Int): Boolean {
        trim(now)
        if (retryNanos.size + 1 > SAFE_PART * (ratio * requestNanos.size + slack / maxOf(1, daemons))) return false
        retryNanos.addLast(now)
        return true
    }

    private fun trim(now: Long) {
        while (requestNanos.isNotEmpty() && now - requestNanos.first() > windowNanos) requestNanos.removeFirst()
        while (retryNanos.isNotEmpty() && now - retryNanos.first() > windowNanos) retryNanos.removeFirst()
    }

    private companion object {
        const val MAX_COUNTED_REQUESTS = 100_000

        // Leaves room for requests that arrive at the service in another window than the one counted here.
        const val SAFE_PART = 0.8
    }
}
