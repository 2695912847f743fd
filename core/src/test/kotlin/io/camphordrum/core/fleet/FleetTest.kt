package io.camphordrum.core.fleet

import io.camphordrum.core.CoreEffect
import io.camphordrum.core.RefusalCode
import io.camphordrum.core.config.Edit
import io.camphordrum.core.fleet.Fleet.Companion.MILLI
import io.camphordrum.core.fleet.Fleet.Companion.SECOND
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Tests the processing of requests by several daemons without faults. */
class FleetTest {
    private val fleet = standardFleet(seed = 1)
    private val node = fleet.nodes.getValue("d1a")

    private fun Fleet.Caller.refusal() = assertIs<CoreEffect.Refuse>(answers.single()).refusal

    @Nested
    inner class Requests {
        @Test
        fun `a completion runs on the requested version`() {
            val caller = fleet.sendCompletion(node, "a1@1", "small-key")
            fleet.run(5 * SECOND)
            assertIs<CoreEffect.Answer>(caller.answers.single())
            assertEquals(Fleet.version("a1", 1), caller.dispatches.single().version)
            fleet.assertInvariants()
        }

        @Test
        fun `a name without a version runs on the current version`() {
            val caller = fleet.sendCompletion(node, "a1", "small-key")
            fleet.run(5 * SECOND)
            assertEquals(Fleet.version("a1", 2), caller.dispatches.single().version)
        }

        @Test
        fun `a request that runs for ten seconds is not cancelled`() {
            fleet.requestDurationNanos = 10 * SECOND
            val caller = fleet.sendCompletion(node, "a1", "small-key")
            fleet.run(15 * SECOND)
            assertIs<CoreEffect.Answer>(caller.answers.single())
        }

        @Test
        fun `an unknown key is refused`() {
            val caller = fleet.sendCompletion(node, "a1", "stolen")
            assertEquals(RefusalCode.BAD_KEY, caller.refusal().code)
        }

        @Test
        fun `an open adapter needs no key`() {
            val caller = fleet.sendCompletion(node, "notices", null)
            fleet.run(5 * SECOND)
            assertIs<CoreEffect.Answer>(caller.answers.single())
        }

        @Test
        fun `an unknown adapter is not found`() {
            assertEquals(RefusalCode.NOT_FOUND, fleet.sendCompletion(node, "nothing", "small-key").refusal().code)
        }

        @Test
        fun `a charge above the burst is too large`() {
            val caller = fleet.sendCompletion(node, "a1", "small-key", tokens = 2_001)
            assertEquals(RefusalCode.TOO_LARGE, caller.refusal().code)
        }
    }

    @Nested
    inner class Orders {
        @Test
        fun `a repeated order receives the first answer and runs once`() {
            val first = fleet.sendOrder(node, "small-key", "order-1")
            fleet.run(2 * SECOND)
            val second = fleet.sendOrder(fleet.nodes.getValue("d2b"), "small-key", "order-1")
            fleet.run(2 * SECOND)
            val answer = assertIs<CoreEffect.Answer>(first.answers.single()).answer
            assertEquals(answer, assertIs<CoreEffect.Answer>(second.answers.single()).answer)
            fleet.assertInvariants()
        }

        @Test
        fun `an order is refused as not run while the platform is unavailable`() {
            fleet.store.unavailable = true
            val caller = fleet.sendOrder(node, "small-key", "order-2")
            fleet.run(10 * SECOND)
            assertEquals(RefusalCode.UNAVAILABLE, caller.refusal().code)
            assertTrue(caller.dispatches.isEmpty())
        }
    }

    @Nested
    inner class Limits {
        @Test
        fun `demand on one daemon receives the full rate without a refusal`() {
            repeat(200) {
                fleet.sendCompletion(node, "a1", "small-key", tokens = 90)
                fleet.run(100 * MILLI)
            }
            fleet.run(5 * SECOND)
            val refused = fleet.callers.values.count { it.answers.single() is CoreEffect.Refuse }
            assertEquals(0, refused, "requests at 90% of the rate were refused")
            fleet.assertInvariants()
        }

        @Test
        fun `requests at five times the rate are refused beyond the limit`() {
            repeat(100) {
                fleet.sendCompletion(fleet.nodes.values.elementAt(it % 6), "a1", "small-key", tokens = 500)
                fleet.run(100 * MILLI)
            }
            fleet.run(5 * SECOND)
            assertTrue(fleet.callers.values.any { (it.answers.single() as? CoreEffect.Refuse) != null })
            fleet.assertInvariants()
        }
    }

    @Nested
    inner class Changes {
        @Test
        fun `all daemons refuse a withdrawn key within two seconds`() {
            fleet.submitChange(node, "withdraw", listOf(Edit.Remove("keys/small-1")))
            fleet.run(2 * SECOND)
            for (other in fleet.nodes.values) {
                assertEquals(
                    RefusalCode.BAD_KEY,
                    fleet.sendCompletion(other, "a1", "small-key").refusal().code,
                    other.name,
                )
            }
        }

        @Test
        fun `exactly one of two concurrent changes is accepted`() {
            fleet.submitChange(node, "first", listOf(Edit.Remove("keys/small-1")))
            fleet.submitChange(fleet.nodes.getValue("d2b"), "second", listOf(Edit.Remove("keys/large-1")))
            fleet.run(5 * SECOND)
            val outcomes = listOf("first", "second").map { fleet.submitted.getValue(it).javaClass.simpleName }
            assertEquals(listOf("Accepted", "Conflict"), outcomes.sorted())
        }
    }
}
