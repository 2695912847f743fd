package io.camphordrum.core.serving

import io.camphordrum.core.EndpointId
import io.camphordrum.core.Rendezvous
import io.camphordrum.core.load.EndpointLoads
import kotlin.math.pow
import kotlin.random.Random

/**
 * Chooses the endpoint with the lowest cost among those where the answer begins in time.
 *
 * The expected time at an endpoint consists of the requests that are ahead there and the load of the adapter if it is
 * not held. The cost adds traffic between data centres, recent failures, and the slot and the fetch that a copy of an
 * adapter needs. If an adapter must be loaded, its rendezvous rank decides, so that daemons choose the same endpoint
 * without coordination.
 */
internal class EndpointSelector(
    context: ServingContext,
    private val loads: EndpointLoads,
    private val random: Random,
    private val loadMillis: () -> Double,
) {
    /** Pairs an endpoint with its expected time and cost, and whether the adapter must be loaded first. */
    class Choice(val state: EndpointState, val millis: Double, var cost: Double, val load: Boolean)

    private val registry = context.registry
    private val dataCentre = context.options.dataCentre

    /** Chooses an endpoint for [work]; if none begins the answer within [boundMillis], the one that begins first. */
    fun choose(
        now: Long,
        work: Work,
        service: ServedService,
        excluded: Set<EndpointId>,
        noLoad: Set<EndpointId>,
        boundMillis: Double,
    ): Choice? {
        val version = registry.announcedVersion(work.base, work.adapter)
        val usable = registry.usable(work.service, excluded).filterNot { it.isPaused(now) || it.isAtLimit(now) }
        val reachable = usable.filterNot { it.isBackingOff(now) }.ifEmpty { usable }
        val ranked = if (work.adapter == null) reachable else Rendezvous.order(work.adapter, reachable) { it.id.name }
        val choices =
            ranked.mapIndexedNotNull { rank, state -> choice(now, work, service, version, state, rank, noLoad) }
        addRemoteCost(choices, boundMillis)
        val inTime = choices.filter { it.millis <= boundMillis }.ifEmpty { return choices.minByOrNull { it.millis } }
        return if (service.engine == null) chooseByRoom(inTime) else inTime.minBy { it.cost }
    }

    // Waiting in the own data centre is worth the traffic that it saves, but only as long as its room suffices.
    private fun addRemoteCost(choices: List<Choice>, boundMillis: Double) {
        val local = choices.filter { it.state.record.dataCentre == dataCentre && !it.load }
        val localMillis = local.minOfOrNull { it.millis } ?: 0.0
        val roomPart = (2 * (1 - localMillis / boundMillis)).coerceIn(0.0, 1.0)
        val remoteMillis = LINK_MILLIS + (REMOTE_MILLIS - LINK_MILLIS) * roomPart
        for (choice in choices) if (choice.state.record.dataCentre != dataCentre) choice.cost += remoteMillis
    }

    // All daemons know the same state of some hundred milliseconds ago. If each chose the endpoint that was best then,
    // all would choose the same one, so each chooses at random, by what the endpoints can serve.
    private fun chooseByRoom(choices: List<Choice>): Choice {
        val weights = choices.map { maxOf(it.cost, MIN_COST_MILLIS).pow(-ROOM_EXPONENT) }
        var remaining = random.nextDouble() * weights.sum()
        for ((choice, weight) in choices.zip(weights)) {
            remaining -= weight
            if (remaining < 0) return choice
        }
        return choices.last()
    }

    private fun choice(
        now: Long,
        work: Work,
        service: ServedService,
        version: Int?,
        state: EndpointState,
        rank: Int,
        noLoad: Set<EndpointId>,
    ): Choice? {
        if (!state.hasColdRoom(now, registry.coldSendsPerSecond(now, state, service))) return null
        if (!registry.hasConnectionRoom(now, state, service)) return null
        val failureRate = loads.excessFailureRate(now, state)
        val penalty = failureRate * FAILURE_COST_FACTOR * work.route.targetMillis
        val wait = loads.expectedMillis(now, work, state)
        // The cost until a request succeeds, so that a failing endpoint gets little more than trials.
        val engine = service.engine
            ?: return Choice(state, wait, (wait + penalty) / (1 - minOf(failureRate, MAX_FAILURE_RATE)), load = false)
        val base = work.base ?: engine.baseModels.firstOrNull()?.name ?: return null
        if (base !in state.held) return null
        val cost = wait + penalty + loads.pausedStreams(now, work, state) * PAUSE_COST_PART * work.route.targetMillis
        if (state.holds(base, work.adapter, version)) return Choice(state, wait, cost, load = false)
        if (state.id in noLoad || !state.ownerMayOrder || !registry.ownerReachable(now, state)) return null
        val loadCount = 1 + state.ownerQueuedLoads * QUEUED_LOAD_PART
        val loadCost = LOAD_COST_MILLIS * loadCount + rank * RANK_COST_MILLIS
        return Choice(state, wait + loadMillis() * loadCount, cost + loadCost, load = true)
    }

    private companion object {
        // A further copy occupies a slot and costs a fetch from the weight store, so it must save more than the time of
        // one load.
        const val LOAD_COST_MILLIS = 400.0

        // An endpoint loads four adapters at once, so each queued load adds only a part of a load time.
        const val QUEUED_LOAD_PART = 0.25

        // Traffic between data centres is expensive; a short wait in the own data centre is preferable.
        const val REMOTE_MILLIS = 60.0

        // The longer way alone, also where traffic costs nothing.
        const val LINK_MILLIS = 10.0

        // An endpoint with twice the cost gets a sixteenth of the requests, so those that have room get nearly all.
        const val ROOM_EXPONENT = 4.0
        const val MIN_COST_MILLIS = 1.0

        // Cost of an endpoint at which all recent requests failed, in multiples of the route's target time.
        const val FAILURE_COST_FACTOR = 1.5
        const val MAX_FAILURE_RATE = 0.9

        // Cost of one stream that pauses for too long, in multiples of the target time.
        const val PAUSE_COST_PART = 0.5

        // Keeps an adapter on its first endpoints by rank: where it was held recently it loads faster and without a
        // fetch, so each further rank must save this much.
        const val RANK_COST_MILLIS = 120.0
    }
}
