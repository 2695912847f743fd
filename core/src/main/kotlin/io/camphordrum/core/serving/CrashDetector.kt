package io.camphordrum.core.serving

import io.camphordrum.core.EndpointId

/**
 * Tells endpoints that ended from endpoints that closed single connections.
 *
 * A run that is cut off before or shortly after its answer has begun starts a probe of its endpoint. If the connection
 * is refused, or the endpoint's registration is removed or renewed within [REGISTRATION_NANOS], the endpoint has
 * crashed. The requests whose answer had not begun, or was just beginning, are then the suspects: answers that were
 * well under way did not cause the crash.
 */
internal class CrashDetector(
    private val context: ServingContext,
    private val onCrash: (now: Long, crash: EndpointCrash) -> Unit,
) {
    private class Loss(val startedEpochMillis: Long, val lostNanos: Long) {
        val suspects = LinkedHashMap<String, SuspectRequest>()
        var crashed = false
    }

    private val losses = HashMap<EndpointId, Loss>()

    /**
     * Records that the run of [work] at [endpoint] was cut off.
     *
     * @param sentNanos when the request was sent.
     * @param begunNanos when the first part of its answer arrived; null if none did.
     */
    fun recordLoss(now: Long, work: Work, endpoint: EndpointId, sentNanos: Long, begunNanos: Long?) {
        if (work.promptParts.isEmpty() || (begunNanos != null && now - begunNanos > JUST_BEGUN_NANOS)) return
        val state = context.registry.get(endpoint) ?: return
        // An endpoint that leaves ends as planned, so its end says nothing about its requests.
        if (!context.registry.mayServe(state)) return
        val known = losses[endpoint]
            ?.takeIf { it.startedEpochMillis == state.record.startedEpochMillis && it.joins(now) }
        val loss = known ?: Loss(state.record.startedEpochMillis, now).also { losses[endpoint] = it }
        if (loss.suspects.size >= MAX_SUSPECTS) return
        val inFlightMillis = (loss.lostNanos - sentNanos) / OrderRights.NANOS_PER_MILLI
        val suspect = SuspectRequest(work.id, work.account, inFlightMillis, work.promptParts)
        loss.suspects[work.id] = suspect
        if (loss.crashed) report(now, endpoint, loss, listOf(suspect))
        if (known == null) context.ports.probe.probe(state.record.address) { applyProbe(endpoint, loss, it) }
    }

    /** Confirms losses whose endpoint has been registered anew or removed, and forgets old ones. */
    fun tick(now: Long) {
        if (losses.isEmpty()) return
        for ((endpoint, loss) in losses.entries.toList()) {
            val started = context.registry.get(endpoint)?.record?.startedEpochMillis
            if (!loss.crashed && started != loss.startedEpochMillis) confirm(now, endpoint, loss, "registration")
            if (now - loss.lostNanos > REGISTRATION_NANOS) losses.remove(endpoint, loss)
        }
    }

    private fun Loss.joins(now: Long) = now - lostNanos < if (crashed) REGISTRATION_NANOS else JOIN_NANOS

    private fun applyProbe(endpoint: EndpointId, loss: Loss, result: ProbeResult) {
        when (result) {
            ProbeResult.ACCEPTED -> losses.remove(endpoint, loss)
            ProbeResult.REFUSED -> if (!loss.crashed) confirm(loss.lostNanos, endpoint, loss, "refused")
            ProbeResult.NO_ANSWER -> Unit
        }
    }

    private fun confirm(now: Long, endpoint: EndpointId, loss: Loss, evidence: String) {
        loss.crashed = true
        val fields = mapOf("endpoint" to endpoint.name, "evidence" to evidence, "suspects" to loss.suspects.size)
        context.ports.logEvent("endpoint_crashed", fields)
        report(now, endpoint, loss, loss.suspects.values.toList())
    }

    private fun report(now: Long, endpoint: EndpointId, loss: Loss, suspects: List<SuspectRequest>) {
        val ageMillis = (now - loss.lostNanos) / OrderRights.NANOS_PER_MILLI
        onCrash(now, EndpointCrash(endpoint.name, loss.startedEpochMillis, ageMillis, suspects))
    }

    private companion object {
        /** An endpoint that crashes on a prompt ends within a few milliseconds of the first part of its answer. */
        const val JUST_BEGUN_NANOS = 250_000_000L

        // Connections of one process end within a few milliseconds; a machine that is slow reads their ends later.
        const val JOIN_NANOS = 500_000_000L

        // Three heartbeats until a registration expires, plus the lag of the watch.
        const val REGISTRATION_NANOS = 8_000_000_000L
        const val MAX_SUSPECTS = 64
    }
}
