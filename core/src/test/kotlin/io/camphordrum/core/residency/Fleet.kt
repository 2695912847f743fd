package io.camphordrum.core.residency

import io.camphordrum.core.AccountId
import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.EndpointId
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

/** Serves one fixed request sequence with six owners and counts what the choice of endpoints costs. */
class Fleet(
    private val exponent: Double,
    private val perSecond: Double,
    private val loadsPerSecond: Double,
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
    private val owners = ids.associateWith { id ->
        EndpointOwner(id, 1, 0, true, { true }, { takeLoad() }, firstOwner = true)
    }
    private val cumulative = DoubleArray(ADAPTERS).also { sums ->
        var sum = 0.0
        for (rank in sums.indices) {
            sum += (rank + 1.0).pow(-exponent)
            sums[rank] = sum
        }
    }
    private val counts = HashMap<AdapterVersion, Int>()

    /** The requests that the best fixed placement would not have met with a resident adapter, in hindsight. */
    val missesInHindsight: Int
        get() = requests - counts.values.sortedDescending().take(ENDPOINTS * SLOTS).sum()
    private val asked = HashMap<Long, Long>()
    var requests = 0
        private set
    var loads = 0
        private set

    /** Requests whose adapter was not resident at the chosen endpoint when they arrived there. */
    var stalls = 0
        private set
    var denied = 0
        private set

    /** The time that granted requests waited, from arrival to grant. */
    var waitNanos = 0L
        private set

    /** Runs for [seconds]; what happens before [countAfter] seconds is not counted. */
    fun run(seconds: Int, countAfter: Int) {
        var arrival = 0L
        for (step in 0 until seconds * 100) {
            if (step == countAfter * 100) reset()
            now = step * STEP_NANOS
            budget = minOf(8.0, budget + loadsPerSecond * 0.01)
            while (events.isNotEmpty() && events.peek().at <= now) events.poll().run()
            while (arrival <= now) {
                request()
                arrival += (-ln(1 - random.nextDouble()) / perSecond * SECOND).toLong()
            }
            for ((id, owner) in owners) {
                if (step % 20 == 0) apply(id, owner.load(now, report(id)))
                if (step % 10 == 0) apply(id, owner.tick(now))
                owner.digest(now)?.let { digest(now, it) }
            }
        }
    }

    private fun reset() {
        requests = 0
        counts.clear()
        loads = 0
        stalls = 0
        denied = 0
        waitNanos = 0
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
        requests++
        counts.merge(version, 1, Int::plus)
        if (version !in resident.getValue(id)) stalls++
        val number = requests + now * 1_000
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
                    waitNanos += now - checkNotNull(asked.remove(effect.request))
                    later(id, 200) { owner.finish(now, effect.ticket, TicketReport(TicketOutcome.COMPLETED, 200, MS)) }
                }
                is OwnerEffect.Order -> order(id, owner, effect)
                is OwnerEffect.Deny -> {
                    denied++
                    asked.remove(effect.request)
                }
            }
        }
    }

    private fun order(id: EndpointId, owner: EndpointOwner, order: OwnerEffect.Order) {
        val load = order.kind == OrderKind.LOAD
        if (load) loads++
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
        private const val STEP_NANOS = 10 * MS
    }
}
