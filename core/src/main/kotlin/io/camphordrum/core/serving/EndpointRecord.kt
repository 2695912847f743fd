package io.camphordrum.core.serving

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId

/**
 * Holds the registration of an endpoint.
 *
 * @property draining whether the endpoint is leaving and must get no new requests.
 * @property coldMillis how long the endpoint stays cold from now on.
 * @property startedEpochMillis when the endpoint started; after a restart under the same id it holds nothing.
 * @property held base models and adapters that the endpoint holds.
 */
public data class EndpointRecord(
    public val id: EndpointId,
    public val service: String,
    public val address: String,
    public val dataCentre: DataCentreId,
    public val slots: Int,
    public val draining: Boolean,
    public val coldMillis: Long,
    public val startedEpochMillis: Long,
    public val held: List<HeldModel>,
)

/** Describes a base model on an endpoint and the versions of its adapters by name. */
public data class HeldModel(public val base: String, public val adapters: Map<String, Int>)
