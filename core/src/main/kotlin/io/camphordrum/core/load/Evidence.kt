package io.camphordrum.core.load

import kotlin.math.exp
import kotlin.math.ln

/** Sums up observations whose weight halves every [halfLifeNanos]. */
internal class Evidence(private val halfLifeNanos: Double) {
    private var count = 0.0
    private var total = 0.0
    private var atNanos = 0L

    /** When the last observation was added; null before the first. */
    var lastNanos: Long? = null
        private set

    /** Adds [observations] whose values sum up to [sum]. */
    fun add(now: Long, observations: Double, sum: Double) {
        val kept = keptPart(now)
        count = minOf(count * kept + observations, MAX_COUNT)
        total = minOf(total * kept + sum, MAX_TOTAL)
        atNanos = now
        lastNanos = now
    }

    /**
     * Returns the mean of the observations and of [priorCount] further ones of the value [prior].
     *
     * Without recent observations this is [prior] (shrinkage, as in Efron and Morris 1977).
     */
    fun mean(now: Long, prior: Double, priorCount: Double): Double {
        if (count == 0.0) return prior
        val kept = keptPart(now)
        return (total * kept + prior * priorCount) / (count * kept + priorCount)
    }

    /** Forgets all observations. */
    fun clear() {
        count = 0.0
        total = 0.0
        lastNanos = null
    }

    private fun keptPart(now: Long): Double =
        if (count == 0.0) 0.0 else exp(-ln(2.0) * maxOf(0L, now - atNanos) / halfLifeNanos)

    private companion object {
        // Bounds what the messages of other daemons can add.
        const val MAX_COUNT = 1e5
        const val MAX_TOTAL = 1e9
    }
}
