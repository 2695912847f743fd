package io.camphordrum.core.request

/**
 * Bounds retries to a fraction of the requests, so that a failing endpoint cannot multiply the load.
 *
 * ```kotlin
 * if (budget.take()) dispatchAgain() else refuse()
 * ```
 *
 * @param perMille retries allowed per thousand requests.
 * @param most retries that may be saved up.
 */
internal class RetryBudget(private val perMille: Long = 100, most: Long = 20) {
    private val limit = most * SCALE
    private var level = limit

    fun arrived() {
        level = minOf(limit, level + perMille)
    }

    fun take(): Boolean {
        if (level < SCALE) return false
        level -= SCALE
        return true
    }

    private companion object {
        const val SCALE = 1_000L
    }
}
