package io.camphordrum.core

import io.camphordrum.core.config.Snapshot
import io.camphordrum.core.residency.EndpointOwner
import io.camphordrum.core.residency.OwnerEffect
import io.camphordrum.core.residency.RoutedEndpoint

/** Builds the owner of an endpoint that this instance has come to own. */
internal typealias OwnerFactory = (now: Long, endpoint: ListedEndpoint, generation: Generation) -> EndpointOwner

/**
 * Keeps the list of endpoints and the owners of those that belong to this instance.
 *
 * An owner that gives up its endpoint or drains it is kept until its last ticket has ended.
 */
internal class EndpointTable(
    private val self: Member,
    private val dataCentre: DataCentreId,
    private val region: String,
    private val newOwner: OwnerFactory,
) {
    private val listed = LinkedHashMap<EndpointId, ListedEndpoint>()
    private val owners = LinkedHashMap<EndpointId, EndpointOwner>()
    private val leaving = HashSet<EndpointId>()
    private val interest = HashMap<EndpointId, HashMap<Member, Long>>()

    val all: Collection<ListedEndpoint> get() = listed.values

    val owned: Collection<EndpointOwner> get() = owners.values

    fun replace(endpoints: List<ListedEndpoint>) {
        listed.clear()
        for (endpoint in endpoints.take(MAX_ENDPOINTS)) listed[endpoint.id] = endpoint
    }

    operator fun get(id: EndpointId): ListedEndpoint? = listed[id]

    fun owner(id: EndpointId): EndpointOwner? = owners[id]

    /** Returns the endpoints that requests of this data centre may use. */
    fun routed(snapshot: Snapshot?): List<RoutedEndpoint> = listed.values
        .filter { inRegion(it, snapshot) }
        .map { RoutedEndpoint(it.id, it.base, it.pool, it.dataCentre, isLeaving(it, snapshot)) }

    private fun inRegion(endpoint: ListedEndpoint, snapshot: Snapshot?): Boolean {
        if (endpoint.dataCentre == dataCentre) return true
        return (snapshot?.region(endpoint.dataCentre) ?: region) == region
    }

    fun isLeaving(endpoint: ListedEndpoint, snapshot: Snapshot?): Boolean =
        endpoint.leaving || snapshot?.endpointLeaving(endpoint.id) == true

    /**
     * Brings the owners in line with [generation], the list and the configuration.
     *
     * @param emit takes the effects of one endpoint's owner.
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
            val mine = generation.owner(endpoint.id) == self
            val stop = drained || isLeaving(endpoint, snapshot)
            if (mine && !stop) own(now, endpoint, generation, emit) else yieldOwner(now, endpoint.id, mine, emit)
        }
        owners.keys.retainAll(listed.keys)
        interest.keys.retainAll(owners.keys)
    }

    private fun own(
        now: Long,
        endpoint: ListedEndpoint,
        generation: Generation,
        emit: (EndpointId, List<OwnerEffect>) -> Unit,
    ) {
        val known = owners[endpoint.id]
        // The drained owner still counts its tickets, so it goes on and is not replaced.
        if (leaving.remove(endpoint.id)) known?.resume()
        if (known == null) {
            owners[endpoint.id] = newOwner(now, endpoint, generation)
        } else if (known.fencing != generation.number) {
            emit(endpoint.id, known.updateGeneration(now, generation.number, generation.live.toSet()))
        }
    }

    private fun yieldOwner(
        now: Long,
        id: EndpointId,
        mine: Boolean,
        emit: (EndpointId, List<OwnerEffect>) -> Unit,
    ) {
        val owner = owners[id] ?: return
        if (leaving.add(id)) emit(id, owner.leave(now))
        if (!mine) {
            owners.remove(id)
            leaving -= id
        }
    }

    /** Records that [member] uses [endpoint], so that it receives digests until [until]. */
    fun interested(endpoint: EndpointId, member: Member, until: Long) {
        val members = interest.getOrPut(endpoint) { HashMap() }
        if (member in members || members.size < MAX_INTERESTED) members[member] = until
    }

    fun interested(now: Long, endpoint: EndpointId): List<Member> {
        val members = interest[endpoint] ?: return emptyList()
        members.values.removeIf { it - now <= 0 }
        return members.keys.toList()
    }

    private companion object {
        const val MAX_ENDPOINTS = 8_192
        const val MAX_INTERESTED = 512
    }
}
