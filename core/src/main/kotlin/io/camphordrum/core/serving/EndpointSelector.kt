package io.camphordrum.core.serving

import io.camphordrum.core.EndpointId
import io.camphordrum.core.Rendezvous
import io.camphordrum.core.load.EndpointLoads

/**
 * Chooses the endpoint with the lowest cost among those where the answer begins in time.
 *
 * The expected time at an endpoint consists of the requests that are ahead there and the load of the adapter if it is
 * not held. The cost adds traffic between data centres, streams that a long prompt delays, recent failures, and the
 * slot and the fetch that a copy of an adapter needs. If an adapter must be loaded, its rendezvous rank decides, so
 * that daemons choose the same endpoint without coordination.
 */
internal class EndpointSelector(
    private val context: ServingContext,
    private val loads: EndpointLoads,
    private val loadMillis: () -> Double,
) {
    /** Pairs an endpoint with its expected time and cost, and whether the adapter must be loaded first. */
    class Choice(val state: EndpointState, val millis: Double, val cost: Double, val load: Boolean)

    private val registry = context.registry
    private val dataCentre = context.options.dataCentre

    /** Returns the endpoints for [work]; excludes those in [excluded], and loads no adapter at those in [noLoad]. */
    fun candidates(
        now: Long,
        work: Work,
        service: ServedService,
        excluded: Set<EndpointId>,
        noLoad: Set<EndpointId>,
    ): Candidates {
        val usable = registry.usable(work.service, excluded).filterNot { it.isPaused(now) || it.isAtLimit(now) }
        val reachable = usable.filterNot { it.isBackingOff(now) }.ifEmpty { usable }
        val ranked = if (work.adapter == null) reachable else Rendezvous.order(work.adapter, reachable) { it.id.name }
        return Candidates(now, work, service, noLoad, ranked)
    }

    /** Holds the endpoints for one request, the preferred ones of its adapter first. */
    inner class Candidates internal constructor(
        private val now: Long,
        private val work: Work,
        private val service: ServedService,
        private val noLoad: Set<EndpointId>,
        private val ranked: List<EndpointState>,
    ) {
        private val version = registry.announcedVersion(work.base, work.adapter)

        /**
         * Chooses an endpoint for the request at [rank]; if none begins the answer within [boundMillis], the one that
         * begins first.
         */
        fun choose(rank: Int, boundMillis: Double): Choice? {
            val choices = ranked.mapIndexedNotNull { index, state -> choice(state, index, rank) }
            return choices.filter { it.millis <= boundMillis }.minByOrNull { it.cost }
                ?: choices.minByOrNull { it.millis }
        }

        private fun choice(state: EndpointState, adapterRank: Int, rank: Int): Choice? {
            if (!state.hasColdRoom(now, registry.coldSendsPerSecond(now, state, service))) return null
            if (!registry.hasConnectionRoom(now, state, service)) return null
            val penalty = penalty(now, work, state)
            val wait = loads.expectedMillis(now, work, state, rank)
            val engine = service.engine ?: return Choice(state, wait, wait + penalty, load = false)
            val base = work.base ?: engine.baseModels.firstOrNull()?.name ?: return null
            if (base !in state.held) return null
            if (state.holds(base, work.adapter, version)) return Choice(state, wait, wait + penalty, load = false)
            if (state.id in noLoad || !state.ownerMayOrder || !registry.ownerReachable(now, state)) return null
            val loadCount = 1 + state.ownerQueuedLoads * QUEUED_LOAD_PART
            val cost = wait + penalty + LOAD_COST_MILLIS * loadCount + adapterRank * RANK_COST_MILLIS
            return Choice(state, wait + loadMillis() * loadCount, cost, load = true)
        }
    }

    private fun penalty(now: Long, work: Work, state: EndpointState): Double {
        val remoteMillis = if (state.record.dataCentre == dataCentre) 0.0 else REMOTE_MILLIS
        val exceedsPause = context.exceedsPause(work.service, work.promptTokens, state.slowness)
        val pauseMillis = if (exceedsPause) state.runningEverywhere(now) * STREAM_PAUSE_MILLIS else 0.0
        return remoteMillis + pauseMillis + state.failureRate(now) * FAILURE_COST_FACTOR * work.route.targetMillis
    }

    private companion object {
        // A further copy occupies a slot and costs a fetch from the weight store, so it must save more than the time of
        // one load.
        const val LOAD_COST_MILLIS = 400.0

        // An endpoint loads four adapters at once, so each queued load adds only a part of a load time.
        const val QUEUED_LOAD_PART = 0.25

        // Traffic between data centres is expensive; a short wait in the own data centre is preferable.
        const val REMOTE_MILLIS = 60.0

        // Cost of each running stream that pauses too long while an engine reads a long prompt. Faster engines, and
        // those with few streams, are preferable for it.
        const val STREAM_PAUSE_MILLIS = 50.0

        // Cost of an endpoint at which all recent requests failed, in multiples of the route's target time.
        const val FAILURE_COST_FACTOR = 1.5

        // Keeps an adapter on its first endpoints by rank: where it was held recently it loads faster and without a
        // fetch, so each further rank must save this much.
        const val RANK_COST_MILLIS = 120.0
    }
}
