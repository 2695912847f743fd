package io.camphordrum.core.load

import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.Test
import kotlin.test.assertTrue

/** Plays loads of three plain endpoints with six places each behind 66 daemons; work takes 21 ms, the target is 124. */
class PlainServiceLoadTest {
    private fun assertInTime(fleet: PlainFleet, fromMillis: Long, toMillis: Long, part: Double) {
        val actual = fleet.partInTime(fromMillis, toMillis)
        println("in time: $actual; arrivals ${fleet.endpoints.map { it.arrivals }}; bytes ${bytesPerSecond(fleet)}")
        assertTrue(actual >= part, "$actual of the requests in time, expected at least $part")
    }

    private fun bytesPerSecond(fleet: PlainFleet) = fleet.bytes * 1_000 / fleet.millis / PlainFleet.DAEMONS

    @Nested
    inner class OneEndpointInEachDataCentre {
        private val fleet = PlainFleet(listOf("a", "b", "c"))

        // Guards against an estimate that never learns from the answers of plain services.
        @Test
        fun `an endpoint that is five times slower for seconds`() {
            fleet.endpoints[0].slowness = { if (fleet.millis in 1_000 until 5_000) 6.0 else 1.0 }
            fleet.traffic(9_000, perSecond = 240.0)
            fleet.drain()
            // Known within a second.
            assertInTime(fleet, 2_000, 5_000, 0.95)
            val before = fleet.endpoints[0].arrivals
            fleet.traffic(4_000, perSecond = 240.0)
            assertTrue(fleet.endpoints[0].arrivals - before > 200, "the endpoint has its share again")
        }

        @Test
        fun `machines that are slower by 2,5 for moments`() {
            for ((index, endpoint) in fleet.endpoints.withIndex()) {
                endpoint.slowness = { if ((fleet.millis + index * 1_300) % 4_000 < 600) 2.5 else 1.0 }
            }
            fleet.traffic(8_000, perSecond = 400.0)
            fleet.drain()
            assertInTime(fleet, 0, 8_000, 0.96)
        }

        // Guards against requests whose first send is always turned away although the health check is good.
        @Test
        fun `an endpoint that turns away 45 percent of its requests`() {
            fleet.endpoints[0].shedPart = 0.45
            fleet.traffic(1_000, perSecond = 240.0)
            val before = fleet.endpoints.map { it.arrivals }
            fleet.traffic(5_000, perSecond = 240.0)
            fleet.drain()
            val arrivals = fleet.endpoints.mapIndexed { index, endpoint -> endpoint.arrivals - before[index] }
            println("arrivals $arrivals")
            assertTrue(arrivals[0] < arrivals.sum() / 10, "$arrivals")
            assertTrue(arrivals[0] > 10, "trials are still sent: $arrivals")
            fleet.endpoints[0].shedPart = 0.0
            fleet.traffic(3_000, perSecond = 240.0)
            val back = fleet.endpoints[0].arrivals
            fleet.traffic(2_000, perSecond = 240.0)
            assertTrue(fleet.endpoints[0].arrivals - back > 100, "the endpoint has its share again")
        }

        // Guards against what was learned of the earlier start, and against a full share while the new one warms up.
        @Test
        fun `an endpoint that has just restarted`() {
            fleet.traffic(2_000, perSecond = 240.0)
            fleet.restart(fleet.endpoints[0])
            fleet.endpoints[0].slowness = { if (fleet.millis < 5_000) 5.0 else 1.0 }
            fleet.traffic(3_000, perSecond = 240.0)
            fleet.drain()
            assertInTime(fleet, 2_000, 5_000, 0.9)
        }

        @Test
        fun `a slow endpoint whose header says that it is idle`() {
            fleet.endpoints[0].claim = ReportedLoad(0, 0, 6, 50)
            fleet.endpoints[0].slowness = { 6.0 }
            fleet.traffic(5_000, perSecond = 240.0)
            fleet.drain()
            assertInTime(fleet, 1_000, 5_000, 0.95)
        }

        // A false header must not take the place of an endpoint that answers in time.
        @Test
        fun `an endpoint whose header says that it is slow`() {
            fleet.endpoints[0].claim = ReportedLoad(0, 0, 6, 400)
            fleet.traffic(5_000, perSecond = 240.0)
            assertTrue(fleet.endpoints[0].arrivals > 240, "${fleet.endpoints.map { it.arrivals }}")
        }
    }

    @Nested
    inner class AllInOneDataCentre {
        // Guards against daemons that see the same past and all send to the endpoint that was best then.
        @ParameterizedTest
        @ValueSource(doubles = [400.0, 600.0])
        fun `daemons that all see the past`(perSecond: Double) {
            val fleet = PlainFleet(listOf("a", "a", "a"))
            fleet.traffic(5_000, perSecond)
            fleet.drain()
            assertInTime(fleet, 500, 5_000, 0.97)
            assertTrue(bytesPerSecond(fleet) < 10_000)
        }
    }

    @Nested
    inner class UnevenDemand {
        // Guards against a data centre that refuses or serves late what the others have room for.
        @Test
        fun `two endpoints for three data centres`() {
            val fleet = PlainFleet(listOf("b", "c"))
            fleet.traffic(5_000, perSecond = 300.0)
            fleet.drain()
            assertInTime(fleet, 500, 5_000, 0.97)
        }
    }
}
