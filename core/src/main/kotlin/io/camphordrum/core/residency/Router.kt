@file:Suppress("UnusedParameter", "UnusedPrivateProperty", "FunctionOnlyReturningConstant", "EmptyFunctionBlock")

package io.camphordrum.core.residency

import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.BaseModelId
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId

/**
 * Orders the endpoints that a request may use, the best first.
 *
 * It keeps state per endpoint only, and none for an adapter that is resident nowhere.
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
    /** Replaces the list of endpoints; what is known about those that stay is kept. */
    public fun endpoints(now: Long, endpoints: List<RoutedEndpoint>) {}

    /** Replaces the set of data centres that get no new work. */
    public fun drained(now: Long, dataCentres: Set<DataCentreId>) {}

    /** Takes a digest of an endpoint's owner. */
    public fun receive(now: Long, digest: ResidencyMessage.Digest) {}

    /** Takes what the owner's answer to a ticket request tells: the wait, and the adapter when it was granted. */
    public fun answered(now: Long, endpoint: EndpointId, waitNanos: Long, granted: AdapterVersion? = null) {}

    /** Takes a hint that [endpoint] has recently cached the prompt prefix with the hash [prefix]. */
    public fun cached(now: Long, endpoint: EndpointId, prefix: Long) {}

    /** Returns the candidates for an adapter, the best first; empty when none can take work. */
    public fun choose(now: Long, version: AdapterVersion, base: BaseModelId, prefix: Long? = null): List<EndpointId> =
        emptyList()

    /** Returns the candidates of a pool of plain services; [spread] varies by request and spreads the load. */
    public fun choose(now: Long, pool: String, spread: Long): List<EndpointId> = emptyList()

    /** Returns the endpoints that are known to hold [version], for dispatch without tickets. */
    public fun holders(now: Long, version: AdapterVersion, base: BaseModelId): List<EndpointId> = emptyList()
}
