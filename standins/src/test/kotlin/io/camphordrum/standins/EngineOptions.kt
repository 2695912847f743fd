package io.camphordrum.standins

/**
 * Configures the size and speed of a simulated engine.
 *
 * @property slots largest number of resident adapters.
 * @property maxRunning largest number of sequences in one batch; further sequences wait.
 * @property stepMillis base duration of a step, in which each running sequence produces one token.
 * @property stepMillisPerRunning additional duration of a step per running sequence.
 * @property warmupRequests completed requests after which a cold engine is warm; 0 starts it warm.
 * @property coldRunning number of sequences above which a cold engine is slower by [coldFactor].
 * @property coldFails whether a cold engine with [coldRunning] sequences answers 503 instead of slowing down.
 * @property sharedLoadCounterUrl URL of the platform stand-in that counts the loads of all engines, or null.
 */
data class EngineOptions(
    val slots: Int = 4,
    val maxRunning: Int = 64,
    val stepMillis: Double = 5.0,
    val stepMillisPerRunning: Double = 0.25,
    val loadMillis: Long = 250,
    val metricsLagMillis: Long = 0,
    val enforceFencing: Boolean = true,
    val warmupRequests: Int = 8,
    val coldRunning: Int = 3,
    val coldFactor: Double = 20.0,
    val coldFails: Boolean = false,
    val sharedLoadCounterUrl: String? = null,
)
