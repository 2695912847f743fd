package io.camphordrum.core.admission

import kotlin.math.max
import kotlin.math.min

/**
 * Assigns the times at which refused callers may return, so that they find room and do not all come at once.
 *
 * The callers of one service and priority return one after the other, more urgent ones at shorter intervals. A caller
 * that would have to wait longer than a caller waits at all returns at a time within that wait that its lot decides.
 */
internal class ReturnTimes {
    private val nextNanos = HashMap<Pair<String, Int>, Long>()

    /** Returns the milliseconds after which the caller of [request], which finds room in [excessMillis], may return. */
    fun retryMillis(now: Long, request: AdmissionRequest, excessMillis: Double): Long {
        // Callers do not wait longer than a third of the time that they have left.
        val latestMillis = max(MIN_MILLIS, min(MAX_MILLIS, request.leftMillis * CALLER_WAIT_PART))
        val earliestMillis = max(MIN_MILLIS, min(latestMillis * EARLIEST_PART, excessMillis))
        val line = request.service to request.priority
        val earliestNanos = now + (earliestMillis * 1e6).toLong()
        val slotNanos = max(earliestNanos, nextNanos[line] ?: earliestNanos)
        val slotMillis = (slotNanos - now) / 1e6
        if (slotMillis > latestMillis) {
            val lot = (request.lot ushr 1) / Long.MAX_VALUE.toDouble()
            return (earliestMillis + lot * max(0.0, latestMillis - earliestMillis)).toLong()
        }
        if (nextNanos.size >= MAX_LINES && line !in nextNanos) nextNanos.clear()
        nextNanos[line] = slotNanos + INTERVAL_NANOS * (1 + request.priority.coerceIn(0, AdmissionPolicy.MAX_PRIORITY))
        return slotMillis.toLong()
    }

    private companion object {
        // An unanswered prompt is read within a few hundred milliseconds; an overload lasts for seconds.
        const val MIN_MILLIS = 600.0
        const val MAX_MILLIS = 4_000.0
        const val CALLER_WAIT_PART = 0.3

        // Leaves a span over which callers return if there is no room for as long as they wait.
        const val EARLIEST_PART = 0.75
        const val INTERVAL_NANOS = 250_000_000L
        const val MAX_LINES = 1_024
    }
}
