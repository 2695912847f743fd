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
    private val parameters = ShareParameters(floorLeaseNanos = 6 * SECONDS)

    @Property(seed = "20261204", tries = 150, shrinking = ShrinkingMode.OFF)
    fun `no window exceeds the limit while members of a data centre fail`(@ForAll scenario: Long) {
        val random = Random(scenario)
        val fleet = Fleet(random, mapOf("a" to random.nextInt(2, 6)), limits, parameters)
        repeat(25) {
            disturb(fleet, random)
            phase(fleet, random, fleet.nodes.random(random))
        }
        check(fleet, scenario)
    }

    @Property(seed = "20261204", tries = 150, shrinking = ShrinkingMode.OFF)
    fun `no window exceeds the limit while parts move between data centres`(@ForAll scenario: Long) {
        val random = Random(scenario)
        val fleet = Fleet(random, mapOf("a" to 2, "b" to 2), limits, parameters)
        fleet.lostAnswerPercent = 40
        var centre = fleet.nodes.first().centre
        repeat(25) { round ->
            if (round % 5 == 0) centre = fleet.generations.keys.random(random)
            val node = fleet.nodes.random(random)
            when (random.nextInt(6)) {
                0 -> if (isNewest(fleet, node)) fleet.restart(node)
                1 -> fleet.absent(node, random.nextLong(8 * SECONDS), paused = true)
                2 -> fleet.storeDown = random.nextInt(3) == 0
                3 -> fleet.maxDelayNanos = random.nextLong(MILLIS, SECONDS)
                else -> calm(fleet)
            }
            phase(fleet, random, fleet.nodes.filter { it.centre == centre }.random(random))
        }
        check(fleet, scenario)
    }

    private fun check(fleet: Fleet, scenario: Long) {
        for (account in limits.keys) {
            val excess = fleet.worstExcess(account)
            assertTrue(excess <= 0, "scenario $scenario: account $account exceeded a window by $excess nano-tokens")
        }
    }

    // One phase in four is idle, so that buckets fill up and old charges are refunded into full buckets.
    private fun phase(fleet: Fleet, random: Random, hot: Fleet.Node) {
        val idle = random.nextInt(4) == 0
        fleet.run(random.nextLong(2 * SECONDS), step = 10 * MILLIS) {
            if (!idle) demand(fleet, random, hot)
            val open = fleet.grants.lastOrNull { random.nextInt(8) == 0 && it.used == it.charged }
            if (open != null && !idle) fleet.settle(open, random.nextLong(open.charged + 1))
        }
    }

    private fun demand(fleet: Fleet, random: Random, hot: Fleet.Node) {
        repeat(3) {
            val node = if (random.nextBoolean()) hot else fleet.nodes.random(random)
            fleet.admit(node, large, random.nextLong(1, 2_000))
            fleet.admit(node, large, random.nextLong(1, 100))
            fleet.admit(node, small, 1)
        }
    }

    private fun disturb(fleet: Fleet, random: Random) {
        val node = fleet.nodes.random(random)
        when (random.nextInt(16)) {
            0 -> fleet.lossPercent = random.nextInt(40)
            1 -> fleet.duplicatePercent = random.nextInt(40)
            2 -> fleet.maxDelayNanos = random.nextLong(MILLIS, 3 * SECONDS)
            3 -> fleet.lostAnswerPercent = random.nextInt(60)
            4 -> fleet.storeDown = random.nextInt(3) == 0
            5 -> node.pausedUntil = fleet.now + random.nextLong(10 * SECONDS)
            6 -> fleet.kill(node)
            7 -> fleet.remove(node)
            8, 9 -> fleet.absent(node, random.nextLong(16 * SECONDS), random.nextBoolean())
            10 -> if (!fleet.isMember(node) && !node.dead) fleet.join(node)
            11 -> if (isNewest(fleet, node)) fleet.restart(node)
            12 -> if (!node.dead) fleet.release(node)
            13 -> if (fleet.nodes.size < 9) fleet.start(node.centre)
            else -> calm(fleet)
        }
    }

    private fun isNewest(fleet: Fleet, node: Fleet.Node) =
        fleet.nodes.last { it.member.instance == node.member.instance } == node

    private fun calm(fleet: Fleet) {
        fleet.lossPercent = 0
        fleet.maxDelayNanos = MILLIS
        fleet.storeDown = false
    }
}
