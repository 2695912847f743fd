package io.camphordrum.core.fleet

import io.camphordrum.core.CoreEffect
import io.camphordrum.core.fleet.Fleet.Companion.MILLI
import io.camphordrum.core.fleet.Fleet.Companion.SECOND
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Injects every fault at random points of a mixed load and checks all invariants.
 *
 * The load of completions, orders and repeated orders keeps requests in every processing step at all times, so that
 * each fault affects all steps. Pairs of faults are selected by seeds that are part of the test names.
 */
class FaultMatrixTest {
    @TestFactory
    fun `invariants hold under each fault`(): List<DynamicTest> = Fault.entries.flatMap { fault ->
        (1L..SEEDS).map { seed -> test("$fault, seed $seed") { run(seed, listOf(fault)) } }
    }

    @TestFactory
    fun `invariants hold under pairs of faults`(): List<DynamicTest> = (1L..PAIRS).map { seed ->
        val random = Random(seed)
        val pair = List(2) { Fault.entries.random(random) }
        test("${pair[0]} and ${pair[1]}, seed $seed") { run(seed, pair) }
    }

    private fun test(name: String, body: () -> Unit) = DynamicTest.dynamicTest(name, body)

    private fun run(seed: Long, faults: List<Fault>) {
        val fleet = standardFleet(seed)
        val random = Random(seed)
        val load = MixedLoad(fleet, random)
        load.run(3 * SECOND)
        for (fault in faults) {
            fault.inject(fleet, random)
            load.run(random.nextLong(SECOND))
        }
        load.run(8 * SECOND)
        for (fault in faults) fault.revert(fleet, random)
        load.run(6 * SECOND)
        fleet.run(75 * SECOND)
        fleet.assertInvariants()
        assertAnswered(fleet)
        assertServesAgain(fleet)
    }

    // Every caller of a daemon that is still running receives a final answer.
    private fun assertAnswered(fleet: Fleet) {
        val open = fleet.callers.values.filter { it.answers.isEmpty() && it.nodeSurvived(fleet) }.map { it.request.id }
        assertEquals(emptyList(), open, "requests without a final answer, seed ${fleet.seed}")
    }

    private fun Fleet.Caller.nodeSurvived(fleet: Fleet) =
        fleet.nodes.getValue(node).let { it.alive && it.startedAt <= arrivedAt }

    // After the faults have ended, all daemons answer requests again.
    private fun assertServesAgain(fleet: Fleet) {
        val live = fleet.nodes.values.filter { it.alive }
        val callers = live.map { fleet.sendCompletion(it, "a1", "large-key") }
        fleet.run(20 * SECOND)
        val failed = callers.filter { it.answers.singleOrNull() !is CoreEffect.Answer }.map { it.node to it.answers }
        assertTrue(
            failed.isEmpty(),
            "expected answers from all daemons, seed ${fleet.seed}: $failed; ${fleet.states()}",
        )
    }

    private companion object {
        const val SEEDS = 2L
        const val PAIRS = 20L
    }
}

/** Sends completions, orders and repeated orders through random daemons. */
class MixedLoad(private val fleet: Fleet, private val random: Random) {
    private var orderCount = 0

    fun run(nanos: Long) {
        val end = fleet.now + nanos
        while (fleet.now < end) {
            step()
            fleet.run(20 * MILLI)
        }
    }

    private fun step() {
        val node = fleet.nodes.values.filter { it.alive }.random(random)
        when (random.nextInt(10)) {
            0 -> fleet.sendOrder(node, "small-key", "order-${orderCount++}")
            1 -> fleet.sendOrder(node, "small-key", "order-${random.nextInt(orderCount + 1)}")
            2 -> fleet.sendOrder(node, "large-key", null)
            3 -> fleet.sendCompletion(node, "notices", null)
            else -> {
                val account = if (random.nextInt(3) == 0) "small-key" else "large-key"
                fleet.sendCompletion(node, "a${1 + random.nextInt(6)}@${1 + random.nextInt(2)}", account, 20)
            }
        }
    }
}
