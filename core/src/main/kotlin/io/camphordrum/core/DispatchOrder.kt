package io.camphordrum.core

/**
 * Tells the daemon to send a request to an endpoint.
 *
 * @property dispatch identity of this dispatch; the endpoint repeats it.
 * @property version the exact adapter version; null for a plain service.
 * @property fencing number of the generation under which the ticket was granted.
 * @property maxTokens largest output in tokens; null for a plain service.
 * @property timeoutMillis time left until the request's deadline.
 */
public data class DispatchOrder(
    public val request: Long,
    public val dispatch: String,
    public val endpoint: EndpointId,
    public val address: String,
    public val version: AdapterVersion?,
    public val fencing: Long,
    public val priority: Int,
    public val maxTokens: Long?,
    public val timeoutMillis: Long,
)
