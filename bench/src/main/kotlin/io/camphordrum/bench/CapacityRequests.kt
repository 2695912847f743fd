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

// 4,000 requests at 100 a second of the virtual clock.
private const val MEASURED_SECONDS = 40

internal fun requestByAdapters() = ADAPTERS.map { size ->
    requests("request-adapters", size, { CapacityCore(size, 3, CapacityCore.engines(3, 15, 45)) })
}

internal fun requestByEndpoints() = listOf(45, 195, 500, 950).map { size ->
    requests("request-endpoints", size, { CapacityCore(1_000, 65, CapacityCore.engines(65, 15, size)) })
}

// 570 of the 2,850 engines of a region serve one of the five base models.
internal fun requestPlanned() = listOf(
    requests("request-planned", 78_000, { CapacityCore(78_000, 65, CapacityCore.engines(65, 15, 570)) }),
)

private fun requests(slope: String, size: Int, build: () -> CapacityCore): CapacityPoint {
    val before = usedHeap()
    val bed = build()
    bed.forgetStore()
    val heap = usedHeap() - before
    var id = 0L
    repeat(2) {
        for (adapter in 0 until 300) request(bed, ++id, adapter, null)
        bed.run(5 * SECOND)
    }
    val local = (0 until 300).filter { request(bed, ++id, it, null) }
    check(local.isNotEmpty()) { "expected a ticket of a local owner: ${bed.core.status(bed.now)}" }
    var meter = CapacityMeter()
    var shareBytes = 0.0
    repeat(12_000) {
        if (it == 8_000) {
            meter = CapacityMeter()
            bed.observe = { sent -> if (sent is CoreEffect.SendShare) shareBytes += encoded(peerMessage(sent)) }
        }
        request(bed, ++id, local[it % local.size], meter)
        bed.run(10 * CapacityCore.MILLI)
    }
    val more = mapOf(
        "requests" to meter.count.toDouble(),
        "core heap KiB" to heap / 1_024.0,
        "share B/s" to shareBytes / MEASURED_SECONDS,
    )
    return CapacityPoint(slope, size, meter.values() + more)
}

// A request whose owner is another instance ends by cancellation and is not measured.
private fun request(bed: CapacityCore, id: Long, adapter: Int, meter: CapacityMeter?): Boolean {
    val work = Operation.Completion("adapter-$adapter", 100, 182)
    val call = CallerRequest(id, CAPACITY_KEY.hex, work, bed.now)
    val once = {
        val effects = bed.core.requestReceived(bed.now, call)
        val order = effects.filterIsInstance<CoreEffect.Dispatch>().firstOrNull()?.order
        if (order !=
            null
        ) {
            bed.core.dispatchEnded(bed.now, id, order.dispatch, CapacityCore.COMPLETED) to true
        } else {
            effects to false
        }
    }
    val (effects, done) = if (meter == null) once() else meter.measure(once)
    bed.execute(effects)
    if (!done) {
        bed.run(50 * CapacityCore.MILLI)
        bed.execute(bed.core.requestCancelled(bed.now, id))
    }
    return done
}

/** Measures what other members ask of a daemon: tickets of its endpoints, and digests of theirs. */
internal fun peerSlope() = listOf(3, 10, 30, 65).map { members ->
    val engines = CapacityCore.engines(members, 15, 15 * members)
    val bed = CapacityCore(1_000, members, engines)
    val mine = engines.first().id
    val theirs = engines.last().id
    val peer = CapacityCore.capacityGeneration(members).coordinator
    val owner = checkNotNull(CapacityCore.capacityGeneration(members).owner(theirs))
    bed.observe = { sent -> finish(bed, peer, mine, sent)?.let(bed::execute) }
    repeat(3_000) { at -> bed.execute(ask(bed, peer, mine, at.toLong())).also { bed.run(10 * CapacityCore.MILLI) } }
    var granted = 0
    var tickets = CapacityMeter()
    var digests = CapacityMeter()
    repeat(6_000) { at ->
        if (at == 3_000) {
            tickets = CapacityMeter()
            digests = CapacityMeter()
        }
        val served = tickets.measure {
            ask(bed, peer, mine, 3_000L + at).mapNotNull { finish(bed, peer, mine, it) }
        }
        if (served.isNotEmpty() && at >= 3_000) granted++
        val added = listOf(AdapterVersion("adapter-$at", 2))
        val digest = ResidencyMessage.Digest(theirs, 7, at, true, added, emptyList(), 20)
        digests.measure { bed.core.receive(bed.now, owner, digest) }
        bed.run(10 * CapacityCore.MILLI)
    }
    val values = mapOf("ticket mean us" to tickets.meanMicros, "ticket p99 us" to tickets.p99Micros)
    CapacityPoint(
        "peers",
        members,
        values + ("digest mean us" to digests.meanMicros) + ("granted" to granted / 3_000.0),
    )
}

private fun ask(bed: CapacityCore, from: Member, endpoint: EndpointId, id: Long): List<CoreEffect> {
    val version = AdapterVersion("adapter-7", 2)
    val ask = TicketMessage.Request(id, endpoint, version, CapacityCore.ACCOUNT, 282, 0, 30_000)
    return bed.core.receive(bed.now, from, ask)
}

private fun finish(bed: CapacityCore, from: Member, endpoint: EndpointId, sent: CoreEffect): List<CoreEffect>? {
    val grant = (sent as? CoreEffect.SendTicket)?.message as? TicketMessage.Grant ?: return null
    val finish = TicketMessage.Finish(endpoint, grant.ticket, TicketOutcome.COMPLETED, 282, 200)
    return bed.core.receive(bed.now, from, finish)
}

internal fun idleByOwned() = listOf(1, 5, 15, 30).map { owned ->
    idle("idle-owned", owned, CapacityCore(1_000, 65, CapacityCore.engines(65, owned, 950)))
}

internal fun idleByMembers() = listOf(3, 10, 30, 65).map { members ->
    idle("idle-members", members, CapacityCore(1_000, members, CapacityCore.engines(members, 15, 15 * members)))
}

private fun idle(slope: String, size: Int, bed: CapacityCore): CapacityPoint {
    bed.run(30 * SECOND)
    val bytes = HashMap<String, Double>()
    bed.observe = { effect ->
        if (effect is CoreEffect.Send && !isAcknowledgement(effect)) {
            bytes.merge(effect.javaClass.simpleName + " B/s", encoded(peerMessage(effect)) / IDLE_SECONDS, Double::plus)
        }
        if (effect is CoreEffect.Store) bytes.merge("platform calls/s", 1.0 / IDLE_SECONDS, Double::plus)
    }
    val meter = CapacityMeter()
    val beats = CapacityMeter()
    bed.heartbeatMeter = beats
    bed.run(IDLE_SECONDS * SECOND) { meter.measure(it) }
    val tick = mapOf("tick us/s" to meter.meanMicros * 100, "alloc B/s" to meter.meanBytes * 100)
    return CapacityPoint(slope, size, tick + ("heartbeat receive us" to beats.meanMicros) + bytes.toSortedMap())
}

// Every stand-in sends heartbeats here; a daemon is a witness of seven on average, so its answers are not counted.
private fun isAcknowledgement(effect: CoreEffect.Send) =
    effect is CoreEffect.SendMembership && effect.message is Acknowledgement

private fun peerMessage(effect: CoreEffect.Send): PeerMessage = when (effect) {
    is CoreEffect.SendMembership -> PeerMessage.Membership(effect.message)
    is CoreEffect.SendShare -> PeerMessage.Share(effect.message)
    is CoreEffect.SendTicket -> PeerMessage.Ticket(effect.message)
    is CoreEffect.SendConfig -> PeerMessage.Config(effect.message)
    is CoreEffect.SendResidency -> PeerMessage.Residency(effect.message)
}
