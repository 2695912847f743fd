package io.camphordrum.core.residency

import io.camphordrum.core.AccountId
import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.EndpointId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import java.util.PriorityQueue
import kotlin.random.Random

/** Simulates owners and an endpoint with lost, delayed and repeated messages; all choices derive from one seed. */
class EndpointSimulation(seed: Long, private val fenced: Boolean, private val publishesBusy: Boolean) {
    private class Event(val atNanos: Long, val sequence: Int, val run: () -> Unit)

    private inner class OwnerHandle(val number: Long, firstOwner: Boolean) {
        var leaseUntilNanos = Long.MAX_VALUE
        var leaseInvalidUntilNanos = 0L
        var unticketedFromNanos = 0L
        val owner = EndpointOwner(
            EndpointId("e"),
            number,
            now,
            fenced,
            { it < leaseUntilNanos && it >= leaseInvalidUntilNanos },
            { true },
            firstOwner = firstOwner,
            settings = SETTINGS,
        )
    }

    private class Run(val version: AdapterVersion, val onBroken: () -> Unit)

    val checker = EvictionChecker()
    var grants = 0
    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.atNanos }, { it.sequence }))
    private var now = 0L
    private var scheduledCount = 0
    private var lastRequestId = 0L
    private var incarnation = 1L
    private var highestFencing = 0L
    private val resident = LinkedHashSet<AdapterVersion>()
    private val running = LinkedHashSet<Run>()
    private var owners = listOf(OwnerHandle(1, firstOwner = true))

    fun run(steps: Int) = repeat(steps) {
        val untilNanos = now + randomNanos(1, 100)
        while (events.isNotEmpty() && events.peek().atNanos <= untilNanos) {
            val event = events.poll()
            now = event.atNanos
            event.run()
        }
        now = untilNanos
        owners.forEach { apply(it, it.owner.tick(now)) }
        randomStep()
    }

    private fun randomStep() {
        val newest = owners.last()
        if (chance(60)) request(if (chance(15)) owners.first() else newest)
        if (chance(40)) report()
        if (now in newest.unticketedFromNanos..<newest.leaseInvalidUntilNanos && chance(30)) dispatchWithoutTicket()
        when (random.nextInt(300)) {
            0 -> restart()
            1 -> {
                newest.unticketedFromNanos = now + SETTINGS.orderTimeoutNanos
                newest.leaseInvalidUntilNanos = now + randomNanos(200, 3_000)
            }
            2 -> replaceOwner()
        }
    }

    private fun replaceOwner() {
        val old = owners.last()
        old.leaseUntilNanos = now + random.nextLong(SETTINGS.previousLeaseNanos)
        owners = listOf(old, OwnerHandle(old.number + 1, firstOwner = false))
    }

    private fun request(handle: OwnerHandle) {
        val version = AdapterVersion("a${minOf(random.nextInt(9), random.nextInt(9))}", 1)
        val account = AccountId("c${random.nextInt(3)}")
        val deadline = now + randomNanos(1_000, 8_000)
        val request = TicketRequest(HOLDER, ++lastRequestId, account, version, random.nextLong(10, 500), deadline)
        val sentNanos = now
        apply(handle, handle.owner.requestTicket(now, request), sentNanos)
    }

    private fun apply(handle: OwnerHandle, effects: List<OwnerEffect>, sentNanos: Long = 0) {
        for (effect in effects) {
            when (effect) {
                is OwnerEffect.Grant -> {
                    grants++
                    if (!chance(10)) scheduleWithin(200) { receiveGrant(handle, effect, sentNanos) }
                }
                is OwnerEffect.Order ->
                    if (!chance(10)) scheduleWithin(SETTINGS.orderTimeoutNanos / MS) { order(handle, effect) }
                is OwnerEffect.Deny -> Unit
            }
        }
    }

    // The owner's times are the latest that a holder can compute, so they are the worst case.
    private fun receiveGrant(handle: OwnerHandle, grant: OwnerEffect.Grant, sentNanos: Long) {
        val version = grant.version ?: return
        val dispatchBeforeNanos =
            minOf(grant.expiresNanos, grant.expiresNanos - grant.validNanos + grant.dispatchWithinNanos)
        if (now >= dispatchBeforeNanos || now < sentNanos) return
        val holderId = "ticket ${grant.ticket}"
        checker.startUse(holderId, version)
        scheduleWithin(300) {
            if (now >= dispatchBeforeNanos) {
                checker.endUse(holderId)
                finish(handle, grant.ticket, TicketOutcome.NOT_RUN)
            } else {
                dispatch(version, holderId, grant.expiresNanos) { finish(handle, grant.ticket, it) }
            }
        }
    }

    private fun dispatchWithoutTicket() {
        val version = resident.randomOrNull(random) ?: return
        dispatch(version, "dispatch ${++lastRequestId}", now + SETTINGS.ticketLifeNanos) {}
    }

    private fun dispatch(
        version: AdapterVersion,
        holderId: String,
        expiresNanos: Long,
        onDone: (TicketOutcome) -> Unit,
    ) {
        val holderFails = chance(10)
        checker.startUse(holderId, version)
        scheduleWithin(200) {
            if (version !in resident) {
                checker.endUse(holderId)
                onDone(TicketOutcome.FAILED)
                return@scheduleWithin
            }
            val run = Run(version) { checker.endUse(holderId) }
            running += run
            checker.startUse(run, version)
            if (holderFails) checker.endUse(holderId)
            val endNanos = now + if (holderFails) randomNanos(100, 9_000) else randomNanos(50, 1_500)
            scheduleAt(if (holderFails) endNanos else minOf(endNanos, maxOf(now, expiresNanos))) {
                running -= run
                checker.endUse(run)
                checker.endUse(holderId)
                if (!holderFails) onDone(TicketOutcome.COMPLETED)
            }
        }
    }

    private fun finish(handle: OwnerHandle, ticket: Long, outcome: TicketOutcome) {
        if (chance(10)) return
        scheduleWithin(300) {
            for (receiver in owners) {
                if (receiver === handle || chance(20)) {
                    apply(receiver, receiver.owner.finish(now, ticket, TicketReport(outcome)))
                }
            }
        }
    }

    private fun order(handle: OwnerHandle, order: OwnerEffect.Order) {
        val outcome = when {
            fenced && order.fencing < highestFencing -> OrderOutcome.FENCED
            order.kind == OrderKind.EVICT -> evict(order.version)
            else -> load(order.version)
        }
        if (outcome != OrderOutcome.FENCED) highestFencing = maxOf(highestFencing, order.fencing)
        if (chance(10)) return
        val reportedOutcome = if (chance(10)) OrderOutcome.UNKNOWN else outcome
        scheduleWithin(300) { apply(handle, handle.owner.closeOrder(now, order.order, reportedOutcome)) }
    }

    private fun evict(version: AdapterVersion): OrderOutcome {
        checker.recordEviction(now, version)
        resident -= version
        return OrderOutcome.DONE
    }

    private fun load(version: AdapterVersion): OrderOutcome {
        if (version in resident) return OrderOutcome.DONE
        if (resident.size >= SLOTS || chance(10)) return OrderOutcome.FAILED
        resident += version
        return OrderOutcome.DONE
    }

    // The report shows the current state but may be sampled later, and may arrive later still.
    private fun report() {
        val sampledNanos = now + random.nextLong(SETTINGS.reportLagNanos)
        val busy = running.mapTo(HashSet()) { it.version }.takeIf { publishesBusy }
        val report = LoadReport(incarnation, sampledNanos, resident.toSet(), running.size, 0, SLOTS, busy)
        scheduleAt(sampledNanos + randomNanos(0, 500)) {
            owners.forEach { apply(it, it.owner.receiveReport(now, report)) }
        }
    }

    private fun restart() {
        incarnation++
        highestFencing = 0
        resident.clear()
        running.forEach {
            checker.endUse(it)
            it.onBroken()
        }
        running.clear()
    }

    private fun scheduleWithin(maxDelayMillis: Long, run: () -> Unit) =
        scheduleAt(now + randomNanos(0, maxDelayMillis), run)

    private fun scheduleAt(atNanos: Long, run: () -> Unit) {
        events += Event(atNanos, scheduledCount++, run)
    }

    private fun chance(percent: Int) = random.nextInt(100) < percent

    private fun randomNanos(fromMillis: Long, untilMillis: Long) = random.nextLong(fromMillis, untilMillis) * MS

    companion object {
        private const val MS = 1_000_000L
        private const val SLOTS = 3
        private val HOLDER = Member(InstanceId("d"), 1)
        val SETTINGS = OwnerSettings(
            maxConcurrency = 8,
            ticketLifeNanos = 3_000 * MS,
            previousLeaseNanos = 1_000 * MS,
            orderTimeoutNanos = 1_000 * MS,
            reportLagNanos = 400 * MS,
            minResidenceNanos = 300 * MS,
        )
    }
}
