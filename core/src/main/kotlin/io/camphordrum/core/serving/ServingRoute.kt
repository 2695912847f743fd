package io.camphordrum.core.serving

/**
 * Sends the requests of one host and path prefix to services.
 *
 * @property pathPrefix starts and ends with a slash; the longest matching prefix of a host wins.
 * @property streaming whether answers are event streams that are passed on as they arrive.
 * @property timeoutMillis maximum time until the answer is complete.
 * @property targetMillis target time until the first part of the answer.
 * @property priority 0 is the most urgent; the priority of an account overrides it.
 * @property services services that requests are sent to, with their weights.
 * @property maxEndpoints maximum number of endpoints on which one request may run.
 * @property open whether requests need no key.
 * @property pauseMillis target for the longest pause between events of a stream; null if none is set.
 */
public data class ServingRoute(
    public val name: String,
    public val host: String,
    public val pathPrefix: String,
    public val repetition: Repetition,
    public val streaming: Boolean,
    public val timeoutMillis: Long,
    public val targetMillis: Long,
    public val priority: Int,
    public val services: List<WeightedService>,
    public val maxEndpoints: Int = 1,
    public val open: Boolean = false,
    public val pauseMillis: Long? = null,
)

/** Names a service and its weight among the services of a route. */
public data class WeightedService(public val service: String, public val weight: Int)
