package io.camphordrum.bench

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Compares the time to first byte of direct calls to an engine and of calls through a daemon, made alternately. */
@Serializable
data class AddedLatency(val direct: Percentiles, val throughDaemon: Percentiles)

/**
 * Holds the result of the baseline that sends requests to the engines in turn.
 *
 * @property stalls requests whose first token took at least 200 ms, which is most of one load.
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
    val allZero: Boolean
        get() = listOf(
            wrongAdapter,
            tornAnswers,
            evictionsUnderRunningRequests,
            ordersExecutedTwice,
            notRunThatRan,
            accountsOverLimit,
        ).all { it == 0 }
}

/** Holds one event of the run: when it started and ended, and the error message if it failed. */
@Serializable
data class EventResult(
    val name: String,
    @SerialName("beganSeconds") val startSeconds: Double,
    @SerialName("endedSeconds") val endSeconds: Double,
    val fault: String?,
)

/**
 * Holds the result of one run.
 *
 * @property stalls requests whose first token took at least 200 ms, which is most of one load.
 * @property bestFixedLoads loads of the best fixed placement, computed from the whole plan.
 * @property startsAfterDrain completions that the drained data centre started from 3 s after its drain to its return.
 * @property maxLoadsInFlight largest number of loads in flight over all engines.
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
    @SerialName("happened") val events: List<EventResult>,
    val startsAfterDrain: Int?,
    val roundRobin: RoundRobinResult?,
    val addedLatency: AddedLatency?,
    val examples: List<String>,
)
