package io.camphordrum.core

/**
 * Describes a request that the daemon sends to an endpoint.
 *
 * @property dispatch identifier of this dispatch; the endpoint returns it in its answer.
 * @property version exact adapter version; null for a plain service.
 * @property fencing fencing token: the number of the generation under which the ticket was granted.
 * @property maxTokens maximum length of the output in tokens; null for a plain service.
 * @property timeoutMillis time until the ticket expires or the request's deadline passes, whichever is first.
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
