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

internal val ADAPTERS = listOf(10_000, 25_000, 50_000, 78_000)
private const val SECOND = CapacityCore.SECOND
private const val KILO = 1_024.0

internal fun snapshotSlope(): List<CapacityPoint> = ADAPTERS.map { size ->
    val before = usedHeap()
    val snapshot = Snapshot(capacityTree(size))
    val heap = usedHeap() - before
    repeat(50_000) { snapshot.resolve("adapter-${it % size}") }
    val meter = CapacityMeter()
    repeat(200) { turn ->
        meter.measure { repeat(100) { snapshot.resolve("adapter-${(turn * 7_919 + it * 31) % size}") } }
    }
    val values = mapOf("heap KiB" to heap / KILO, "bytes/adapter" to heap.toDouble() / size)
    CapacityPoint("snapshot", size, values + ("resolve us" to meter.meanMicros / 100))
}

internal fun changeSlope(): List<CapacityPoint> = ADAPTERS.map { size ->
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
    val before = usedHeap()
    val holder = settledHolder(accounts)
    val heap = usedHeap() - before
    val idle = CapacityMeter()
    repeat(2_000) { at ->
        val step = { holder.tick(2 * SECOND + at * 20 * CapacityCore.MILLI) }
        if (at < 1_000) step() else idle.measure(step)
    }
    CapacityPoint("shares", size, mapOf("heap KiB" to heap / KILO, "idle tick us" to idle.meanMicros))
}

private fun settledHolder(accounts: Map<AccountId, RateLimit>): ShareHolder {
    val holder = ShareHolder(CapacityCore.SELF, listOf(CapacityCore.CENTRE), { true })
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
    val before = usedHeap()
    val owners = List(20) { loadedOwner(it, size) }
    val heap = usedHeap() - before
    val tickets = owners.sumOf { it.ticketCount }.toDouble()
    CapacityPoint("tickets", size, mapOf("heap KiB" to heap / KILO / owners.size, "granted" to tickets / owners.size))
}

private fun loadedOwner(index: Int, tickets: Int): EndpointOwner {
    val settings = OwnerSettings(maxConcurrency = 256)
    val id = EndpointId("e$index")
    val owner = EndpointOwner(id, 7, 0, true, { true }, { true }, firstOwner = true, settings = settings)
    val resident = (0 until CapacityCore.SLOTS).map { AdapterVersion("adapter-$it", 1) }
    owner.receiveReport(SECOND, LoadReport(1, SECOND, resident.toSet(), 0, 0, CapacityCore.SLOTS))
    var at = 2 * SECOND
    var next = 0L
    // Slow start allows a large concurrency only after completed work.
    while (owner.concurrencyLimit < tickets && next < 200_000) {
        val grants = List(owner.concurrencyLimit) { owner.requestTicket(at, ticket(next++, resident, at)) }.flatten()
        at += 200 * CapacityCore.MILLI
        val report = TicketReport(TicketOutcome.COMPLETED, 282, SECOND / 10)
        for (grant in grants.filterIsInstance<OwnerEffect.Grant>()) owner.finish(at, grant.ticket, report)
    }
    repeat(tickets) { owner.requestTicket(at, ticket(next++, resident, at)) }
    return owner
}

private fun ticket(id: Long, resident: List<AdapterVersion>, at: Long): TicketRequest {
    val version = resident[(id % resident.size).toInt()]
    return TicketRequest(CapacityCore.SELF, id, AccountId("a${id % 5}"), version, 500, at + 60 * SECOND)
}

internal fun CapacityMeter.values() =
    mapOf("p50 us" to p50Micros, "p99 us" to p99Micros, "mean us" to meanMicros, "bytes" to meanBytes)
