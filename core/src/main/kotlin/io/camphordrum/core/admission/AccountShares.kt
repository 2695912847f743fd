package io.camphordrum.core.admission

import kotlin.math.exp
import kotlin.math.max

/**
 * Estimates which part of an account's requests lies beyond its fair share, from what all daemons have charged.
 *
 * An account is beyond its share if it uses more than [TOLERANCE] times both its usual rate and the median account's
 * part of its limit. Only the excess ranks behind other requests, so no account loses what it uses otherwise.
 */
internal class AccountShares {
    private class Usage(var total: Long) {
        var recent = 0.0
        var usual = 0.0
    }

    private val usages = HashMap<String, Usage>()
    private val excess = HashMap<String, Double>()
    private var updatedNanos: Long? = null

    /** Returns the part of the requests of [account] that lies beyond its fair share, from 0 to 1. */
    fun excessPart(account: String?): Double = excess[account] ?: 0.0

    /**
     * Records the tokens that all daemons have charged.
     *
     * Updates in quick succession would measure noise and are ignored.
     *
     * @param charged tokens by account since any fixed time.
     * @param currentLimits returns the limits of the accounts in tokens a second.
     */
    fun update(now: Long, charged: Map<String, Long>, currentLimits: () -> Map<String, Double>) {
        val seconds = updatedNanos?.let { (now - it) / 1e9 }
        if (seconds != null && seconds < MIN_SECONDS) return
        updatedNanos = now
        val limits = currentLimits()
        usages.keys.retainAll(limits.keys)
        excess.clear()
        for (account in limits.keys) {
            val total = charged[account] ?: 0L
            val usage = usages.getOrPut(account) { Usage(total) }
            if (seconds != null) record(usage, max(0L, total - usage.total) / seconds, seconds)
            usage.total = total
        }
        val active = usages.filterValues { it.recent > 0 }.keys
        val median = active.map { usages.getValue(it).recent / limits.getValue(it) }.sorted().let {
            it.getOrNull(it.size / 2) ?: return
        }
        for (account in active) {
            val usage = usages.getValue(account)
            val share = TOLERANCE * max(usage.usual, median * limits.getValue(account))
            if (usage.recent > share) excess[account] = 1 - share / usage.recent
        }
    }

    private fun record(usage: Usage, rate: Double, seconds: Double) {
        usage.recent += (rate - usage.recent) * (1 - exp(-seconds / RECENT_SECONDS))
        usage.usual += (rate - usage.usual) * (1 - exp(-seconds / USUAL_SECONDS))
    }

    private companion object {
        const val MIN_SECONDS = 0.25
        const val RECENT_SECONDS = 1.0
        const val USUAL_SECONDS = 20.0

        // Ordinary variation of an account within a second.
        const val TOLERANCE = 1.25
    }
}
