package io.camphordrum.core.serving

/**
 * Describes the endpoints of one service.
 *
 * @property connectionLimit connections that one endpoint accepts over all daemons.
 * @property coldRequestsPerSecond request rate that a cold endpoint can handle; 0 means no limit for cold endpoints.
 * @property engine limits of the engines; null for plain services.
 * @property healthCheckPath target of a GET request that asks a plain endpoint whether it is alive; null if unknown.
 * @property scale bounds of the number of endpoints that is ordered; null if their number is not ordered.
 */
public data class ServedService(
    public val name: String,
    public val connectionLimit: Int,
    public val coldRequestsPerSecond: Double,
    public val engine: EngineLimits? = null,
    public val healthCheckPath: String? = null,
    public val scale: ScaleBounds? = null,
)

/**
 * Bounds the number of endpoints of a service in each data centre.
 *
 * @property bootMillis time from an order until a new endpoint serves.
 */
public data class ScaleBounds(public val minimum: Int, public val maximum: Int, public val bootMillis: Long)

/**
 * Describes the limits of one engine of a service.
 *
 * @property batchSlots requests that run concurrently.
 * @property adapterSlots adapters that may be held or loading at once.
 * @property baseModels base models that the endpoints of the service may hold.
 * @property eventTokens tokens in one event of a stream.
 * @property loadsPerSecond base models that the weight store serves over all endpoints; 0 means no limit.
 */
public data class EngineLimits(
    public val batchSlots: Int,
    public val adapterSlots: Int,
    public val baseModels: List<BaseModel>,
    public val loadsPerSecond: Double = 0.0,
    public val eventTokens: Int = EVENT_TOKENS,
) {
    internal companion object {
        const val EVENT_TOKENS = 4
    }
}

/** Names a base model and the time that an engine takes to load it from the weight store. */
public data class BaseModel(public val name: String, public val loadMillis: Long)
