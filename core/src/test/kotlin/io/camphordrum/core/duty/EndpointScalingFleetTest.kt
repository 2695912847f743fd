package io.camphordrum.core.duty

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Orders endpoints for a fleet whose requests read 20,000 tokens a second in each of three data centres. */
class EndpointScalingFleetTest {
    private val fleet = DutyFleet(options = DutyFleet.OPTIONS.copy(usage = false, scaling = true))

    @AfterTest
    fun `no two holders contradict each other`() = fleet.platform.assertOneHolder(DutyFleet.LEASE_MILLIS)

    // Guards against orders of what a new holder happens to know: the endpoints had registered in part, and the
    // minimum was ordered instead of the higher number in force.
    @Test
    fun `endpoints that register one after the other cause no order`() {
        fleet.putEndpoints(1)
        fleet.run(8_000)
        fleet.putEndpoints(6)
        fleet.run(30_000)
        assertEquals(emptyList(), fleet.platform.orders)
    }

    @Test
    fun `more demand orders more endpoints in its data centres`() {
        fleet.putEndpoints(6)
        fleet.run(20_000)
        fleet.requestsPerTick = 6
        fleet.run(20_000)
        val last = fleet.platform.orders.groupBy { it.dataCentre }.mapValues { it.value.last().count }
        assertEquals(setOf("a", "b", "c"), last.keys)
        assertTrue(last.values.all { it in 7..12 }, "$last")
    }

    // Guards against a new holder that gives up endpoints because it does not know the demand of the last minute.
    @Test
    fun `a new holder keeps the numbers in force`() {
        fleet.putEndpoints(6)
        fleet.run(20_000)
        fleet.stopped += fleet.holder!!
        fleet.run(40_000)
        assertEquals(emptyList(), fleet.platform.orders)
    }
}
