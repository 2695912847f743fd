package io.camphordrum.core.residency

import io.camphordrum.core.AccountId
import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.EndpointId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import java.util.PriorityQueue
import kotlin.random.Random

/** Runs owners against an endpoint that loses, delays and repeats messages; all choices come from one seed. */
class World(seed: Long, private val fenced: Boolean, private val publishesBusy: Boolean) {
    private class Event(val at: Long, val order: Int, val run: () -> Unit)

    private inner class Handle(val number: Long, first: Boolean) {
        var leaseUntil = Long.MAX_VALUE
        var dipUntil = 0L
        var unticketedFrom = 0L
        val owner = EndpointOwner(
            EndpointId("e"),
            number,
            now,
            fenced,
            { it < leaseUntil && it >= dipUntil },
            { true },
            firstOwner = first,
            settings = SETTINGS,
        )
    }

    private class Run(val version: AdapterVersion, val broken: () -> Unit)

    val checker = EvictionChecker()
    var grants = 0
    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private var now = 0L
    private var scheduled = 0
    private var requests = 0L
    private var incarnation = 1L
    private var fence = 0L
    private val resident = LinkedHashSet<AdapterVersion>()
    private val running = LinkedHashSet<Run>()
    private var owners = listOf(Handle(1, first = true))

    fun run(steps: Int) = repeat(steps) {
        val until = now + millis(1, 100)
        while (events.isNotEmpty() && events.peek().at <= until) {
            val event = events.poll()
            now = event.at
            event.run()
        }
        now = until
        owners.forEach { apply(it, it.owner.tick(now)) }
        act()
    }

    private fun act() {
        val newest = owners.last()
        if (chance(60)) request(if (chance(15)) owners.first() else newest)
        if (chance(40)) report()
        if (now in newest.unticketedFrom..<newest.dipUntil && chance(30)) dispatchWithoutTicket()
        when (random.nextInt(300)) {
            0 -> restart()
            1 -> {
                newest.unticketedFrom = now + SETTINGS.orderNanos
                newest.dipUntil = now + millis(200, 3_000)
            }
            2 -> replaceOwner()
        }
    }

    private fun replaceOwner() {
        val old = owners.last()
        old.leaseUntil = now + random.nextLong(SETTINGS.previousLeaseNanos)
        owners = listOf(old, Handle(old.number + 1, first = false))
    }

    private fun request(to: Handle) {
        val version = AdapterVersion("a${minOf(random.nextInt(9), random.nextInt(9))}", 1)
        val account = AccountId("c${random.nextInt(3)}")
        val deadline = now + millis(1_000, 8_000)
        val request = TicketRequest(HOLDER, ++requests, account, version, random.nextLong(10, 500), deadline)
        val sent = now
        apply(to, to.owner.request(now, request), sent)
    }

    private fun apply(from: Handle, effects: List<OwnerEffect>, sent: Long = 0) {
        for (effect in effects) {
            when (effect) {
                is OwnerEffect.Grant -> {
                    grants++
                    if (!chance(10)) later(200) { granted(from, effect, sent) }
                }
                is OwnerEffect.Order -> if (!chance(10)) later(SETTINGS.orderNanos / MS) { order(from, effect) }
                is OwnerEffect.Deny -> Unit
            }
        }
    }

    // The owner's times are the latest that a holder can compute, so they are the worst case.
    private fun granted(from: Handle, grant: OwnerEffect.Grant, sent: Long) {
        val version = grant.version ?: return
        val latest = minOf(grant.expiresNanos, grant.expiresNanos - grant.validNanos + grant.startNanos)
        if (now >= latest || now < sent) return
        val holder = "ticket ${grant.ticket}"
        checker.used(holder, version)
        later(300) {
            if (now >= latest) {
                checker.unused(holder)
                finish(from, grant.ticket, TicketOutcome.NOT_RUN)
            } else {
                dispatch(version, holder, grant.expiresNanos) { finish(from, grant.ticket, it) }
            }
        }
    }

    private fun dispatchWithoutTicket() {
        val version = resident.randomOrNull(random) ?: return
        dispatch(version, "dispatch ${++requests}", now + SETTINGS.ticketLifeNanos) {}
    }

    private fun dispatch(version: AdapterVersion, holder: String, expires: Long, done: (TicketOutcome) -> Unit) {
        val vanishes = chance(10)
        checker.used(holder, version)
        later(200) {
            if (version !in resident) {
                checker.unused(holder)
                done(TicketOutcome.FAILED)
                return@later
            }
            val run = Run(version) { checker.unused(holder) }
            running += run
            checker.used(run, version)
            if (vanishes) checker.unused(holder)
            val end = now + if (vanishes) millis(100, 9_000) else millis(50, 1_500)
            at(if (vanishes) end else minOf(end, maxOf(now, expires))) {
                running -= run
                checker.unused(run)
                checker.unused(holder)
                if (!vanishes) done(TicketOutcome.COMPLETED)
            }
        }
    }

    private fun finish(to: Handle, ticket: Long, outcome: TicketOutcome) {
        if (chance(10)) return
        later(300) {
            for (handle in owners) {
                if (handle === to || chance(20)) apply(handle, handle.owner.finish(now, ticket, TicketReport(outcome)))
            }
        }
    }

    private fun order(from: Handle, order: OwnerEffect.Order) {
        val outcome = when {
            fenced && order.fencing < fence -> OrderOutcome.FENCED
            order.kind == OrderKind.EVICT -> evict(order.version)
            else -> load(order.version)
        }
        if (outcome != OrderOutcome.FENCED) fence = maxOf(fence, order.fencing)
        if (chance(10)) return
        val told = if (chance(10)) OrderOutcome.UNKNOWN else outcome
        later(300) { apply(from, from.owner.ordered(now, order.order, told)) }
    }

    private fun evict(version: AdapterVersion): OrderOutcome {
        checker.evicted(now, version)
        resident -= version
        return OrderOutcome.DONE
    }

    private fun load(version: AdapterVersion): OrderOutcome {
        if (version in resident) return OrderOutcome.DONE
        if (resident.size >= SLOTS || chance(10)) return OrderOutcome.FAILED
        resident += version
        return OrderOutcome.DONE
    }

    // The report shows the present state but may count as sampled later, and may arrive later still.
    private fun report() {
        val sampled = now + random.nextLong(SETTINGS.reportLagNanos)
        val busy = running.mapTo(HashSet()) { it.version }.takeIf { publishesBusy }
        val report = LoadReport(incarnation, sampled, resident.toSet(), running.size, 0, SLOTS, busy)
        at(sampled + millis(0, 500)) { owners.forEach { apply(it, it.owner.load(now, report)) } }
    }

    private fun restart() {
        incarnation++
        fence = 0
        resident.clear()
        running.forEach {
            checker.unused(it)
            it.broken()
        }
        running.clear()
    }

    private fun later(mostMillis: Long, run: () -> Unit) = at(now + millis(0, mostMillis), run)

    private fun at(time: Long, run: () -> Unit) {
        events += Event(time, scheduled++, run)
    }

    private fun chance(percent: Int) = random.nextInt(100) < percent

    private fun millis(from: Long, until: Long) = random.nextLong(from, until) * MS

    companion object {
        private const val MS = 1_000_000L
        private const val SLOTS = 3
        private val HOLDER = Member(InstanceId("d"), 1)
        val SETTINGS = OwnerSettings(
            concurrency = 8,
            ticketLifeNanos = 3_000 * MS,
            previousLeaseNanos = 1_000 * MS,
            orderNanos = 1_000 * MS,
            reportLagNanos = 400 * MS,
            residenceNanos = 300 * MS,
        )
    }
}
