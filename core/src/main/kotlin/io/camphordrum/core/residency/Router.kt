package io.camphordrum.core.residency

import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.BaseModelId
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Rendezvous

/**
 * Ranks the endpoints that a request may use, the best first.
 *
 * It keeps state per endpoint only, and none for an adapter that is resident nowhere. The candidates of an adapter are
 * the first endpoints of its base model by rendezvous hash. An endpoint where the adapter is resident ranks before
 * those that would have to load it, unless it has been overloaded for some time; then the adapter spills to the next
 * candidate, where a second replica of it is loaded.
 *
 * ```kotlin
 * router.replaceEndpoints(now, listOf(RoutedEndpoint(EndpointId("e1"), base, null, dataCentre)))
 * val best = router.choose(now, version, base).firstOrNull()
 * ```
 *
 * @param reachable whether the owner of an endpoint can receive ticket requests.
 */
public class Router(
    private val reachable: (EndpointId) -> Boolean = { true },
    private val settings: RouterSettings = RouterSettings(),
) {
    private val views = LinkedHashMap<EndpointId, EndpointView>()
    private var groups: Map<Any, List<EndpointView>> = emptyMap()
    private var drainedDataCentres: Set<DataCentreId> = emptySet()
    private val residencyIndex = ResidencyIndex()
    private val hints = PrefixHints(settings)

    /** Replaces the list of endpoints; the state of those that remain is kept. */
    public fun replaceEndpoints(now: Long, endpoints: List<RoutedEndpoint>) {
        val listed = endpoints.take(settings.endpointLimit)
        val kept = listed.mapTo(HashSet()) { it.id }
        views.values.filter { it.endpoint.id !in kept }.forEach { it.clearResident() }
        views.keys.retainAll(kept)
        for (endpoint in listed) {
            val view = views.getOrPut(endpoint.id) { EndpointView(endpoint, now, residencyIndex) }
            view.endpoint = endpoint
        }
        groups = views.values
            .filter { !it.endpoint.leaving && it.group != null }
            .groupBy { checkNotNull(it.group) }
    }

    /** Replaces the set of drained data centres, which receive no new requests. */
    public fun replaceDrained(now: Long, dataCentres: Set<DataCentreId>) {
        drainedDataCentres = dataCentres
        hints.expire(now)
    }

    /** Applies a digest from the owner of an endpoint. */
    public fun receive(now: Long, digest: ResidencyMessage.Digest) {
        views[digest.endpoint]?.applyDigest(now, digest, settings)
    }

    /** Records the wait from an answer to a ticket request, and the adapter [granted] when the ticket was granted. */
    public fun recordAnswer(now: Long, endpoint: EndpointId, waitNanos: Long, granted: AdapterVersion? = null) {
        val view = views[endpoint] ?: return
        view.recordWait(now, waitNanos, settings)
        if (granted != null) view.addResident(granted, settings)
    }

    /** Records a hint that [endpoint] has recently cached the prompt prefix with the hash [prefix]. */
    public fun recordCachedPrefix(now: Long, endpoint: EndpointId, prefix: Long) {
        if (endpoint in views) hints.add(now, prefix, endpoint)
    }

    /** Returns the candidates for an adapter, the best first; empty when none accepts requests. */
    public fun choose(now: Long, version: AdapterVersion, base: BaseModelId, prefix: Long? = null): List<EndpointId> {
        val group = groups[base] ?: return emptyList()
        val hashCandidates = selectByHash(group, Rendezvous.hash(version.adapter))
        val resident = residencyIndex[version].filter { it.group == base && !it.endpoint.leaving }
        val hinted = prefix?.let { hints.find(now, it) }
        return (hashCandidates + resident.filter { it !in hashCandidates && serving(it) })
            .sortedWith(compareBy({ rank(now, it, it in resident) }, { if (it.endpoint.id == hinted) 0 else 1 }))
            .map { it.endpoint.id }
    }

    /** Returns the candidates of a pool of plain services; [spread] differs by request and distributes the load. */
    public fun choose(now: Long, pool: String, spread: Long): List<EndpointId> {
        val group = groups[pool] ?: return emptyList()
        return selectByHash(group, spread)
            .sortedBy { it.currentWaitNanos(now, settings) / settings.spillWaitNanos }
            .map { it.endpoint.id }
    }

    /**
     * Returns the endpoints where [version] is known to be resident, for dispatch without tickets.
     *
     * An eviction that was ordered under a valid lease can still take effect: dispatch without a ticket only when no
     * owner has had a valid lease for [OwnerSettings.orderTimeoutNanos].
     */
    public fun residentEndpoints(now: Long, version: AdapterVersion, base: BaseModelId): List<EndpointId> =
        residencyIndex[version]
            .filter { it.group == base && !it.endpoint.leaving && it.endpoint.dataCentre !in drainedDataCentres }
            .sortedBy { it.currentWaitNanos(now, settings) }
            .map { it.endpoint.id }

    // Endpoints with the adapter and a short wait rank first, then those that would load it, then overloaded ones.
    private fun rank(now: Long, view: EndpointView, resident: Boolean): Int {
        val longWait = view.currentWaitNanos(now, settings) > settings.spillWaitNanos
        return when {
            resident && !(longWait && view.persistentlyOverloaded(now, settings)) -> 0
            !resident && !longWait -> 1
            resident -> 2
            else -> 3
        }
    }

    private fun serving(view: EndpointView): Boolean =
        view.endpoint.dataCentre !in drainedDataCentres && reachable(view.endpoint.id)

    // Selects the highest weights in one pass, because sorting a thousand endpoints for each request is too slow.
    private fun selectByHash(group: List<EndpointView>, seed: Long): List<EndpointView> {
        val selected = ArrayList<EndpointView>(settings.candidateCount + 1)
        val weights = LongArray(settings.candidateCount + 1)
        for (view in group) {
            val weight = Rendezvous.mix(seed, view.hash)
            if (selected.size == settings.candidateCount && weight <= weights[selected.size - 1]) continue
            if (!serving(view)) continue
            var index = selected.size
            while (index > 0 && weights[index - 1] < weight) {
                weights[index] = weights[index - 1]
                index--
            }
            weights[index] = weight
            selected.add(index, view)
            if (selected.size > settings.candidateCount) selected.removeAt(settings.candidateCount)
        }
        return selected
    }
}
