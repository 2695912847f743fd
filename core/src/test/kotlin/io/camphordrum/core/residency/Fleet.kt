package io.camphordrum.core.residency

import io.camphordrum.core.AccountId
import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.EndpointId
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/** @property stalls requests whose adapter was not resident at the chosen endpoint when they arrived there. */
class Counts(
    var loads: Int = 0,
    var stalls: Int = 0,
    var denied: Int = 0,
    var waitNanos: Long = 0,
    val requests: MutableMap<AdapterVersion, Int> = HashMap(),
) {
    /** The requests that the best fixed placement would not have met with a resident adapter, in hindsight. */
    val missesInHindsight: Int
        get() = requests.values.sortedDescending().drop(Fleet.ENDPOINTS * Fleet.SLOTS).sum()
}

/** Serves one fixed request sequence with six owners and counts what the choice of endpoints costs. */
class Fleet(
    private val route: (now: Long, version: AdapterVersion) -> EndpointId,
    private val digest: (now: Long, ResidencyMessage.Digest) -> Unit,
) {
    private class Later(val at: Long, val run: () -> Unit)

    private val random = Random(20_261_204)
    private val ids = List(ENDPOINTS) { EndpointId("e$it") }
    private val resident = ids.associateWith { HashSet<AdapterVersion>() }
    private val events = PriorityQueue<Later>(compareBy { it.at })
    private var budget = 0.0
    private var now = 0L
    private var lastNumber = 0L
    private val owners = ids.associateWith { id ->
        EndpointOwner(id, 1, 0, true, { true }, { takeLoad() }, firstOwner = true)
    }
    private val cumulative = DoubleArray(ADAPTERS).also { sums ->
        for (rank in sums.indices) sums[rank] = 1.0 / (rank + 1) + if (rank > 0) sums[rank - 1] else 0.0
    }
    private val asked = HashMap<Long, Long>()
    var counts = Counts()
        private set

    /** Runs for [seconds]; what happens before [countAfter] seconds is not counted. */
    fun run(seconds: Int, countAfter: Int) {
        var arrival = 0L
        for (step in 0 until seconds * 100) {
            if (step == countAfter * 100) counts = Counts()
            now = step * STEP_NANOS
            budget = minOf(8.0, budget + LOADS_PER_SECOND * 0.01)
            while (events.isNotEmpty() && events.peek().at <= now) events.poll().run()
            while (arrival <= now) {
                request()
                arrival += (-ln(1 - random.nextDouble()) / REQUESTS_PER_SECOND * SECOND).toLong()
            }
            for ((id, owner) in owners) {
                if (step % 20 == 0) apply(id, owner.load(now, report(id)))
                if (step % 10 == 0) apply(id, owner.tick(now))
                owner.digest(now)?.let { digest(now, it) }
            }
        }
    }

    private fun takeLoad(): Boolean {
        if (budget < 1) return false
        budget -= 1
        return true
    }

    private fun report(id: EndpointId): LoadReport {
        // The state is the present one, so the sampling time is moved by the lag that the owner subtracts.
        val sampled = now + OwnerSettings().reportLagNanos
        return LoadReport(1, sampled, resident.getValue(id).toSet(), 0, 0, SLOTS, emptySet())
    }

    private fun request() {
        val rank = cumulative.binarySearch(random.nextDouble() * cumulative.last()).let { if (it < 0) -it - 1 else it }
        val version = AdapterVersion("adapter-$rank", 1)
        val id = route(now, version)
        counts.requests.merge(version, 1, Int::plus)
        if (version !in resident.getValue(id)) counts.stalls++
        val number = ++lastNumber
        asked[number] = now
        val account = AccountId("account-${rank % 5}")
        val request = TicketRequest(OwnerFixture.DAEMON, number, account, version, 200, now + 30 * SECOND)
        apply(id, owners.getValue(id).request(now, request))
    }

    private fun apply(id: EndpointId, effects: List<OwnerEffect>) {
        val owner = owners.getValue(id)
        for (effect in effects) {
            when (effect) {
                is OwnerEffect.Grant -> {
                    counts.waitNanos += now - checkNotNull(asked.remove(effect.request))
                    later(id, 200) { owner.finish(now, effect.ticket, TicketReport(TicketOutcome.COMPLETED, 200, MS)) }
                }
                is OwnerEffect.Order -> order(id, owner, effect)
                is OwnerEffect.Deny -> {
                    counts.denied++
                    asked.remove(effect.request)
                }
            }
        }
    }

    private fun order(id: EndpointId, owner: EndpointOwner, order: OwnerEffect.Order) {
        val load = order.kind == OrderKind.LOAD
        if (load) counts.loads++
        later(id, if (load) 250 else 10) {
            if (load) resident.getValue(id) += order.version else resident.getValue(id) -= order.version
            owner.ordered(now, order.order, OrderOutcome.DONE)
        }
    }

    private fun later(id: EndpointId, millis: Long, run: () -> List<OwnerEffect>) {
        events += Later(now + millis * MS) { apply(id, run()) }
    }

    companion object {
        const val ADAPTERS = 3_000
        const val ENDPOINTS = 6
        const val SLOTS = 8
        private const val REQUESTS_PER_SECOND = 3.0
        private const val LOADS_PER_SECOND = 2.0
        private const val STEP_NANOS = 10 * MS
    }
}
