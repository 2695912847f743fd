package io.camphordrum.core.residency

import io.camphordrum.core.BaseModelId
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId

/**
 * An endpoint that requests may be routed to.
 *
 * @property base the base model of an engine; null on a plain service.
 * @property pool the pool of a plain service; null on an engine.
 * @property leaving true when the platform or an operator is taking the endpoint out of service.
 */
public data class RoutedEndpoint(
    public val id: EndpointId,
    public val base: BaseModelId?,
    public val pool: String?,
    public val dataCentre: DataCentreId,
    public val leaving: Boolean = false,
)
