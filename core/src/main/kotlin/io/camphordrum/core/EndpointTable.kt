package io.camphordrum.core

import io.camphordrum.core.config.Snapshot
import io.camphordrum.core.residency.EndpointOwner
import io.camphordrum.core.residency.OwnerEffect
import io.camphordrum.core.residency.RoutedEndpoint

/** Creates the owner of an endpoint that this instance has started to own. */
internal typealias OwnerFactory = (now: Long, endpoint: ListedEndpoint, generation: Generation) -> EndpointOwner

/**
 * Holds the list of endpoints and the owners of the endpoints that this instance owns.
 *
 * An owner that drains its endpoint is kept while this instance owns the endpoint, since it counts the open tickets.
 */
internal class EndpointTable(
    private val self: Member,
    private val dataCentre: DataCentreId,
    private val region: String,
    private val createOwner: OwnerFactory,
) {
    private val listed = LinkedHashMap<EndpointId, ListedEndpoint>()
    private val owners = LinkedHashMap<EndpointId, EndpointOwner>()
    private val draining = HashSet<EndpointId>()
    private val subscriptions = HashMap<EndpointId, HashMap<Member, Long>>()

    val all: Collection<ListedEndpoint> get() = listed.values

    val owned: Collection<EndpointOwner> get() = owners.values

    fun replaceEndpoints(endpoints: List<ListedEndpoint>) {
        listed.clear()
        for (endpoint in endpoints.take(MAX_ENDPOINTS)) listed[endpoint.id] = endpoint
    }

    operator fun get(id: EndpointId): ListedEndpoint? = listed[id]

    fun owner(id: EndpointId): EndpointOwner? = owners[id]

    /** Returns the endpoints in the region, which requests of this data centre may use. */
    fun routable(snapshot: Snapshot?): List<RoutedEndpoint> = listed.values
        .filter { inRegion(it, snapshot) }
        .map { RoutedEndpoint(it.id, it.base, it.pool, it.dataCentre, isLeaving(it, snapshot)) }

    private fun inRegion(endpoint: ListedEndpoint, snapshot: Snapshot?): Boolean {
        if (endpoint.dataCentre == dataCentre) return true
        return (snapshot?.region(endpoint.dataCentre) ?: region) == region
    }

    fun isLeaving(endpoint: ListedEndpoint, snapshot: Snapshot?): Boolean =
        endpoint.leaving || snapshot?.endpointLeaving(endpoint.id) == true

    /**
     * Updates the owners to match [generation], the list of endpoints and the configuration.
     *
     * @param emit receives the effects of one endpoint's owner.
     */
    fun sync(
        now: Long,
        generation: Generation,
        snapshot: Snapshot?,
        drained: Boolean,
        emit: (EndpointId, List<OwnerEffect>) -> Unit,
    ) {
        for (endpoint in listed.values) {
            if (endpoint.dataCentre != dataCentre) continue
            val owned = generation.owner(endpoint.id) == self
            val drain = drained || isLeaving(endpoint, snapshot)
            if (owned && !drain) acquire(now, endpoint, generation, emit) else release(now, endpoint.id, owned, emit)
        }
        owners.keys.retainAll(listed.keys)
        subscriptions.keys.retainAll(owners.keys)
    }

    private fun acquire(
        now: Long,
        endpoint: ListedEndpoint,
        generation: Generation,
        emit: (EndpointId, List<OwnerEffect>) -> Unit,
    ) {
        val existing = owners[endpoint.id]
        // The draining owner still counts its tickets, so it is resumed and not replaced.
        if (draining.remove(endpoint.id)) existing?.resume()
        if (existing == null) {
            owners[endpoint.id] = createOwner(now, endpoint, generation)
        } else if (existing.fencing != generation.number) {
            emit(endpoint.id, existing.updateGeneration(now, generation.number, generation.live.toSet()))
        }
    }

    private fun release(
        now: Long,
        id: EndpointId,
        owned: Boolean,
        emit: (EndpointId, List<OwnerEffect>) -> Unit,
    ) {
        val owner = owners[id] ?: return
        if (draining.add(id)) emit(id, owner.leave(now))
        if (!owned) {
            owners.remove(id)
            draining -= id
        }
    }

    /** Subscribes [member] to the digests of [endpoint] until [until]. */
    fun subscribe(endpoint: EndpointId, member: Member, until: Long) {
        val members = subscriptions.getOrPut(endpoint) { HashMap() }
        if (member in members || members.size < MAX_SUBSCRIBERS) members[member] = until
    }

    /** Returns the members whose subscription to the digests of [endpoint] has not expired. */
    fun subscribers(now: Long, endpoint: EndpointId): List<Member> {
        val members = subscriptions[endpoint] ?: return emptyList()
        members.values.removeIf { it - now <= 0 }
        return members.keys.toList()
    }

    private companion object {
        const val MAX_ENDPOINTS = 8_192
        const val MAX_SUBSCRIBERS = 512
    }
}
