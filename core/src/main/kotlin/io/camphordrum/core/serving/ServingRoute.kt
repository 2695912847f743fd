package io.camphordrum.core.serving

/**
 * Sends the requests of one host and path prefix to services.
 *
 * @property pathPrefix begins and ends with a slash; the longest prefix of a host that begins a path wins.
 * @property streaming whether answers are series of events that are passed on as they arrive.
 * @property timeoutMillis longest time until the final answer.
 * @property targetMillis time to the first part of the answer within which a caller is served well.
 * @property priority rank, 0 first; an account's own priority goes before it.
 * @property services where requests go, each with its weight.
 * @property maxEndpoints most endpoints on which one request may run.
 * @property open whether requests need no key.
 * @property pauseMillis longest pause between events with which a stream is still served well; null where none is set.
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

/** Names a service and the part of a route's requests that it gets. */
public data class WeightedService(public val service: String, public val weight: Int)
