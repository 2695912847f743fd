package io.camphordrum.core.serving

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Rendezvous

/**
 * Chooses the endpoint at which a request gets the first part of its answer soonest.
 *
 * The time at an endpoint is what waits there, the load of the adapter where it is not held, and penalties for another
 * data centre and for recent failures. Where an adapter must be brought, its rendezvous rank decides, so that daemons
 * agree on where it lives without asking each other.
 */
internal class Placer(private val dataCentre: DataCentreId, private val book: EndpointBook) {
    /** Names an endpoint, what is expected of it, and whether its adapter must be brought first. */
    class Choice(val state: EndpointState, val millis: Double, val load: Boolean)

    fun choose(
        now: Long,
        work: Work,
        service: ServedService,
        excluded: Set<EndpointId>,
        noLoad: Set<EndpointId>,
    ): Choice? {
        val version = book.announced(work.base, work.adapter)
        val usable = book.usable(work.service, excluded)
        val lit = usable.filterNot { it.dark(now) }.ifEmpty { usable }
        val ranked = if (work.adapter == null) lit else Rendezvous.order(work.adapter, lit) { it.id.name }
        return ranked.mapIndexedNotNull { rank, state -> choice(now, work, service, version, state, rank, noLoad) }
            .minByOrNull { it.millis }
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
        if (!state.coldRoom(now, book.coldShare(service))) return null
        if (state.open >= book.connectionShare(service)) return null
        val penalty = penalty(now, work, state)
        val engine = service.engine
            ?: return Choice(state, plainMillis(now, state) + penalty, load = false)
        val base = work.base ?: engine.baseModels.firstOrNull()?.name ?: return null
        if (base !in state.held) return null
        val wait = engineMillis(now, work, engine, state) + penalty
        if (state.holds(base, work.adapter, version)) return Choice(state, wait, load = false)
        if (state.id in noLoad || !state.ownerOrders || !book.ownerReachable(now, state)) return null
        return Choice(
            state,
            wait + LOAD_MILLIS * (1 + state.ownerQueue * QUEUED_PART) + rank * RANK_MILLIS,
            load = true,
        )
    }

    private fun penalty(now: Long, work: Work, state: EndpointState): Double {
        val away = if (state.record.dataCentre == dataCentre) 0.0 else AWAY_MILLIS
        return away + state.failures(now) * FAILURE_TARGETS * work.route.targetMillis
    }

    private fun plainMillis(now: Long, state: EndpointState): Double {
        val open = state.runningEverywhere(now) + state.waitingEverywhere(now)
        val slots = maxOf(1, state.record.slots)
        return PLAIN_MILLIS * state.slowness * (open.toDouble() / slots + maxOf(0, open + 1 - slots))
    }

    private fun engineMillis(now: Long, work: Work, engine: EngineLimits, state: EndpointState): Double {
        val waiting = state.waitingEverywhere(now)
        val beyond = state.runningEverywhere(now) + waiting + 1 - engine.batchSlots
        val tokens = state.pendingTokens(now) + work.promptTokens
        val running = state.runningEverywhere(now)
        val turns = state.turnTokens + state.askedTurns.values.sum()
        val reading = tokens / TOKENS_PER_MILLI + turns / (TOKENS_PER_MILLI * TurnQueue.READING_PART) +
            STEP_MILLIS + running * STEP_MILLIS_PER_RUN
        return reading * state.slowness + maxOf(0, beyond) * RUN_MILLIS / engine.batchSlots
    }

    private companion object {
        // Weights of the estimate; what an engine really takes is learned as its slowness.
        const val TOKENS_PER_MILLI = TurnQueue.ENGINE_TOKENS_PER_MILLI
        const val STEP_MILLIS = 10.0
        const val STEP_MILLIS_PER_RUN = 0.1
        const val RUN_MILLIS = 2_000.0
        const val PLAIN_MILLIS = 60.0

        // The sheets: an adapter takes 250 ms while few are under way. A copy also takes a place and a fetch from the
        // store, so it must save more than its own time.
        const val LOAD_MILLIS = 400.0

        // Four adapters come at once, so each that waits before this one adds a quarter of a load.
        const val QUEUED_PART = 0.25

        // Bytes between data centres are dear; a small wait at home is better.
        const val AWAY_MILLIS = 60.0
        const val FAILURE_TARGETS = 1.5

        // An adapter that comes back to the endpoint that held it lately is there in a tenth of the time and costs no
        // fetch; each rank further away must save this much.
        const val RANK_MILLIS = 120.0
    }
}
