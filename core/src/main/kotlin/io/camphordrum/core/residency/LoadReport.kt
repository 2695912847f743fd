package io.camphordrum.core.residency

import io.camphordrum.core.AdapterVersion

/**
 * The state that an endpoint published about itself; it may lag behind the actual state.
 *
 * @property incarnation changes when the endpoint restarts.
 * @property sampledNanos when the request for the report was sent, on the owner's monotonic clock.
 * @property resident the adapters that are loaded at the endpoint.
 * @property running the number of requests in the endpoint's batch.
 * @property waiting the number of requests in the endpoint's own queue.
 * @property slots the number of adapters that the endpoint can hold; 0 on a plain service.
 * @property busy the adapters with running or waiting requests, or null when the endpoint does not publish them.
 */
public data class LoadReport(
    public val incarnation: Long,
    public val sampledNanos: Long,
    public val resident: Set<AdapterVersion>,
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
    public val busy: Set<AdapterVersion>? = null,
)
