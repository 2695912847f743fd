package io.camphordrum.core.serving

/**
 * Bounds the loads of base models that this daemon orders in a sliding window.
 *
 * Each daemon uses an even part of the weight store's rate, so it holds over the fleet without any exchange.
 */
internal class BaseLoadBudget(private val options: ServingOptions) {
    private val ordered = ArrayDeque<Long>()

    /** Takes one load out of the part of [perSecond] that one of [daemons] may use; returns false when none is left. */
    fun take(now: Long, perSecond: Double, daemons: Int): Boolean {
        if (perSecond <= 0) return true
        val windowNanos = options.baseLoadWindowMillis * OrderRights.NANOS_PER_MILLI
        while (ordered.isNotEmpty() && now - ordered.first() > windowNanos) ordered.removeFirst()
        val fleet = perSecond * options.baseLoadWindowMillis / 1_000 * options.baseLoadFactor
        if (ordered.size >= maxOf(1, (fleet / maxOf(1, daemons)).toInt())) return false
        ordered.addLast(now)
        return true
    }
}
