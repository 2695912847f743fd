package io.camphordrum.bench

import io.camphordrum.core.AccountId
import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.BaseModelId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.RateLimit
import io.camphordrum.core.config.Adapter
import io.camphordrum.core.config.ApplyResult
import io.camphordrum.core.config.Change
import io.camphordrum.core.config.Edit
import io.camphordrum.core.config.Snapshot
import io.camphordrum.core.limits.ShareAmount
import io.camphordrum.core.limits.ShareHolder
import io.camphordrum.core.limits.ShareMessage
import io.camphordrum.core.residency.EndpointOwner
import io.camphordrum.core.residency.LoadReport
import io.camphordrum.core.residency.OwnerEffect
import io.camphordrum.core.residency.OwnerSettings
import io.camphordrum.core.residency.TicketOutcome
import io.camphordrum.core.residency.TicketReport
import io.camphordrum.core.residency.TicketRequest

internal val ADAPTER_COUNTS = listOf(10_000, 25_000, 50_000, 78_000)
private const val SECOND = CapacityCore.SECOND
private const val BYTES_PER_KIB = 1_024.0

internal fun snapshotSlope(): List<CapacityPoint> = ADAPTER_COUNTS.map { size ->
    val heapBytesBefore = usedHeapBytes()
    val snapshot = Snapshot(capacityTree(size))
    val heapBytes = usedHeapBytes() - heapBytesBefore
    repeat(50_000) { snapshot.resolve("adapter-${it % size}") }
    val meter = CapacityMeter()
    repeat(200) { batch ->
        meter.measure { repeat(100) { snapshot.resolve("adapter-${(batch * 7_919 + it * 31) % size}") } }
    }
    val values = mapOf("heap KiB" to heapBytes / BYTES_PER_KIB, "bytes/adapter" to heapBytes.toDouble() / size)
    CapacityPoint("snapshot", size, values + ("resolve us" to meter.meanMicros / 100))
}

internal fun changeSlope(): List<CapacityPoint> = ADAPTER_COUNTS.map { size ->
    var tree = capacityTree(size)
    var meter = CapacityMeter()
    repeat(1_500) {
        if (it == 500) meter = CapacityMeter()
        val edit = Edit.Put("work/adapters/adapter-${it * 31 % size}", Adapter(BaseModelId("base-0"), 1, listOf(1, 2)))
        val change = Change("change-$it", tree.revision, "bench", 0, "capacity", listOf(edit))
        tree = (meter.measure { tree.apply(change) } as ApplyResult.Applied).tree
    }
    CapacityPoint("change", size, meter.values())
}

internal fun shareSlope(): List<CapacityPoint> = listOf(5, 256, 1_024, 4_096).map { size ->
    val accounts = (0 until size).associate { AccountId("account-$it") to RateLimit(1_000, 10_000) }
    val heapBytesBefore = usedHeapBytes()
    val holder = reconciledHolder(accounts)
    val heapBytes = usedHeapBytes() - heapBytesBefore
    val idleMeter = CapacityMeter()
    repeat(2_000) { tickNumber ->
        val tick = { holder.tick(2 * SECOND + tickNumber * 20 * CapacityCore.MILLI) }
        if (tickNumber < 1_000) tick() else idleMeter.measure(tick)
    }
    CapacityPoint(
        "shares",
        size,
        mapOf("heap KiB" to heapBytes / BYTES_PER_KIB, "idle tick us" to idleMeter.meanMicros),
    )
}

private fun reconciledHolder(accounts: Map<AccountId, RateLimit>): ShareHolder {
    val holder = ShareHolder(CapacityCore.SELF, listOf(CapacityCore.DATA_CENTRE), { true })
    val generation = CapacityCore.capacityGeneration(65)
    val coordinator = generation.coordinator
    holder.configure(SECOND, accounts)
    holder.onGeneration(SECOND, generation)
    holder.receive(SECOND, coordinator, ShareMessage.Reconciled(generation.number, 200_000, emptyList(), emptyList()))
    val amounts = accounts.keys.map { ShareAmount(it, 2_564, 1_000_000_000) }
    holder.receive(SECOND, coordinator, ShareMessage.Transfer(generation.number, 1, amounts, 1_000))
    return holder
}

internal fun ticketSlope(): List<CapacityPoint> = listOf(16, 64, 128, 256).map { size ->
    val heapBytesBefore = usedHeapBytes()
    val owners = List(20) { ownerWithTickets(it, size) }
    val heapBytes = usedHeapBytes() - heapBytesBefore
    val grantedTickets = owners.sumOf { it.ticketCount }.toDouble()
    CapacityPoint(
        "tickets",
        size,
        mapOf(
            "heap KiB" to heapBytes / BYTES_PER_KIB / owners.size,
            "granted" to grantedTickets / owners.size,
        ),
    )
}

private fun ownerWithTickets(index: Int, tickets: Int): EndpointOwner {
    val settings = OwnerSettings(maxConcurrency = 256)
    val id = EndpointId("e$index")
    val owner = EndpointOwner(id, 7, 0, true, { true }, { true }, firstOwner = true, settings = settings)
    val resident = (0 until CapacityCore.SLOTS).map { AdapterVersion("adapter-$it", 1) }
    owner.receiveReport(SECOND, LoadReport(1, SECOND, resident.toSet(), 0, 0, CapacityCore.SLOTS))
    var nowNanos = 2 * SECOND
    var nextId = 0L
    // Slow start raises the concurrency limit only after completed requests.
    while (owner.concurrencyLimit < tickets && nextId < 200_000) {
        val grants = List(owner.concurrencyLimit) {
            owner.requestTicket(nowNanos, ticketRequest(nextId++, resident, nowNanos))
        }.flatten()
        nowNanos += 200 * CapacityCore.MILLI
        val report = TicketReport(TicketOutcome.COMPLETED, 282, SECOND / 10)
        for (grant in grants.filterIsInstance<OwnerEffect.Grant>()) owner.finish(nowNanos, grant.ticket, report)
    }
    repeat(tickets) { owner.requestTicket(nowNanos, ticketRequest(nextId++, resident, nowNanos)) }
    return owner
}

private fun ticketRequest(id: Long, resident: List<AdapterVersion>, nowNanos: Long): TicketRequest {
    val version = resident[(id % resident.size).toInt()]
    return TicketRequest(CapacityCore.SELF, id, AccountId("a${id % 5}"), version, 500, nowNanos + 60 * SECOND)
}

internal fun CapacityMeter.values() =
    mapOf("p50 us" to p50Micros, "p99 us" to p99Micros, "mean us" to meanMicros, "bytes" to meanBytes)
