package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.RateLimit
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import kotlin.random.Random
import kotlin.test.assertTrue

/** Guards against any admission above burst + rate * T in any window, over all holders and under all faults at once. */
class LimitInvariantTest {
    private val large = AccountId("large")
    private val small = AccountId("small")
    private val limits = mapOf(large to RateLimit(5_000, 20_000), small to RateLimit(2, 8))

    @Property(seed = "20261204", tries = 150, shrinking = ShrinkingMode.OFF)
    fun `no window exceeds burst and rate under any fault`(@ForAll scenario: Long) {
        val random = Random(scenario)
        val centres = if (random.nextBoolean()) mapOf("a" to 5) else mapOf("a" to 3, "b" to 3)
        val fleet = Fleet(random, centres, limits)
        repeat(25) {
            disturb(fleet, random)
            val hot = fleet.nodes.random(random)
            fleet.run(random.nextLong(2 * SECONDS)) { demand(fleet, random, hot) }
        }
        for (account in limits.keys) {
            val excess = fleet.worstExcess(account)
            assertTrue(excess <= 0, "scenario $scenario: account $account exceeded a window by $excess nano-tokens")
        }
    }

    private fun demand(fleet: Fleet, random: Random, hot: Fleet.Node) {
        repeat(3) {
            val node = if (random.nextBoolean()) hot else fleet.nodes.random(random)
            fleet.admit(node, large, random.nextLong(1, 2_000))
            fleet.admit(node, small, 1)
        }
        val open = fleet.grants.lastOrNull { random.nextInt(4) == 0 && it.used == it.charged } ?: return
        fleet.settle(open, random.nextLong(open.charged + 1))
    }

    private fun disturb(fleet: Fleet, random: Random) {
        val node = fleet.nodes.random(random)
        when (random.nextInt(14)) {
            0 -> fleet.lossPercent = random.nextInt(40)
            1 -> fleet.duplicatePercent = random.nextInt(40)
            2 -> fleet.maxDelayNanos = random.nextLong(MILLIS, 3 * SECONDS)
            3 -> fleet.lostAnswerPercent = random.nextInt(60)
            4 -> fleet.storeDown = random.nextInt(3) == 0
            5 -> node.pausedUntil = fleet.now + random.nextLong(10 * SECONDS)
            6 -> fleet.kill(node)
            7, 8 -> fleet.remove(node)
            9 -> node.isolated = !node.isolated
            10 -> if (!fleet.isMember(node) && !node.dead) fleet.join(node)
            11 -> if (fleet.nodes.last { it.member.instance == node.member.instance } == node) fleet.restart(node)
            12 -> if (!node.dead) fleet.release(node)
            else -> calm(fleet)
        }
    }

    private fun calm(fleet: Fleet) {
        fleet.lossPercent = 0
        fleet.maxDelayNanos = MILLIS
        fleet.storeDown = false
        for (node in fleet.nodes) node.isolated = false
    }
}
