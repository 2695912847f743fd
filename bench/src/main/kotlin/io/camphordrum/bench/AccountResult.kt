package io.camphordrum.bench

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** Holds percentiles in milliseconds. */
@Serializable
data class Percentiles(val count: Long, val p50: Double, val p95: Double, val p99: Double, val max: Double) {
    companion object {
        /** Returns the percentiles of [nanos]. */
        fun of(nanos: List<Long>): Percentiles {
            val histogram = Histogram(3)
            for (value in nanos) histogram.recordValue(maxOf(0, value / 1_000))
            fun at(percentile: Double) = histogram.getValueAtPercentile(percentile) / 1e3
            return Percentiles(histogram.totalCount, at(50.0), at(95.0), at(99.0), at(100.0))
        }
    }
}

/** Holds the percentiles of one phase of the run by its name. */
@Serializable
data class Window(val fromSeconds: Double, val firstToken: Percentiles)

/**
 * Holds what one account got.
 *
 * @property refusedInside completions inside the rate that got no whole answer because they were refused.
 * @property excessTokens largest excess of admitted tokens over rate x T in any window.
 * @property worstMinute the window with the highest p99; a minute, or a sixth of a shorter run.
 */
@Serializable
data class AccountResult(
    val account: String,
    val sent: Int,
    val endings: Map<String, Int>,
    val firstToken: Percentiles,
    val phases: Map<String, Percentiles>,
    val worstMinute: Window?,
    val insideRate: Int,
    val refusedInside: Int,
    val admittedTokens: Long,
    val allowedTokens: Long,
    val excessTokens: Long,
    val burstTokens: Long,
)

/** Computes the result of one account from its outcomes. */
class AccountMeasure(private val spec: AccountSize, private val seconds: Int, private val outcomes: List<Outcome>) {
    private val whole = outcomes.filter { it.ending == Ending.WHOLE && it.arrival.adapter != null }

    /** Returns the result. */
    fun result(): AccountResult {
        val (inside, refused) = insideRate()
        val admitted = whole.sumOf { it.usedTokens }
        val lastSeconds = (whole.maxOfOrNull { it.firstTokenNanos } ?: 0) / 1e9
        return AccountResult(
            account = spec.name,
            sent = outcomes.size,
            endings = outcomes.groupingBy { it.ending.name.lowercase() }.eachCount().toSortedMap(),
            firstToken = Percentiles.of(whole.map { it.toFirstTokenNanos }),
            phases = phases(),
            worstMinute = worstMinute(),
            insideRate = inside,
            refusedInside = refused,
            admittedTokens = admitted,
            allowedTokens = spec.burstTokens + (spec.tokensPerSecond * lastSeconds).toLong(),
            excessTokens = excess(),
            burstTokens = spec.burstTokens,
        )
    }

    private fun insideRate(): Pair<Int, Int> {
        val bucket = ShadowBucket(spec.tokensPerSecond, spec.burstTokens)
        val inside = outcomes.filter { it.arrival.adapter != null }.filter {
            bucket.inside(it.arrival.atNanos, it.arrival.chargedTokens, it.ending == Ending.WHOLE)
        }
        return inside.size to inside.count { it.ending in REFUSALS }
    }

    private fun excess(): Long {
        val meter = RateMeter(spec.tokensPerSecond)
        for (outcome in whole.sortedBy { it.firstTokenNanos }) meter.add(outcome.firstTokenNanos, outcome.usedTokens)
        return meter.largest.toLong()
    }

    private fun phases(): Map<String, Percentiles> = PHASES.withIndex().associate { (i, name) ->
        val span = seconds * 1_000_000_000L / PHASES.size
        val part = whole.filter { (it.arrival.atNanos / span).toInt() == i }
        name to Percentiles.of(part.map { it.toFirstTokenNanos })
    }

    private fun worstMinute(): Window? {
        val span = minOf(MINUTE_SECONDS, seconds / SHORT_RUN_WINDOWS).coerceAtLeast(1) * 1_000_000_000L
        return whole.groupBy { it.arrival.atNanos / span }
            .map { (i, part) -> Window(i * span / 1e9, Percentiles.of(part.map { it.toFirstTokenNanos })) }
            .maxByOrNull { it.firstToken.p99 }
    }

    companion object {
        /** Names the thirds of a run; an event that lasts covers the second. */
        val PHASES = listOf("before", "during", "after")

        /** Endings that count as refusals. */
        val REFUSALS = setOf(Ending.LIMITED, Ending.UNAVAILABLE, Ending.OTHER_STATUS)
        private const val MINUTE_SECONDS = 60
        private const val SHORT_RUN_WINDOWS = 6
    }
}
