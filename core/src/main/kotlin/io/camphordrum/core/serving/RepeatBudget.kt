package io.camphordrum.core.serving

/**
 * Bounds second sends of one service by what this daemon was asked for in a sliding window.
 *
 * The bound over all daemons is `ratio` times the requests plus `slack`. Each daemon spends its own requests' part and
 * an even part of the slack, so the sum stays inside without any exchange.
 */
public class RepeatBudget(private val windowNanos: Long, private val ratio: Double, private val slack: Double) {
    private val asked = ArrayDeque<Long>()
    private val repeated = ArrayDeque<Long>()

    /** Notes a request for the service. */
    public fun asked(now: Long) {
        trim(now)
        if (asked.size < MAX_KEPT) asked.addLast(now)
    }

    /** Takes one second send out of the budget that [daemons] share; returns false when none is left. */
    public fun take(now: Long, daemons: Int): Boolean {
        trim(now)
        if (repeated.size + 1 > SAFE_PART * (ratio * asked.size + slack / maxOf(1, daemons))) return false
        repeated.addLast(now)
        return true
    }

    private fun trim(now: Long) {
        while (asked.isNotEmpty() && now - asked.first() > windowNanos) asked.removeFirst()
        while (repeated.isNotEmpty() && now - repeated.first() > windowNanos) repeated.removeFirst()
    }

    private companion object {
        const val MAX_KEPT = 100_000

        // Leaves room for requests that arrive in another window than the one in which they were counted here.
        const val SAFE_PART = 0.8
    }
}
