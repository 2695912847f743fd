package io.camphordrum.core.membership

import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import net.jqwik.api.constraints.IntRange
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class MembershipPropertyTest {
    /** Guards against a right with two holders, and a lease that outlives the removal of its member. */
    @Property(tries = 150, seed = "7331", shrinking = ShrinkingMode.OFF)
    fun `no right has two holders under faults`(@ForAll @IntRange(min = 3, max = 5) size: Int, @ForAll seed: Long) {
        MembershipSimulation(size, seed).run(seconds = 90)
    }

    /** Guards against members that never regain their lease, and endpoints that stay without an owner. */
    @Property(tries = 40, seed = "7332", shrinking = ShrinkingMode.OFF)
    fun `every member and endpoint is served after faults end`(
        @ForAll @IntRange(min = 3, max = 5) size: Int,
        @ForAll seed: Long,
    ) {
        val simulation = MembershipSimulation(size, seed)
        simulation.run(seconds = 40)
        simulation.clearFaults()
        for (slot in 0 until size) simulation.kill(slot)
        simulation.run(seconds = 60, withFaults = false)
        for (process in simulation.processes) {
            assertTrue(process.membership.leaseValid(process.clock()), "${process.member}: ${simulation.record}")
        }
        for (endpoint in simulation.endpoints) {
            val holders = simulation.processes.count { it.membership.holds(it.clock(), endpoint) }
            assertEquals(1, holders, "$endpoint: ${simulation.record}")
        }
    }

    /** Guards against a property that holds only because no member is ever removed. */
    @Example
    fun `the faults cause removals`() {
        val removed = (1L..10).sumOf { seed -> MembershipSimulation(5, seed).also { it.run(seconds = 90) }.removed }
        assertTrue(removed > 50, "only $removed members were removed")
    }
}
