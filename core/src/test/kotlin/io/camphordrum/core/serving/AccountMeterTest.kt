package io.camphordrum.core.serving

import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class AccountMeterTest {
    private val clock = HandClock()
    private val account = ServedAccount("inspectors", setOf("k"), null, 1_000.0, 2_000.0, 200)

    private fun member(name: String) = Member(InstanceId(name), 1)

    private fun meter(name: String) = AccountMeter(member(name), clock.nanos).also {
        it.configure(clock.nanos, listOf(account))
    }

    @Nested
    inner class OneDaemon {
        // Guards against a limit that a burst right after the start exceeds: the bucket starts empty.
        @Test
        fun `tokens over any window stay within rate and burst and one request`() {
            val meter = meter("a")
            var charged = 0
            repeat(400) {
                clock.pass(20)
                meter.open(clock.nanos, 500)
                if (meter.charge(clock.nanos, "inspectors", 300) == 0L) charged += 300
            }
            assertTrue(charged <= 8 * 1_000 + 2_000 + 300, "charged $charged")
            assertTrue(charged >= 7 * 1_000, "charged $charged")
        }

        @Test
        fun `a refusal names when the account has tokens again`() {
            val meter = meter("a")
            meter.open(clock.nanos, 500)
            assertTrue(meter.charge(clock.nanos, "inspectors", 300) > 0)
        }

        @Test
        fun `a request that did not run is given back`() {
            val meter = meter("a")
            clock.pass(5_000)
            meter.open(clock.nanos, 500)
            meter.charge(clock.nanos, "inspectors", 1_500)
            meter.refund("inspectors", 1_500)
            assertEquals(0, meter.charged.getValue("inspectors"))
        }

        // Guards against a lowered limit that only binds once the old bucket is empty.
        @Test
        fun `a lower limit binds at once`() {
            val meter = meter("a")
            clock.pass(10_000)
            meter.configure(clock.nanos, listOf(account.copy(tokensPerSecond = 10.0, burstTokens = 20.0)))
            meter.open(clock.nanos, 500)
            assertEquals(0, meter.charge(clock.nanos, "inspectors", 100))
            assertTrue(meter.charge(clock.nanos, "inspectors", 100) > 0)
        }
    }

    @Nested
    inner class SeveralDaemons {
        private fun total(hear: Boolean, names: List<String>): Int {
            val meters = names.map { meter(it) }
            var charged = 0
            var number = 0L
            repeat(16) {
                number++
                repeat(25) {
                    clock.pass(20)
                    for (meter in meters) if (meter.charge(clock.nanos, "inspectors", 100) == 0L) charged += 100
                }
                for ((from, meter) in meters.withIndex()) {
                    val said = HashMap(meter.charged)
                    if (hear) for (other in meters) other.heard(clock.nanos, member(names[from]), number, said)
                }
                for (meter in meters) {
                    meter.share(clock.nanos, if (hear) names.size else 1, names.size)
                    meter.open(clock.nanos, 500)
                }
            }
            return charged
        }

        // Guards against daemons that each grant the whole limit.
        @Test
        fun `daemons that hear each other stay within the limit together`() {
            val charged = total(hear = true, listOf("a", "b", "c", "d", "e", "f", "g"))
            assertTrue(charged <= 1.1 * (8 * 1_000 + 2_000) + 2_000, "charged $charged")
            assertTrue(charged >= 6_000, "charged $charged")
        }

        @Test
        fun `daemons that cannot hear each other stay within the limit together`() {
            val charged = total(hear = false, listOf("a", "b", "c", "d", "e", "f", "g"))
            assertTrue(charged <= 1.1 * (8 * 1_000 + 2_000) + 2_000, "charged $charged")
        }

        @Test
        fun `an older notice changes nothing`() {
            val meter = meter("a")
            clock.pass(10_000)
            meter.heard(clock.nanos, member("b"), 2, mapOf("inspectors" to 100))
            meter.heard(clock.nanos, member("b"), 1, mapOf("inspectors" to 50))
            meter.heard(clock.nanos, member("b"), 3, mapOf("inspectors" to 100))
            meter.share(clock.nanos, 2, 2)
            meter.open(clock.nanos, 500)
            assertEquals(0, meter.charge(clock.nanos, "inspectors", 500))
        }
    }
}
