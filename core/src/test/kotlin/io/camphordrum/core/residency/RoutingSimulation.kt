package io.camphordrum.core.residency

import io.camphordrum.core.AccountId
import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.EndpointId
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/**
 * The counts of a simulated run.
 *
 * @property stalls requests whose adapter was not resident at the selected endpoint on arrival.
 * @property waitNanos total wait of the granted requests.
 */
class RoutingCounts(
    var loads: Int = 0,
    var stalls: Int = 0,
    var denials: Int = 0,
    var waitNanos: Long = 0,
    val requests: MutableMap<AdapterVersion, Int> = HashMap(),
) {
    /**
     * The number of requests that the best fixed placement, chosen in hindsight, would not serve with a resident
     * adapter.
     */
    val missesInHindsight: Int
        get() = requests.values.sortedDescending().drop(RoutingSimulation.ENDPOINTS * RoutingSimulation.SLOTS).sum()
}

/**
 * Serves one fixed sequence of requests with six owners and counts the loads and waits that the selection of endpoints
 * causes.
 */
class RoutingSimulation(
    private val route: (now: Long, version: AdapterVersion) -> EndpointId,
    private val publishDigest: (now: Long, ResidencyMessage.Digest) -> Unit,
) {
    private class Event(val atNanos: Long, val run: () -> Unit)

    private val random = Random(20_261_204)
    private val ids = List(ENDPOINTS) { EndpointId("e$it") }
    private val resident = ids.associateWith { HashSet<AdapterVersion>() }
    private val events = PriorityQueue<Event>(compareBy { it.atNanos })
    private var loadBudget = 0.0
    private var now = 0L
    private var lastRequestId = 0L
    private val owners = ids.associateWith { id ->
        EndpointOwner(id, 1, 0, true, { true }, { acquireLoadUnit() }, firstOwner = true)
    }
    private val cumulativeWeights = DoubleArray(ADAPTERS).also { sums ->
        for (rank in sums.indices) sums[rank] = 1.0 / (rank + 1) + if (rank > 0) sums[rank - 1] else 0.0
    }
    private val requestedAtNanos = HashMap<Long, Long>()
    var counts = RoutingCounts()
        private set

    /** Runs for [seconds] seconds; events before [countAfter] seconds are not counted. */
    fun run(seconds: Int, countAfter: Int) {
        var arrivalNanos = 0L
        for (step in 0 until seconds * 100) {
            if (step == countAfter * 100) counts = RoutingCounts()
            now = step * STEP_NANOS
            loadBudget = minOf(8.0, loadBudget + LOADS_PER_SECOND * 0.01)
            while (events.isNotEmpty() && events.peek().atNanos <= now) events.poll().run()
            while (arrivalNanos <= now) {
                request()
                arrivalNanos += (-ln(1 - random.nextDouble()) / REQUESTS_PER_SECOND * SECOND).toLong()
            }
            for ((id, owner) in owners) {
                if (step % 20 == 0) apply(id, owner.receiveReport(now, report(id)))
                if (step % 10 == 0) apply(id, owner.tick(now))
                owner.nextDigest(now)?.let { publishDigest(now, it) }
            }
        }
    }

    private fun acquireLoadUnit(): Boolean {
        if (loadBudget < 1) return false
        loadBudget -= 1
        return true
    }

    private fun report(id: EndpointId): LoadReport {
        // The state is current, so the sampling time is moved by the lag that the owner subtracts.
        val sampledNanos = now + OwnerSettings().reportLagNanos
        return LoadReport(1, sampledNanos, resident.getValue(id).toSet(), 0, 0, SLOTS, emptySet())
    }

    private fun request() {
        val rank = cumulativeWeights.binarySearch(random.nextDouble() * cumulativeWeights.last())
            .let { if (it < 0) -it - 1 else it }
        val version = AdapterVersion("adapter-$rank", 1)
        val id = route(now, version)
        counts.requests.merge(version, 1, Int::plus)
        if (version !in resident.getValue(id)) counts.stalls++
        val requestId = ++lastRequestId
        requestedAtNanos[requestId] = now
        val account = AccountId("account-${rank % 5}")
        val request = TicketRequest(OwnerFixture.DAEMON, requestId, account, version, 200, now + 30 * SECOND)
        apply(id, owners.getValue(id).requestTicket(now, request))
    }

    private fun apply(id: EndpointId, effects: List<OwnerEffect>) {
        val owner = owners.getValue(id)
        for (effect in effects) {
            when (effect) {
                is OwnerEffect.Grant -> {
                    counts.waitNanos += now - checkNotNull(requestedAtNanos.remove(effect.request))
                    schedule(id, 200) {
                        owner.finish(now, effect.ticket, TicketReport(TicketOutcome.COMPLETED, 200, MS))
                    }
                }
                is OwnerEffect.Order -> order(id, owner, effect)
                is OwnerEffect.Deny -> {
                    counts.denials++
                    requestedAtNanos.remove(effect.request)
                }
            }
        }
    }

    private fun order(id: EndpointId, owner: EndpointOwner, order: OwnerEffect.Order) {
        val load = order.kind == OrderKind.LOAD
        if (load) counts.loads++
        schedule(id, if (load) 250 else 10) {
            if (load) resident.getValue(id) += order.version else resident.getValue(id) -= order.version
            owner.closeOrder(now, order.order, OrderOutcome.DONE)
        }
    }

    private fun schedule(id: EndpointId, millis: Long, run: () -> List<OwnerEffect>) {
        events += Event(now + millis * MS) { apply(id, run()) }
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
