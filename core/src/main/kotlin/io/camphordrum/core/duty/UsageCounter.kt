package io.camphordrum.core.duty

import io.camphordrum.core.Clock
import io.camphordrum.core.Member
import java.util.TreeMap

/**
 * Counts the requests of this daemon that began to run, by account and window of the wall clock.
 *
 * A step of the clock changes only into which window later requests fall. After a step back, a window that was closed
 * is counted again and grows; the holder ignores what comes after its decision.
 *
 * @param keptWindows number of windows that are kept; older ones are dropped.
 */
internal class UsageCounter(
    private val self: Member,
    private val clock: Clock,
    private val windowMillis: Long,
    private val keptWindows: Int,
) {
    private class Demand(var arrived: Long = 0, var begun: Long = 0, var readMillis: Double = 0.0)

    private val windows = TreeMap<Long, HashMap<String, Int>>()
    private val demand = LinkedHashMap<String, Demand>()
    private var sequence = 0L

    fun currentWindow(): Long = Math.floorDiv(clock.epochMillis(), windowMillis)

    /** Records that a request of [account] began [agoMillis] ago. */
    fun recordBegun(account: String, agoMillis: Long) {
        val window = Math.floorDiv(clock.epochMillis() - agoMillis, windowMillis)
        windows.getOrPut(window) { HashMap() }.merge(account, 1, Int::plus)
        while (windows.size > keptWindows) windows.pollFirstEntry()
    }

    /** Records a request for [service]. */
    fun recordArrival(service: String) {
        demand.getOrPut(service) { Demand() }.arrived++
    }

    /** Records that an answer of [service] began after its prompt took [readMillis] of an engine's time. */
    fun recordRead(service: String, readMillis: Double) {
        val counts = demand.getOrPut(service) { Demand() }
        counts.begun++
        counts.readMillis += readMillis
    }

    /**
     * Returns the counts of all kept windows after [decidedWindow].
     *
     * Windows before the start of this process are included as closed and empty, because nothing more will come.
     */
    fun counts(decidedWindow: Long): DutyCounts {
        val current = currentWindow()
        val oldest = maxOf(decidedWindow + 1, current - keptWindows)
        val counted = (oldest..current).map { WindowCounts(it, it < current, HashMap(windows[it].orEmpty())) }
        val demands = demand.map { (service, it) ->
            ServiceDemand(service, it.arrived, it.begun, it.readMillis.toLong())
        }
        return DutyCounts(self, ++sequence, counted, demands)
    }
}
