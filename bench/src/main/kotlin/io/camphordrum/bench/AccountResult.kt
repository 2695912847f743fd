package io.camphordrum.bench

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** Holds percentiles in milliseconds. */
@Serializable
data class Percentiles(val count: Long, val p50: Double, val p95: Double, val p99: Double, val max: Double) {
    companion object {
        /** Returns the percentiles of [nanos], rounded down to microseconds; negative values count as 0. */
        fun of(nanos: List<Long>): Percentiles {
            val histogram = Histogram(3)
            for (value in nanos) histogram.recordValue(maxOf(0, value / 1_000))
            fun atMillis(percentile: Double) = histogram.getValueAtPercentile(percentile) / 1e3
            return Percentiles(histogram.totalCount, atMillis(50.0), atMillis(95.0), atMillis(99.0), atMillis(100.0))
        }
    }
}

/** Holds the time to first token in one time window of the run. */
@Serializable
data class Window(val fromSeconds: Double, val firstToken: Percentiles)

/**
 * Holds the result of one account.
 *
 * @property refusedInside completions within the rate that were refused.
 * @property excessTokens largest excess of admitted tokens over rate x T in any window.
 * @property worstMinute the window with the highest p99; one minute long, or a sixth of the run if that is shorter.
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
class AccountMeasure(private val account: AccountSize, private val seconds: Int, private val outcomes: List<Outcome>) {
    private val whole = outcomes.filter { it.ending == Ending.WHOLE && it.arrival.adapter != null }

    fun result(): AccountResult {
        val (withinRate, refusedWithinRate) = countWithinRate()
        val admittedTokens = whole.sumOf { it.usedTokens }
        val lastFirstTokenSeconds = (whole.maxOfOrNull { it.firstTokenNanos } ?: 0) / 1e9
        return AccountResult(
            account = account.name,
            sent = outcomes.size,
            endings = outcomes.groupingBy { it.ending.name.lowercase() }.eachCount().toSortedMap(),
            firstToken = Percentiles.of(whole.map { it.timeToFirstTokenNanos }),
            phases = phases(),
            worstMinute = worstMinute(),
            insideRate = withinRate,
            refusedInside = refusedWithinRate,
            admittedTokens = admittedTokens,
            allowedTokens = account.burstTokens + (account.tokensPerSecond * lastFirstTokenSeconds).toLong(),
            excessTokens = largestExcessTokens(),
            burstTokens = account.burstTokens,
        )
    }

    private fun countWithinRate(): Pair<Int, Int> {
        val bucket = ReferenceTokenBucket(account.tokensPerSecond, account.burstTokens)
        val withinRate = outcomes.filter { it.arrival.adapter != null }.filter {
            bucket.isWithinLimit(it.arrival.atNanos, it.arrival.chargedTokens, it.ending == Ending.WHOLE)
        }
        return withinRate.size to withinRate.count { it.ending in REFUSALS }
    }

    private fun largestExcessTokens(): Long {
        val meter = RateMeter(account.tokensPerSecond)
        for (outcome in whole.sortedBy { it.firstTokenNanos }) meter.add(outcome.firstTokenNanos, outcome.usedTokens)
        return meter.largestExcessTokens.toLong()
    }

    private fun phases(): Map<String, Percentiles> = PHASES.withIndex().associate { (i, name) ->
        val phaseNanos = seconds * 1_000_000_000L / PHASES.size
        val phaseOutcomes = whole.filter { (it.arrival.atNanos / phaseNanos).toInt() == i }
        name to Percentiles.of(phaseOutcomes.map { it.timeToFirstTokenNanos })
    }

    private fun worstMinute(): Window? {
        val windowNanos = minOf(MINUTE_SECONDS, seconds / MIN_WINDOWS).coerceAtLeast(1) * 1_000_000_000L
        return whole.groupBy { it.arrival.atNanos / windowNanos }
            .map { (i, group) -> Window(i * windowNanos / 1e9, Percentiles.of(group.map { it.timeToFirstTokenNanos })) }
            .maxByOrNull { it.firstToken.p99 }
    }

    companion object {
        /** Names of the thirds of a run; an event with a duration covers the second. */
        val PHASES = listOf("before", "during", "after")

        /** Endings that count as refusals. */
        val REFUSALS = setOf(Ending.LIMITED, Ending.UNAVAILABLE, Ending.OTHER_STATUS)
        private const val MINUTE_SECONDS = 60
        private const val MIN_WINDOWS = 6
    }
}
