package io.camphordrum.core

/**
 * Describes an endpoint of the platform's lagging instance list.
 *
 * @property base the base model of an engine; null on a plain service.
 * @property pool the pool of a plain service; null on an engine.
 * @property fencing whether the endpoint refuses orders with an old fencing number.
 */
public data class ListedEndpoint(
    public val id: EndpointId,
    public val base: BaseModelId?,
    public val pool: String?,
    public val dataCentre: DataCentreId,
    public val address: String,
    public val leaving: Boolean,
    public val fencing: Boolean,
)
