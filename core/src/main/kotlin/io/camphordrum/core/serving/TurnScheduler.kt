package io.camphordrum.core.serving

import io.camphordrum.core.EndpointId
import io.camphordrum.core.load.EndpointLoads

/** Grants the turns at the endpoints that this daemon owns, and requests turns at other endpoints from their owners. */
internal class TurnScheduler(
    private val context: ServingContext,
    private val loads: EndpointLoads,
    private val owns: (EndpointId) -> Boolean,
) {
    private class Wait(val endpoint: EndpointId, val untilNanos: Long, val onEnd: (Boolean) -> Unit)

    private val registry = context.registry
    private val queues = HashMap<EndpointId, TurnQueue>()
    private val waits = HashMap<String, Wait>()

    // When turns were last granted; the pace of an endpoint is that of this time.
    private var paceNanos = 0L

    fun queuedTokens(id: EndpointId): Int = queues[id]?.queuedTokens ?: 0

    /**
     * Requests the turn of [work] at [endpoint] by [untilNanos]; calling the result cancels the wait.
     *
     * Without a reachable owner the turn is granted at once, because no other daemon can limit the rate then.
     */
    fun awaitTurn(now: Long, work: Work, endpoint: EndpointId, untilNanos: Long, onEnd: (Boolean) -> Unit): () -> Unit {
        val state = registry.get(endpoint)
        if (state == null || context.engine(state) == null || !registry.ownerReachable(now, state)) {
            onEnd(true)
            return {}
        }
        val waitMillis = maxOf(1, (untilNanos - now) / OrderRights.NANOS_PER_MILLI)
        val endNanos = now + (waitMillis + ROUND_TRIP_MILLIS) * OrderRights.NANOS_PER_MILLI
        waits[work.id] = Wait(endpoint, endNanos, onEnd)
        state.requestedTurns[work.id] = work.promptTokens
        val ask = ServingMessage.TurnAsk(endpoint.name, work.id, work.promptTokens, work.priority, waitMillis)
        if (owns(endpoint)) receiveTurnAsk(now, context.self.name, ask) else context.send(state.owner, ask)
        return { if (waits.remove(work.id) != null) withdraw(state, work.id) }
    }

    /** Handles a turn request of the daemon [from]. */
    fun receiveTurnAsk(now: Long, from: String, ask: ServingMessage.TurnAsk) {
        paceNanos = now
        val id = EndpointId(ask.endpoint)
        val queue = if (owns(id)) queues.getOrPut(id) { createQueue(id) } else null
        val untilNanos = now + peerDurationNanos(ask.waitMillis)
        val request = TurnQueue.TurnRequest(from, ask.id, ask.tokens, ask.priority, untilNanos)
        if (queue == null || !queue.add(now, request)) {
            sendTurnEnd(from, ServingMessage.TurnEnd(ask.endpoint, ask.id, false, queue?.queuedTokens ?: 0))
        } else {
            grantDue(now, id)
        }
    }

    /** Handles the answer to a turn request of this daemon. */
    fun receiveTurnEnd(end: ServingMessage.TurnEnd) {
        registry.get(EndpointId(end.endpoint))?.queuedTurnTokens = end.queuedTokens
        if (waits[end.id]?.endpoint?.name == end.endpoint) endWait(end.id, end.granted)
    }

    /** Removes a request whose caller has disconnected. */
    fun receiveTurnDrop(drop: ServingMessage.TurnDrop) {
        queues[EndpointId(drop.endpoint)]?.cancel(drop.id)
    }

    /** Grants the turns that are due and ends the waits that have expired. */
    fun tick(now: Long) {
        paceNanos = now
        for (id in waits.filterValues { now >= it.untilNanos }.keys.toList()) endWait(id, granted = false)
        for (id in queues.keys.toList()) grantDue(now, id)
    }

    fun leave() = queues.clear()

    /** Reports to another daemon that owns [endpoint] how long the answer of a request took to begin. */
    fun reportRunBegun(endpoint: EndpointId, begun: ServingMessage.RunBegun) {
        if (!owns(endpoint)) context.send(registry.get(endpoint)?.owner, begun)
    }

    /** Records the time until an answer began at an endpoint that this daemon owns. */
    fun receiveRunBegun(now: Long, begun: ServingMessage.RunBegun) {
        val state = registry.get(EndpointId(begun.endpoint)) ?: return
        begun.workPercent?.let { loads.recordPercent(now, state, it) }
        loads.recordFirstPart(now, state, begun.expectedMillis, begun.actualMillis, begun.newTokens)
    }

    private fun createQueue(id: EndpointId): TurnQueue {
        val service = registry.get(id)?.record?.service.orEmpty()
        return TurnQueue { registry.get(id)?.let { loads.pace(paceNanos, it) } ?: context.pace(service, 1.0) }
    }

    private fun grantDue(now: Long, id: EndpointId) {
        val queue = queues[id] ?: return
        val state = registry.get(id)
        if (state == null || !owns(id)) {
            queues.remove(id)
            return
        }
        val service = context.config?.services?.get(state.record.service) ?: return
        val slots = service.engine?.batchSlots ?: return
        val openRequests = state.runningEverywhere(now) + state.unansweredEverywhere(now)
        val freeSlots = minOf(slots - openRequests, state.remainingColdTurns(now, registry.coldTurnsPerSecond(service)))
        val (granted, expired) = queue.grantDue(now, freeSlots, loads.slowness(now, state))
        state.queuedTurnTokens = queue.queuedTokens
        for (request in granted) {
            state.recordGrantedTurn(now, request.id, request.tokens)
            sendTurnEnd(request.requester, ServingMessage.TurnEnd(id.name, request.id, true, queue.queuedTokens))
        }
        for (request in expired) {
            sendTurnEnd(
                request.requester,
                ServingMessage.TurnEnd(id.name, request.id, false, queue.queuedTokens),
            )
        }
    }

    private fun sendTurnEnd(daemon: String, end: ServingMessage.TurnEnd) {
        if (daemon == context.self.name) receiveTurnEnd(end) else context.send(daemon, end)
    }

    private fun endWait(id: String, granted: Boolean) {
        val wait = waits.remove(id) ?: return
        registry.get(wait.endpoint)?.requestedTurns?.remove(id)
        wait.onEnd(granted)
    }

    private fun withdraw(state: EndpointState, id: String) {
        state.requestedTurns.remove(id)
        val drop = ServingMessage.TurnDrop(state.id.name, id)
        if (owns(state.id)) receiveTurnDrop(drop) else context.send(state.owner, drop)
    }

    private companion object {
        // Round trip to the owner, also between data centres, plus a few ticks.
        const val ROUND_TRIP_MILLIS = 100L
    }
}
