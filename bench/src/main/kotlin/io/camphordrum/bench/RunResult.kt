package io.camphordrum.bench

import kotlinx.serialization.Serializable

/** Compares direct calls to an engine with calls through a daemon, one of each in turn. */
@Serializable
data class AddedLatency(val direct: Percentiles, val throughDaemon: Percentiles)

/**
 * Holds the baseline that sends requests to the engines in turn.
 *
 * @property stalls requests whose first token took at least as long as most of one load.
 */
@Serializable
data class RoundRobinResult(
    val requests: Int,
    val whole: Int,
    val stalls: Int,
    val loads: Long,
    val firstToken: Percentiles,
)

/** Holds the counts that must be zero in every run. */
@Serializable
data class MustBeZero(
    val wrongAdapter: Int,
    val tornAnswers: Int,
    val evictionsUnderRunningRequests: Int,
    val ordersExecutedTwice: Int,
    val notRunThatRan: Int,
    val accountsOverLimit: Int,
) {
    /** Whether all counts are zero. */
    val held: Boolean
        get() = listOf(
            wrongAdapter,
            tornAnswers,
            evictionsUnderRunningRequests,
            ordersExecutedTwice,
            notRunThatRan,
            accountsOverLimit,
        ).all { it == 0 }
}

/** Is one thing that happened to the fleet during the run. */
@Serializable
data class Happened(val name: String, val beganSeconds: Double, val endedSeconds: Double, val fault: String?)

/**
 * Holds the result of one run.
 *
 * @property stalls requests whose first token took at least 200 ms, which is most of one load.
 * @property bestFixedLoads loads of the best fixed placement known in hindsight.
 * @property startsAfterDrain completions that a data centre began from 3 s after it left until it returned.
 * @property maxLoadsInFlight most loads at once over all engines.
 */
@Serializable
data class RunResult(
    val scenario: String,
    val size: String,
    val seed: Long,
    val seconds: Int,
    val sent: Int,
    val endings: Map<String, Int>,
    val orderEndings: Map<String, Int>,
    val mustBeZero: MustBeZero,
    val accounts: List<AccountResult>,
    val stalls: Int,
    val loads: Long,
    val loadsPerRequest: Double,
    val bestFixedLoads: Int,
    val maxLoadsInFlight: Long,
    val maxEngineConcurrency: Long,
    val platformCallsPerSecond: Map<String, Double>,
    val happened: List<Happened>,
    val startsAfterDrain: Int?,
    val roundRobin: RoundRobinResult?,
    val addedLatency: AddedLatency?,
    val examples: List<String>,
)
