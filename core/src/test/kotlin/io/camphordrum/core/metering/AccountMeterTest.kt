package io.camphordrum.core.metering

import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import io.camphordrum.core.serving.ManualClock
import io.camphordrum.core.serving.ServedAccount
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class AccountMeterTest {
    private val clock = ManualClock()
    private val account = ServedAccount("inspectors", setOf("k"), null, 1_000.0, 2_000.0, 200)

    private fun member(name: String) = Member(InstanceId(name), 1)

    private fun meter(name: String) = AccountMeter(member(name), clock.nanos).also {
        it.configure(clock.nanos, listOf(account))
    }

    @Nested
    inner class OneDaemon {
        // Guards against a burst right after the start that exceeds the limit: the bucket starts empty.
        @Test
        fun `tokens over any window stay within rate and burst and one request`() {
            val meter = meter("a")
            var charged = 0
            repeat(400) {
                clock.advance(20)
                meter.renewAllowance(clock.nanos, 500)
                if (meter.charge(clock.nanos, "inspectors", 300) == 0L) charged += 300
            }
            assertTrue(charged <= 8 * 1_000 + 2_000 + 300, "charged $charged")
            assertTrue(charged >= 7 * 1_000, "charged $charged")
        }

        @Test
        fun `a refused charge returns the time until the account has tokens again`() {
            val meter = meter("a")
            meter.renewAllowance(clock.nanos, 500)
            assertTrue(meter.charge(clock.nanos, "inspectors", 300) > 0)
        }

        @Test
        fun `a request that did not run is refunded`() {
            val meter = meter("a")
            clock.advance(5_000)
            meter.renewAllowance(clock.nanos, 500)
            meter.charge(clock.nanos, "inspectors", 1_500)
            meter.refund(clock.nanos, "inspectors", 1_500)
            assertEquals(0, meter.charged.getValue("inspectors"))
        }

        // Guards against a lowered limit that takes effect only after the old bucket is empty.
        @Test
        fun `a lower limit takes effect at once`() {
            val meter = meter("a")
            clock.advance(10_000)
            meter.configure(clock.nanos, listOf(account.copy(tokensPerSecond = 10.0, burstTokens = 20.0)))
            meter.renewAllowance(clock.nanos, 500)
            assertEquals(0, meter.charge(clock.nanos, "inspectors", 100))
            assertTrue(meter.charge(clock.nanos, "inspectors", 100) > 0)
        }
    }

    @Nested
    inner class SeveralDaemons {
        private fun chargedByAll(connected: Boolean, names: List<String>): Int {
            val meters = names.map { meter(it) }
            var charged = 0
            var sequence = 0L
            repeat(16) {
                sequence++
                repeat(25) {
                    clock.advance(20)
                    for (meter in meters) if (meter.charge(clock.nanos, "inspectors", 100) == 0L) charged += 100
                }
                for ((from, meter) in meters.withIndex()) {
                    val reported = HashMap(meter.charged)
                    if (connected) {
                        for (other in meters) {
                            other.recordPeerCharges(
                                clock.nanos,
                                member(names[from]),
                                sequence,
                                reported,
                            )
                        }
                    }
                }
                for (meter in meters) {
                    meter.updateShare(clock.nanos, if (connected) names.size else 1, names.size)
                    meter.renewAllowance(clock.nanos, 500)
                }
            }
            return charged
        }

        // Guards against daemons that each allow the whole limit.
        @Test
        fun `connected daemons together stay within the limit`() {
            val charged = chargedByAll(connected = true, listOf("a", "b", "c", "d", "e", "f", "g"))
            assertTrue(charged <= 1.1 * (8 * 1_000 + 2_000) + 2_000, "charged $charged")
            assertTrue(charged >= 6_000, "charged $charged")
        }

        @Test
        fun `partitioned daemons together stay within the limit`() {
            val charged = chargedByAll(connected = false, listOf("a", "b", "c", "d", "e", "f", "g"))
            assertTrue(charged <= 1.1 * (8 * 1_000 + 2_000) + 2_000, "charged $charged")
        }

        @Test
        fun `an older notice is ignored`() {
            val meter = meter("a")
            clock.advance(10_000)
            meter.recordPeerCharges(clock.nanos, member("b"), 2, mapOf("inspectors" to 100))
            meter.recordPeerCharges(clock.nanos, member("b"), 1, mapOf("inspectors" to 50))
            meter.recordPeerCharges(clock.nanos, member("b"), 3, mapOf("inspectors" to 100))
            meter.updateShare(clock.nanos, 2, 2)
            meter.renewAllowance(clock.nanos, 500)
            assertEquals(0, meter.charge(clock.nanos, "inspectors", 500))
        }
    }
}
