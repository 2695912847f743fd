package io.camphordrum.core.duty

import kotlin.math.ceil
import kotlin.math.floor

/**
 * Plans the number of endpoints of one service in one data centre.
 *
 * Answers bursts, swings and trends of demand: ordered endpoints serve only after [bootMillis], so the plan follows the
 * demand expected by then. It rises at once and by as much as is missing. It falls by a tenth at a time, and only to
 * what the highest demand of the hold time needed: an endpoint that is given up must boot again when it is missed, which
 * costs more than keeping it for a while. A swing that is shorter than the hold time therefore orders nothing.
 */
internal class EndpointPlanner(
    private val minimum: Int,
    private val maximum: Int,
    private val bootMillis: Long,
    present: Int,
) {
    private class Sample(val nanos: Long, val demand: Double)

    private val holdNanos = maxOf(MIN_HOLD_NANOS, bootMillis * NANOS_PER_MILLI * HOLD_BOOTS)
    private val sampleNanos = maxOf(MIN_SAMPLE_NANOS, holdNanos / MAX_SAMPLES)
    private val samples = ArrayDeque<Sample>()
    private var smoothed = 0.0
    private var updatedNanos = Long.MIN_VALUE / 2
    private var changedNanos = Long.MIN_VALUE / 2
    private var firstNanos = Long.MIN_VALUE / 2

    /** Number of endpoints that are wanted now. */
    var count = present.coerceIn(minimum, maximum)
        private set

    /** Endpoints that the demand expected after the boot time needs, before the bounds. */
    var expected = 0.0
        private set

    /** Continues from the last [ordered] number of a former holder. */
    fun resume(ordered: Int) {
        count = ordered.coerceIn(minimum, maximum)
    }

    /**
     * Returns the number of endpoints to have.
     *
     * @param demand endpoints that the present demand keeps as busy as they may be; null if it is not known, for example
     *   because the data centre is cut off. Then nothing changes.
     */
    fun plan(now: Long, demand: Double?): Int {
        if (demand == null) {
            // A gap says nothing about the demand in it, so the hold time starts again.
            samples.clear()
            updatedNanos = Long.MIN_VALUE / 2
            return count
        }
        record(now, demand)
        expected = expectedAfterBoot(now)
        val needed = ceil(expected - ROUNDING).toInt().coerceIn(minimum, maximum)
        if (needed > count) {
            count = needed
            changedNanos = now
        } else if (now - firstNanos >= holdNanos && now - changedNanos >= stepNanos) {
            fall(now)
        }
        return count
    }

    private fun fall(now: Long) {
        val highest = maxOf(smoothed, samples.maxOf { it.demand })
        val kept = ceil(highest * (1 + SPARE_PART)).toInt().coerceIn(minimum, maximum)
        // Smaller steps would not be worth the cold start when demand returns.
        if (count - kept < maxOf(1.0, count * HYSTERESIS_PART)) return
        count = maxOf(kept, minOf(count - 1, floor(count * (1 - STEP_PART)).toInt()))
        changedNanos = now
    }

    private fun record(now: Long, demand: Double) {
        val elapsed = now - updatedNanos
        if (updatedNanos < Long.MIN_VALUE / 4) {
            smoothed = demand
            firstNanos = now
        } else {
            smoothed += (demand - smoothed) * minOf(1.0, elapsed.toDouble() / SMOOTH_NANOS)
        }
        updatedNanos = now
        if (samples.isEmpty() || now - samples.last().nanos >= sampleNanos) samples.addLast(Sample(now, smoothed))
        while (now - samples.first().nanos > holdNanos) samples.removeFirst()
    }

    private fun expectedAfterBoot(now: Long): Double {
        val rising = smoothed + maxOf(0.0, risePerNano(now)) * bootMillis * NANOS_PER_MILLI
        val knownNanos = maxOf(MIN_KNOWN_NANOS, bootMillis * NANOS_PER_MILLI)
        val known = (samples.filter { now - it.nanos >= knownNanos }.maxOfOrNull { it.demand } ?: 0.0) * KNOWN_LEVEL
        // Demand that swings or returns after a drop rises to the level that it had, and not beyond.
        val bound = if (smoothed <= known) known else smoothed * MAX_RISE
        return rising.coerceIn(smoothed, maxOf(smoothed, bound))
    }

    /** Returns the slope of the smoothed demand over the last boot time; 0 while too little is known. */
    private fun risePerNano(now: Long): Double {
        val spanNanos = maxOf(MIN_TREND_NANOS, minOf(bootMillis * NANOS_PER_MILLI, holdNanos / 2))
        val recent = samples.filter { now - it.nanos <= spanNanos }
        if (recent.size < MIN_TREND_SAMPLES) return 0.0
        val meanNanos = recent.sumOf { (it.nanos - now).toDouble() } / recent.size
        val meanDemand = recent.sumOf { it.demand } / recent.size
        var covariance = 0.0
        var variance = 0.0
        for (sample in recent) {
            val offset = (sample.nanos - now) - meanNanos
            covariance += offset * (sample.demand - meanDemand)
            variance += offset * offset
        }
        return if (variance > 0) covariance / variance else 0.0
    }

    private val stepNanos: Long get() = maxOf(MIN_STEP_NANOS, 2 * bootMillis * NANOS_PER_MILLI)

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        // Demand of the last minute, or of several boot times, is likely to return.
        const val MIN_HOLD_NANOS = 60_000_000_000L
        const val HOLD_BOOTS = 6
        const val MAX_SAMPLES = 240
        const val MIN_SAMPLE_NANOS = 1_000_000_000L

        // Requests arrive unevenly within a second.
        const val SMOOTH_NANOS = 3_000_000_000.0
        const val MIN_TREND_NANOS = 4_000_000_000L
        const val MIN_TREND_SAMPLES = 4

        // A rise of a few seconds does not go on at the same rate for a long boot time.
        const val MAX_RISE = 1.3

        // Peaks of the same swing differ by this factor.
        const val KNOWN_LEVEL = 1.03

        // Later demand may be part of the same rise.
        const val MIN_KNOWN_NANOS = 10_000_000_000L
        const val SPARE_PART = 0.1
        const val HYSTERESIS_PART = 0.08
        const val STEP_PART = 0.1
        const val MIN_STEP_NANOS = 10_000_000_000L

        // Keeps sums of fractions from needing one more endpoint than their exact value.
        const val ROUNDING = 1e-6
    }
}
