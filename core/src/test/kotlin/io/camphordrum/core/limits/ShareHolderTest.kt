package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.RateLimit
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class ShareHolderTest {
    private val account = AccountId("acme")

    private fun fleet(rate: Long = 10_000, burst: Long = 20_000, memberCounts: Map<String, Int> = mapOf("a" to 8)) =
        Fleet(Random(7), memberCounts, mapOf(account to RateLimit(rate, burst)))

    private fun Fleet.assertWithinLimit() =
        assertTrue(worstExcessNanoTokens(account) <= 0, "exceeded by ${worstExcessNanoTokens(account)} nano-tokens")

    private fun Fleet.usedTokens(since: Long) = grants.filter { it.grantedAt > since }.sumOf { it.used }

    // Issues requests at a steady rate and retries deferred ones for up to half a second.
    private class Load(
        val fleet: Fleet,
        val account: AccountId,
        val tokens: Long,
        val periodNanos: Long,
        offsetNanos: Long = 0,
    ) {
        val waiting = ArrayDeque<Long>()
        var issued = 0L
        var notAdmitted = 0
        private var next = fleet.now + offsetNanos

        fun step(node: Fleet.Node) {
            while (next <= fleet.now) {
                next += periodNanos
                issued++
                waiting.addLast(fleet.now)
            }
            repeat(waiting.size) {
                val since = waiting.removeFirst()
                when (fleet.admit(node, account, tokens)) {
                    Admission.Granted -> Unit
                    is Admission.Wait -> if (fleet.now - since < 500 * MILLIS) waiting.addLast(since) else notAdmitted++
                    else -> notAdmitted++
                }
            }
        }
    }

    @Nested
    inner class FirstGeneration {
        @Test
        fun `starts with full buckets when the object is created`() {
            val fleet = fleet()
            fleet.run(1 * SECONDS)
            for (node in fleet.nodes) assertEquals(Admission.Granted, fleet.admit(node, account, 2_400))
            fleet.assertWithinLimit()
        }

        @Test
        fun `starts empty when the object already existed`() {
            val fleet = fleet()
            fleet.run(1 * SECONDS)
            fleet.nodes.toList().forEach { fleet.kill(it) }
            val next = fleet.nodes.toList().map { fleet.restart(it) }
            fleet.run(10 * MILLIS)
            for (node in next) assertTrue(fleet.admit(node, account, 1_000) != Admission.Granted)
        }
    }

    @Nested
    inner class Demand {
        @Test
        fun `on one of 8 holders gets nearly the whole rate without a refusal`() {
            val fleet = fleet()
            fleet.run(2 * SECONDS)
            val load = Load(fleet, account, tokens = 95, periodNanos = 10 * MILLIS)
            fleet.run(60 * SECONDS) { load.step(fleet.node("a-3")) }
            assertEquals(0, load.notAdmitted)
            fleet.assertWithinLimit()
        }

        @Test
        fun `that moves between holders is met without a refusal`() {
            val fleet = fleet()
            fleet.run(2 * SECONDS)
            val load = Load(fleet, account, tokens = 90, periodNanos = 10 * MILLIS)
            for (name in listOf("a-1", "a-5", "a-8", "a-2")) fleet.run(15 * SECONDS) { load.step(fleet.node(name)) }
            assertEquals(0, load.notAdmitted)
            fleet.assertWithinLimit()
        }

        @Test
        fun `above the rate is refused in part and gets the whole rate`() {
            val fleet = fleet()
            fleet.run(2 * SECONDS)
            val start = fleet.now
            val load = Load(fleet, account, tokens = 100, periodNanos = 4 * MILLIS)
            fleet.run(30 * SECONDS) { load.step(fleet.node("a-1")) }
            assertTrue(load.notAdmitted > 0 && fleet.usedTokens(start) > 300_000)
            fleet.assertWithinLimit()
        }

        @Test
        fun `for whole units of a small budget is not starved by splitting it`() {
            val fleet = fleet(rate = 4, burst = 8)
            fleet.run(2 * SECONDS)
            val start = fleet.now
            val loads = fleet.nodes.indices.map { Load(fleet, account, 1, SECONDS, offsetNanos = it * 120 * MILLIS) }
            fleet.run(30 * SECONDS) { for ((load, node) in loads.zip(fleet.nodes)) load.step(node) }
            assertTrue(fleet.usedTokens(start) > 90)
            fleet.assertWithinLimit()
        }
    }

    @Nested
    inner class Loss {
        @Test
        fun `of a holder is compensated after its removal`() {
            val fleet = fleet()
            fleet.run(2 * SECONDS)
            val load = Load(fleet, account, tokens = 80, periodNanos = 10 * MILLIS)
            fleet.run(10 * SECONDS) { load.step(fleet.node("a-1")) }
            fleet.kill(fleet.node("a-1"))
            fleet.remove(fleet.node("a-1"))
            fleet.run(10 * SECONDS) { load.step(fleet.node("a-2")) }
            val start = fleet.now
            val refused = load.notAdmitted
            fleet.run(20 * SECONDS) { load.step(fleet.node("a-2")) }
            assertEquals(refused, load.notAdmitted)
            assertTrue(fleet.usedTokens(start) > 155_000)
            fleet.assertWithinLimit()
        }

        @Test
        fun `of one of 8 equally loaded holders causes no refusal at the others`() {
            val fleet = fleet()
            fleet.run(2 * SECONDS)
            val loads = fleet.nodes.map { it to Load(fleet, account, tokens = 100, periodNanos = 100 * MILLIS) }
            fleet.run(10 * SECONDS) { for ((node, load) in loads) load.step(node) }
            fleet.kill(fleet.node("a-1"))
            fleet.remove(fleet.node("a-1"))
            val others = loads.filter { !it.first.isStopped }
            fleet.run(30 * SECONDS) { for ((node, load) in others) load.step(node) }
            assertEquals(0, others.sumOf { it.second.notAdmitted })
            fleet.assertWithinLimit()
        }

        @Test
        fun `of the lease leaves the floor until the floor lease ends`() {
            val fleet = fleet()
            fleet.run(2 * SECONDS)
            val node = fleet.node("a-4")
            node.isIsolated = true
            fleet.remove(node)
            fleet.run(10 * SECONDS)
            assertEquals(Admission.Granted, fleet.admit(node, account, 400))
            assertIs<Admission.Refused>(fleet.admit(node, account, 400))
            fleet.run(20 * SECONDS)
            assertIs<Admission.Refused>(fleet.admit(node, account, 1))
            fleet.assertWithinLimit()
        }
    }

    @Nested
    inner class Settlement {
        private fun Fleet.held() = nodes.filter { !it.isStopped && isMember(it) }.sumOf { it.holder.parts(account) }

        @Test
        fun `reserves all floors when no member has a complete list of floors`() {
            val fleet = fleet(memberCounts = mapOf("a" to 2))
            fleet.run(2 * SECONDS)
            val (removed, last) = fleet.nodes.toList()
            removed.isIsolated = true
            fleet.remove(removed)
            fleet.run(5 * SECONDS)
            assertEquals(900_000, fleet.held())
            // The only member that has recorded the floor stops before the new one receives its list.
            fleet.kill(last)
            fleet.startInstance(removed.dataCentre)
            fleet.remove(last)
            fleet.run(5 * SECONDS)
            assertEquals(800_000, fleet.held())
            fleet.run(25 * SECONDS)
            assertEquals(AllotmentRecord.PARTS, fleet.held())
        }

        @Test
        fun `frees the floor of a process that was replaced under its name`() {
            val fleet = fleet()
            fleet.run(2 * SECONDS)
            fleet.restart(fleet.node("a-1"))
            fleet.run(2 * SECONDS)
            assertEquals(AllotmentRecord.PARTS, fleet.held())
        }

        @Test
        fun `waits for a late acknowledgement`() {
            val fleet = fleet()
            fleet.run(2 * SECONDS)
            val late = fleet.nodes.first { it.member != fleet.generations.getValue(it.dataCentre).coordinator }
            late.pausedUntil = fleet.now + 2 * SECONDS
            val next = fleet.restart(fleet.nodes.first { it != late })
            fleet.run(1 * SECONDS)
            assertEquals(0, next.holder.parts(account))
            fleet.run(3 * SECONDS)
            assertEquals(AllotmentRecord.PARTS, fleet.held())
        }

        @Test
        fun `is completed by the next coordinator when the first stops before distributing parts`() {
            val fleet = fleet()
            fleet.run(2 * SECONDS)
            val first = fleet.node("a-1")
            fleet.kill(first)
            fleet.remove(first)
            fleet.run(1 * SECONDS)
            val coordinator = fleet.generations.getValue(first.dataCentre).coordinator
            val second = fleet.nodes.first { it.member == coordinator }
            fleet.kill(second)
            fleet.remove(second)
            fleet.run(8 * SECONDS)
            assertEquals(950_000, fleet.held())
            fleet.run(25 * SECONDS)
            assertEquals(AllotmentRecord.PARTS, fleet.held())
        }
    }

    @Nested
    inner class Release {
        @Test
        fun `returns all parts and leaves no floor reserved`() {
            val fleet = fleet()
            fleet.run(2 * SECONDS)
            val node = fleet.node("a-4")
            fleet.release(node)
            fleet.run(1 * SECONDS)
            assertTrue(node.holder.released)
            fleet.remove(node)
            fleet.kill(node)
            fleet.run(5 * SECONDS)
            assertEquals(AllotmentRecord.PARTS, fleet.nodes.filter { !it.isStopped }.sumOf { it.holder.parts(account) })
        }
    }

    @Nested
    inner class DataCentres {
        @Test
        fun `transfer parts to demand and stop writing when demand is steady`() {
            val fleet = fleet(memberCounts = mapOf("a" to 3, "b" to 3, "c" to 3))
            fleet.run(3 * SECONDS)
            val load = Load(fleet, account, tokens = 85, periodNanos = 10 * MILLIS)
            fleet.run(30 * SECONDS) { load.step(fleet.node("b-2")) }
            val writes = fleet.storeWrites
            val refused = load.notAdmitted
            fleet.run(30 * SECONDS) { load.step(fleet.node("b-2")) }
            val parts = fleet.nodes.filter { it.dataCentre.name == "b" }.sumOf { it.holder.parts(account) }
            assertEquals(refused, load.notAdmitted)
            assertEquals(writes, fleet.storeWrites)
            assertTrue(parts > 850_000)
            fleet.assertWithinLimit()
        }
    }
}
