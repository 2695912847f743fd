package io.camphordrum.core

/**
 * Describes an endpoint of the platform's instance list, which may lag behind.
 *
 * @property base base model of an engine; null for a plain service.
 * @property pool pool of a plain service; null for an engine.
 * @property fencing whether the endpoint refuses orders with an outdated fencing token.
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
