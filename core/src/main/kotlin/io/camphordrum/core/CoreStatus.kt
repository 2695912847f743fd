package io.camphordrum.core

import io.camphordrum.core.residency.EndpointOwner
import kotlinx.serialization.Serializable

/**
 * Describes the state of one daemon for operators.
 *
 * @property revision configuration revision in force; 0 before the first.
 * @property members live members by data centre, as known to this daemon.
 * @property parts parts per million of each client account's limit that this daemon holds.
 */
@Serializable
public data class CoreStatus(
    public val instance: String,
    public val incarnation: Long,
    public val dataCentre: String,
    public val revision: Long,
    public val generation: Long,
    public val leaseValid: Boolean,
    public val openRequests: Int,
    public val members: Map<String, List<String>>,
    public val owned: List<OwnedEndpointStatus>,
    public val parts: Map<String, Int>,
)

/** Describes the state of an endpoint that the daemon owns. */
@Serializable
public data class OwnedEndpointStatus(
    public val endpoint: String,
    public val fencing: Long,
    public val concurrency: Int,
    public val tickets: Int,
    public val waiting: Int,
)

internal fun endpointStatus(owner: EndpointOwner) =
    OwnedEndpointStatus(owner.endpoint.name, owner.fencing, owner.concurrencyLimit, owner.ticketCount, owner.waiting)
