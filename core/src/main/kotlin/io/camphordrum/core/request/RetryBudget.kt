package io.camphordrum.core.request

/**
 * Limits retries to a fraction of the requests, so that a failing endpoint cannot multiply the load.
 *
 * ```kotlin
 * if (budget.tryAcquire()) dispatchAgain() else refuse()
 * ```
 *
 * @param perMille retries allowed per thousand requests.
 * @param maxRetries maximum number of retries that can accumulate.
 */
internal class RetryBudget(private val perMille: Long = 100, maxRetries: Long = 20) {
    private val limit = maxRetries * SCALE
    private var level = limit

    fun recordRequest() {
        level = minOf(limit, level + perMille)
    }

    fun tryAcquire(): Boolean {
        if (level < SCALE) return false
        level -= SCALE
        return true
    }

    private companion object {
        const val SCALE = 1_000L
    }
}
