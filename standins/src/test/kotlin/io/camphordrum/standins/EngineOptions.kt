package io.camphordrum.standins

/**
 * Sets the size and speed of an engine.
 *
 * @property slots adapters held at once.
 * @property maxRunning sequences in one batch; more wait.
 * @property stepMillis time of one token with an empty batch.
 * @property stepMillisPerRunning what each running sequence adds to the time of one token.
 * @property warmupRequests completed requests after which a cold engine is warm; 0 starts it warm.
 * @property coldRunning sequences that a cold engine can run before it slows down by [coldFactor].
 * @property coldFails makes a cold engine answer 503 instead of slowing down.
 * @property loadsShared address of the platform stand-in that counts the loads of all engines.
 */
data class EngineOptions(
    val slots: Int = 4,
    val maxRunning: Int = 64,
    val stepMillis: Double = 5.0,
    val stepMillisPerRunning: Double = 0.25,
    val loadMillis: Long = 250,
    val metricsLagMillis: Long = 0,
    val honourFencing: Boolean = true,
    val warmupRequests: Int = 8,
    val coldRunning: Int = 3,
    val coldFactor: Double = 20.0,
    val coldFails: Boolean = false,
    val loadsShared: String? = null,
)
