package io.camphordrum.core.serving

import io.camphordrum.core.EndpointId
import io.camphordrum.core.Rendezvous

/**
 * Keeps the requests of all daemons together within the rate limit that an endpoint announces, and within the bound of
 * a cold endpoint of a plain service.
 *
 * A permit is the permission to send one request to such an endpoint. One daemon grants the permits of an endpoint: the
 * first live one by rank, in the endpoint's data centre if any is live there. It grants none while it does not see
 * itself as the first. Daemons that do not reach each other may each see themselves as the first, so each grants only
 * the part of the rate that corresponds to the daemons it reaches.
 *
 * A daemon without a permit does not send: the request goes to another endpoint or is refused at once.
 */
internal class PermitScheduler(private val context: ServingContext) {
    private class Wait(val endpoint: EndpointId, val untilNanos: Long, val onEnd: (Boolean) -> Unit)

    private val registry = context.registry
    private val peers = context.peers
    private val waits = HashMap<String, Wait>()
    private val buckets = HashMap<EndpointId, PermitBucket>()

    /** Requests the permit of [work] at [endpoint]; calling the result cancels the wait. */
    fun awaitPermit(now: Long, work: Work, endpoint: EndpointId, onEnd: (Boolean) -> Unit): () -> Unit {
        val state = registry.get(endpoint)
        val limit = state?.let { limit(now, it) }
        if (limit == null || state.isAtLimit(now)) {
            onEnd(limit == null)
            return {}
        }
        waits[work.id] = Wait(endpoint, now + ANSWER_NANOS, onEnd)
        val granter = granter(now, state)
        val ask = ServingMessage.PermitAsk(endpoint.name, work.id, limit)
        if (granter == context.self.name) receiveAsk(now, granter, ask) else context.send(granter, ask)
        return { waits.remove(work.id) }
    }

    /** Handles a permit request of the daemon [from]. */
    fun receiveAsk(now: Long, from: String, ask: ServingMessage.PermitAsk) {
        val state = registry.get(EndpointId(ask.endpoint))
        val end = if (state == null || granter(now, state) != context.self.name) {
            ServingMessage.PermitEnd(ask.endpoint, ask.id, "not_granter", RETRY_MILLIS)
        } else {
            val waitMillis = buckets.getOrPut(state.id) { PermitBucket(now) }.tryAcquire(now, rate(now, state, ask))
            ServingMessage.PermitEnd(ask.endpoint, ask.id, if (waitMillis > 0) "limit" else null, waitMillis)
        }
        if (from == context.self.name) receiveEnd(now, from, end) else context.send(from, end)
    }

    /** Handles the answer of the daemon [from] to a permit request of this daemon. */
    fun receiveEnd(now: Long, from: String, end: ServingMessage.PermitEnd) {
        val id = EndpointId(end.endpoint)
        if (end.reason != null) refuse(now, id, end.id, end.reason, end.waitMillis, from)
        if (waits[end.id]?.endpoint == id) waits.remove(end.id)?.onEnd?.invoke(end.reason == null)
    }

    /** Ends the waits for daemons that do not answer. */
    fun tick(now: Long) {
        buckets.values.removeAll { now - it.askedNanos > IDLE_BUCKET_NANOS }
        val expired = waits.filterValues { now >= it.untilNanos }
        for ((id, wait) in expired) {
            waits -= id
            refuse(now, wait.endpoint, id, "no_answer", RETRY_MILLIS, from = null)
            wait.onEnd(false)
        }
    }

    /**
     * Returns the milliseconds after which a caller may try [state] again, which is at its limit.
     *
     * Each caller gets a later time than the one before, at this daemon's even part of the limit.
     */
    fun retryMillis(now: Long, state: EndpointState): Long {
        val limit = maxOf(limit(now, state) ?: 0.0, MIN_PER_SECOND)
        val retryNanos = maxOf(state.callersReturnNanos, state.atLimitUntilNanos)
        val gapNanos = (peers.knownCount / limit * NANOS_PER_SECOND).toLong()
        state.callersReturnNanos = minOf(retryNanos + gapNanos, now + MAX_RETURN_NANOS)
        return (retryNanos - now) / OrderRights.NANOS_PER_MILLI + 1
    }

    private fun refuse(now: Long, endpoint: EndpointId, id: String, reason: String, waitMillis: Long, from: String?) {
        val state = registry.get(endpoint) ?: return
        state.atLimitUntilNanos = now + peerDurationNanos(waitMillis)
        val fields = mapOf(
            "id" to id,
            "endpoint" to endpoint.name,
            "perSecond" to limit(now, state),
            "reason" to reason,
            "granter" to from,
            "waitMillis" to waitMillis,
        )
        context.ports.logEvent("permit_denied", fields)
    }

    private fun granter(now: Long, state: EndpointState): String {
        val live = peers.liveDaemons(now)
        val nearby = live.filter { it.dataCentre == state.record.dataCentre }.ifEmpty { live }
        return Rendezvous.first(state.id.name, nearby) { it.member.instance.name }?.member?.instance?.name
            ?: context.self.name
    }

    private fun limit(now: Long, state: EndpointState): Double? {
        val service = context.config?.services?.get(state.record.service)
        val coldLimit = service?.let { registry.coldPermitsPerSecond(now, state, it) }
        return listOfNotNull(state.announcedLimit.perSecond, coldLimit).minOrNull()
    }

    // The asker or this daemon may know of a newer limit than the other, so the lower one counts.
    private fun rate(now: Long, state: EndpointState, ask: ServingMessage.PermitAsk): Double {
        val limit = minOf(ask.perSecond, limit(now, state) ?: ask.perSecond)
        return maxOf(limit, MIN_PER_SECOND) * peers.reachableCount(now) / peers.knownCount
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9

        // An endpoint that accepts nothing gets a request now and then, since only an answer can end its limit.
        const val MIN_PER_SECOND = 0.1

        // Round trip to the granter, also between data centres, plus a tenth of a second in which it does not run.
        const val ANSWER_NANOS = 150_000_000L

        // A granter that does not answer or has changed is known by the notices of the next half second.
        const val RETRY_MILLIS = 300L
        const val MAX_RETURN_NANOS = 3_000_000_000L
        const val IDLE_BUCKET_NANOS = 30_000_000_000L
    }
}
