package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.RateLimit
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import kotlin.random.Random
import kotlin.test.assertTrue

/** Guards against admissions above burst + rate * T in any window, summed over all holders, under combined faults. */
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
            injectFault(fleet, random)
            runPhase(fleet, random, fleet.nodes.random(random))
        }
        assertWithinLimits(fleet, scenario)
    }

    @Property(seed = "20261204", tries = 150, shrinking = ShrinkingMode.OFF)
    fun `no window exceeds the limit while parts move between data centres`(@ForAll scenario: Long) {
        val random = Random(scenario)
        val fleet = Fleet(random, mapOf("a" to 2, "b" to 2), limits, parameters)
        fleet.lostResponsePercent = 40
        var dataCentre = fleet.nodes.first().dataCentre
        repeat(25) { round ->
            if (round % 5 == 0) dataCentre = fleet.generations.keys.random(random)
            val node = fleet.nodes.random(random)
            when (random.nextInt(6)) {
                0 -> if (isNewestIncarnation(fleet, node)) fleet.restart(node)
                1 -> fleet.removeTemporarily(node, random.nextLong(8 * SECONDS), paused = true)
                2 -> fleet.storeDown = random.nextInt(3) == 0
                3 -> fleet.maxDelayNanos = random.nextLong(MILLIS, SECONDS)
                else -> clearFaults(fleet)
            }
            runPhase(fleet, random, fleet.nodes.filter { it.dataCentre == dataCentre }.random(random))
        }
        assertWithinLimits(fleet, scenario)
    }

    private fun assertWithinLimits(fleet: Fleet, scenario: Long) {
        for (account in limits.keys) {
            val excess = fleet.worstExcessNanoTokens(account)
            assertTrue(excess <= 0, "scenario $scenario: account $account exceeded a window by $excess nano-tokens")
        }
    }

    // One phase in four has no demand, so that buckets fill up and old charges are refunded to full buckets.
    private fun runPhase(fleet: Fleet, random: Random, busyNode: Fleet.Node) {
        val idle = random.nextInt(4) == 0
        fleet.run(random.nextLong(2 * SECONDS), stepNanos = 10 * MILLIS) {
            if (!idle) requestTokens(fleet, random, busyNode)
            val open = fleet.grants.lastOrNull { random.nextInt(8) == 0 && it.used == it.charged }
            if (open != null && !idle) fleet.settle(open, random.nextLong(open.charged + 1))
        }
    }

    private fun requestTokens(fleet: Fleet, random: Random, busyNode: Fleet.Node) {
        repeat(3) {
            val node = if (random.nextBoolean()) busyNode else fleet.nodes.random(random)
            fleet.admit(node, large, random.nextLong(1, 2_000))
            fleet.admit(node, large, random.nextLong(1, 100))
            fleet.admit(node, small, 1)
        }
    }

    private fun injectFault(fleet: Fleet, random: Random) {
        val node = fleet.nodes.random(random)
        when (random.nextInt(16)) {
            0 -> fleet.lossPercent = random.nextInt(40)
            1 -> fleet.duplicatePercent = random.nextInt(40)
            2 -> fleet.maxDelayNanos = random.nextLong(MILLIS, 3 * SECONDS)
            3 -> fleet.lostResponsePercent = random.nextInt(60)
            4 -> fleet.storeDown = random.nextInt(3) == 0
            5 -> node.pausedUntil = fleet.now + random.nextLong(10 * SECONDS)
            6 -> fleet.kill(node)
            7 -> fleet.remove(node)
            8, 9 -> fleet.removeTemporarily(node, random.nextLong(16 * SECONDS), random.nextBoolean())
            10 -> if (!fleet.isMember(node) && !node.isStopped) fleet.join(node)
            11 -> if (isNewestIncarnation(fleet, node)) fleet.restart(node)
            12 -> if (!node.isStopped) fleet.release(node)
            13 -> if (fleet.nodes.size < 9) fleet.startInstance(node.dataCentre)
            else -> clearFaults(fleet)
        }
    }

    private fun isNewestIncarnation(fleet: Fleet, node: Fleet.Node) =
        fleet.nodes.last { it.member.instance == node.member.instance } == node

    private fun clearFaults(fleet: Fleet) {
        fleet.lossPercent = 0
        fleet.maxDelayNanos = MILLIS
        fleet.storeDown = false
    }
}
