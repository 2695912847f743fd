package io.camphordrum.core.serving

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId

/**
 * Tells what an endpoint has registered about itself.
 *
 * @property draining whether it leaves and must get no new work.
 * @property coldMillis how long it stays cold from now on.
 * @property startedEpochMillis when it started; an endpoint that starts again under its id holds nothing.
 * @property held what it holds by base model.
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

/** Names a base model that an endpoint holds, and its adapters with their versions. */
public data class HeldModel(public val base: String, public val adapters: Map<String, Int>)
