package io.camphordrum.bench

import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.CallerRequest
import io.camphordrum.core.CoreEffect
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Member
import io.camphordrum.core.Operation
import io.camphordrum.core.membership.Acknowledgement
import io.camphordrum.core.residency.ResidencyMessage
import io.camphordrum.core.residency.TicketMessage
import io.camphordrum.core.residency.TicketOutcome
import io.camphordrum.wire.PeerMessage

private const val SECOND = CapacityCore.SECOND
private const val IDLE_SECONDS = 30

// 4,000 requests at 100 per second of the simulated clock.
private const val MEASURED_SECONDS = 40

internal fun requestByAdapters() = ADAPTER_COUNTS.map { size ->
    measureRequests("request-adapters", size, { CapacityCore(size, 3, CapacityCore.engines(3, 15, 45)) })
}

internal fun requestByEndpoints() = listOf(45, 195, 500, 950).map { size ->
    measureRequests("request-endpoints", size, { CapacityCore(1_000, 65, CapacityCore.engines(65, 15, size)) })
}

// Of the 2,850 engines in a region, 570 serve each of the five base models.
internal fun requestPlanned() = listOf(
    measureRequests("request-planned", 78_000, { CapacityCore(78_000, 65, CapacityCore.engines(65, 15, 570)) }),
)

private fun measureRequests(slope: String, size: Int, createHarness: () -> CapacityCore): CapacityPoint {
    val heapBytesBefore = usedHeapBytes()
    val harness = createHarness()
    harness.clearObjectStore()
    val heapBytes = usedHeapBytes() - heapBytesBefore
    var id = 0L
    repeat(2) {
        for (adapter in 0 until 300) request(harness, ++id, adapter, null)
        harness.advance(5 * SECOND)
    }
    val locallyOwned = (0 until 300).filter { request(harness, ++id, it, null) }
    check(locallyOwned.isNotEmpty()) { "expected a ticket of a local owner: ${harness.core.status(harness.nowNanos)}" }
    var meter = CapacityMeter()
    var shareBytes = 0.0
    repeat(12_000) {
        if (it == 8_000) {
            meter = CapacityMeter()
            harness.onEffect = { effect ->
                if (effect is CoreEffect.SendShare) shareBytes += encodedBytes(peerMessage(effect))
            }
        }
        request(harness, ++id, locallyOwned[it % locallyOwned.size], meter)
        harness.advance(10 * CapacityCore.MILLI)
    }
    val extraValues = mapOf(
        "requests" to meter.count.toDouble(),
        "core heap KiB" to heapBytes / 1_024.0,
        "share B/s" to shareBytes / MEASURED_SECONDS,
    )
    return CapacityPoint(slope, size, meter.values() + extraValues)
}

// Returns whether the request was dispatched. One whose endpoint another member owns is cancelled and not measured.
private fun request(harness: CapacityCore, id: Long, adapter: Int, meter: CapacityMeter?): Boolean {
    val operation = Operation.Completion("adapter-$adapter", 100, 182)
    val callerRequest = CallerRequest(id, CAPACITY_KEY.hex, operation, harness.nowNanos)
    val handleRequest = {
        val effects = harness.core.requestReceived(harness.nowNanos, callerRequest)
        val order = effects.filterIsInstance<CoreEffect.Dispatch>().firstOrNull()?.order
        if (order !=
            null
        ) {
            harness.core.dispatchEnded(harness.nowNanos, id, order.dispatch, CapacityCore.COMPLETED) to true
        } else {
            effects to false
        }
    }
    val (effects, dispatched) = if (meter == null) handleRequest() else meter.measure(handleRequest)
    harness.execute(effects)
    if (!dispatched) {
        harness.advance(50 * CapacityCore.MILLI)
        harness.execute(harness.core.requestCancelled(harness.nowNanos, id))
    }
    return dispatched
}

/** Measures what other members send to a daemon: ticket requests for its endpoints, and digests of theirs. */
internal fun peerSlope() = listOf(3, 10, 30, 65).map { members ->
    val engines = CapacityCore.engines(members, 15, 15 * members)
    val harness = CapacityCore(1_000, members, engines)
    val ownedEndpoint = engines.first().id
    val peerEndpoint = engines.last().id
    val peer = CapacityCore.capacityGeneration(members).coordinator
    val peerOwner = checkNotNull(CapacityCore.capacityGeneration(members).owner(peerEndpoint))
    harness.onEffect = { effect -> finishTicket(harness, peer, ownedEndpoint, effect)?.let(harness::execute) }
    repeat(3_000) { i ->
        harness.execute(requestTicket(harness, peer, ownedEndpoint, i.toLong()))
            .also { harness.advance(10 * CapacityCore.MILLI) }
    }
    var granted = 0
    var ticketMeter = CapacityMeter()
    var digestMeter = CapacityMeter()
    repeat(6_000) { i ->
        if (i == 3_000) {
            ticketMeter = CapacityMeter()
            digestMeter = CapacityMeter()
        }
        val finishEffects = ticketMeter.measure {
            requestTicket(harness, peer, ownedEndpoint, 3_000L + i)
                .mapNotNull { finishTicket(harness, peer, ownedEndpoint, it) }
        }
        if (finishEffects.isNotEmpty() && i >= 3_000) granted++
        val added = listOf(AdapterVersion("adapter-$i", 2))
        val digest = ResidencyMessage.Digest(peerEndpoint, 7, i, true, added, emptyList(), 20)
        digestMeter.measure { harness.core.receive(harness.nowNanos, peerOwner, digest) }
        harness.advance(10 * CapacityCore.MILLI)
    }
    val values = mapOf("ticket mean us" to ticketMeter.meanMicros, "ticket p99 us" to ticketMeter.p99Micros)
    CapacityPoint(
        "peers",
        members,
        values + ("digest mean us" to digestMeter.meanMicros) + ("granted" to granted / 3_000.0),
    )
}

private fun requestTicket(harness: CapacityCore, from: Member, endpoint: EndpointId, id: Long): List<CoreEffect> {
    val version = AdapterVersion("adapter-7", 2)
    val request = TicketMessage.Request(id, endpoint, version, CapacityCore.ACCOUNT, 282, 0, 30_000)
    return harness.core.receive(harness.nowNanos, from, request)
}

private fun finishTicket(
    harness: CapacityCore,
    from: Member,
    endpoint: EndpointId,
    effect: CoreEffect,
): List<CoreEffect>? {
    val grant = (effect as? CoreEffect.SendTicket)?.message as? TicketMessage.Grant ?: return null
    val finish = TicketMessage.Finish(endpoint, grant.ticket, TicketOutcome.COMPLETED, 282, 200)
    return harness.core.receive(harness.nowNanos, from, finish)
}

internal fun idleByOwned() = listOf(1, 5, 15, 30).map { owned ->
    measureIdle("idle-owned", owned, CapacityCore(1_000, 65, CapacityCore.engines(65, owned, 950)))
}

internal fun idleByMembers() = listOf(3, 10, 30, 65).map { members ->
    measureIdle("idle-members", members, CapacityCore(1_000, members, CapacityCore.engines(members, 15, 15 * members)))
}

private fun measureIdle(slope: String, size: Int, harness: CapacityCore): CapacityPoint {
    harness.advance(30 * SECOND)
    val rates = HashMap<String, Double>()
    harness.onEffect = { effect ->
        if (effect is CoreEffect.Send && !isAcknowledgement(effect)) {
            rates.merge(
                effect.javaClass.simpleName + " B/s",
                encodedBytes(peerMessage(effect)) / IDLE_SECONDS,
                Double::plus,
            )
        }
        if (effect is CoreEffect.Store) rates.merge("platform calls/s", 1.0 / IDLE_SECONDS, Double::plus)
    }
    val tickMeter = CapacityMeter()
    val receiveMeter = CapacityMeter()
    harness.heartbeatMeter = receiveMeter
    harness.advance(IDLE_SECONDS * SECOND) { tickMeter.measure(it) }
    val tickValues = mapOf("tick us/s" to tickMeter.meanMicros * 100, "alloc B/s" to tickMeter.meanBytes * 100)
    return CapacityPoint(
        slope,
        size,
        tickValues + ("heartbeat receive us" to receiveMeter.meanMicros) + rates.toSortedMap(),
    )
}

// Each simulated member sends heartbeats here, but a daemon is a witness of seven members on average; hence its
// acknowledgements are not counted.
private fun isAcknowledgement(effect: CoreEffect.Send) =
    effect is CoreEffect.SendMembership && effect.message is Acknowledgement

private fun peerMessage(effect: CoreEffect.Send): PeerMessage = when (effect) {
    is CoreEffect.SendMembership -> PeerMessage.Membership(effect.message)
    is CoreEffect.SendShare -> PeerMessage.Share(effect.message)
    is CoreEffect.SendTicket -> PeerMessage.Ticket(effect.message)
    is CoreEffect.SendConfig -> PeerMessage.Config(effect.message)
    is CoreEffect.SendResidency -> PeerMessage.Residency(effect.message)
}
