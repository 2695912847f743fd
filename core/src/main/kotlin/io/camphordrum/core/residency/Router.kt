package io.camphordrum.core.residency

import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.BaseModelId
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Rendezvous

/**
 * Orders the endpoints that a request may use, the best first.
 *
 * It keeps state per endpoint only, and none for an adapter that is resident nowhere. An adapter's candidates are the
 * first endpoints of its base model by rendezvous hash. An endpoint that holds the adapter comes before those that
 * would have to load it, unless it has been overloaded for a while; then the adapter spills to the next candidate,
 * where a second replica of it is loaded.
 *
 * ```kotlin
 * router.endpoints(now, listOf(RoutedEndpoint(EndpointId("e1"), base, null, dataCentre)))
 * val best = router.choose(now, version, base).firstOrNull()
 * ```
 *
 * @param reachable whether the owner of an endpoint can be asked for a ticket.
 */
public class Router(
    private val reachable: (EndpointId) -> Boolean = { true },
    private val settings: RouterSettings = RouterSettings(),
) {
    private val views = LinkedHashMap<EndpointId, EndpointView>()
    private var groups: Map<Any, List<EndpointView>> = emptyMap()
    private var drained: Set<DataCentreId> = emptySet()
    private val holders = Holders()
    private val hints = PrefixHints(settings)

    /** Replaces the list of endpoints; what is known about those that stay is kept. */
    public fun endpoints(now: Long, endpoints: List<RoutedEndpoint>) {
        val listed = endpoints.take(settings.endpointLimit)
        val kept = listed.mapTo(HashSet()) { it.id }
        views.values.filter { it.endpoint.id !in kept }.forEach { it.clear() }
        views.keys.retainAll(kept)
        for (endpoint in listed) {
            val view = views.getOrPut(endpoint.id) { EndpointView(endpoint, now, holders) }
            view.endpoint = endpoint
        }
        groups = views.values
            .filter { !it.endpoint.leaving && it.group != null }
            .groupBy { checkNotNull(it.group) }
    }

    /** Replaces the set of data centres that get no new work. */
    public fun drained(now: Long, dataCentres: Set<DataCentreId>) {
        drained = dataCentres
        hints.expire(now)
    }

    /** Takes a digest of an endpoint's owner. */
    public fun receive(now: Long, digest: ResidencyMessage.Digest) {
        views[digest.endpoint]?.receive(now, digest, settings)
    }

    /** Takes what the owner's answer to a ticket request tells: the wait, and the adapter when it was granted. */
    public fun answered(now: Long, endpoint: EndpointId, waitNanos: Long, granted: AdapterVersion? = null) {
        val view = views[endpoint] ?: return
        view.waits(now, waitNanos, settings)
        if (granted != null) view.holds(granted, settings)
    }

    /** Takes a hint that [endpoint] has recently cached the prompt prefix with the hash [prefix]. */
    public fun cached(now: Long, endpoint: EndpointId, prefix: Long) {
        if (endpoint in views) hints.add(now, prefix, endpoint)
    }

    /** Returns the candidates for an adapter, the best first; empty when none can take work. */
    public fun choose(now: Long, version: AdapterVersion, base: BaseModelId, prefix: Long? = null): List<EndpointId> {
        val group = groups[base] ?: return emptyList()
        val homes = first(group, Rendezvous.hash(version.adapter))
        val held = holders[version].filter { it.group == base && !it.endpoint.leaving }
        val hinted = prefix?.let { hints.find(now, it) }
        return (homes + held.filter { it !in homes && serving(it) })
            .sortedWith(compareBy({ rank(now, it, it in held) }, { if (it.endpoint.id == hinted) 0 else 1 }))
            .map { it.endpoint.id }
    }

    /** Returns the candidates of a pool of plain services; [spread] varies by request and spreads the load. */
    public fun choose(now: Long, pool: String, spread: Long): List<EndpointId> {
        val group = groups[pool] ?: return emptyList()
        return first(group, spread)
            .sortedBy { it.wait(now, settings) / settings.spillNanos }
            .map { it.endpoint.id }
    }

    /**
     * Returns the endpoints that are known to hold [version], for dispatch without tickets.
     *
     * An eviction that was ordered under a valid lease can still take effect: dispatch without a ticket only when no
     * owner has had a valid lease for [OwnerSettings.orderNanos].
     */
    public fun holders(now: Long, version: AdapterVersion, base: BaseModelId): List<EndpointId> =
        holders[version]
            .filter { it.group == base && !it.endpoint.leaving && it.endpoint.dataCentre !in drained }
            .sortedBy { it.wait(now, settings) }
            .map { it.endpoint.id }

    // Holders with a short wait, then candidates that would load the adapter at home or beyond, then the overloaded.
    private fun rank(now: Long, view: EndpointView, held: Boolean): Int {
        val over = view.wait(now, settings) > settings.spillNanos
        return when {
            held && !(over && view.overloaded(now, settings)) -> 0
            !held && !over -> 1
            held -> 2
            else -> 3
        }
    }

    private fun serving(view: EndpointView): Boolean =
        view.endpoint.dataCentre !in drained && reachable(view.endpoint.id)

    // Selects the highest weights in one pass, as sorting a thousand endpoints for each request is too slow.
    private fun first(group: List<EndpointView>, seed: Long): List<EndpointView> {
        val best = ArrayList<EndpointView>(settings.candidates + 1)
        val weights = LongArray(settings.candidates + 1)
        for (view in group) {
            val weight = Rendezvous.mix(seed, view.hash)
            if (best.size == settings.candidates && weight <= weights[best.size - 1]) continue
            if (!serving(view)) continue
            var at = best.size
            while (at > 0 && weights[at - 1] < weight) {
                weights[at] = weights[at - 1]
                at--
            }
            weights[at] = weight
            best.add(at, view)
            if (best.size > settings.candidates) best.removeAt(settings.candidates)
        }
        return best
    }
}
