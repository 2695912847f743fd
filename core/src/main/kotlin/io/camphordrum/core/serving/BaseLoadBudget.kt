package io.camphordrum.core.serving

/**
 * Limits the base model loads that this daemon orders in a sliding window.
 *
 * Each daemon uses an even part of the weight store's rate, so the rate holds over the fleet without coordination.
 */
internal class BaseLoadBudget(private val options: ServingOptions, private val peers: PeerTable) {
    private val loadNanos = ArrayDeque<Long>()

    /** Acquires one load from this daemon's part of [perSecond]; returns false when none is left. 0 means no limit. */
    fun tryAcquire(now: Long, perSecond: Double): Boolean {
        if (perSecond <= 0) return true
        val windowNanos = options.baseLoadWindowMillis * OrderRights.NANOS_PER_MILLI
        while (loadNanos.isNotEmpty() && now - loadNanos.first() > windowNanos) loadNanos.removeFirst()
        val fleetLoads = perSecond * options.baseLoadWindowMillis / 1_000 * options.baseLoadFactor
        if (loadNanos.size + 1 > peers.evenPart(now, KEY, fleetLoads)) return false
        loadNanos.addLast(now)
        return true
    }

    private companion object {
        const val KEY = "base loads"
    }
}
