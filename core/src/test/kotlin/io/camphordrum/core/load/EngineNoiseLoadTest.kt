package io.camphordrum.core.load

import io.camphordrum.core.serving.LoadSimulation
import kotlin.test.Test
import kotlin.test.assertTrue

/** Plays engines whose machines are slower for moments, behind eighteen daemons and without a network. */
class EngineNoiseLoadTest {
    // Guards against prompts that are read together while a machine is slow: all streams there pause for too long.
    @Test
    fun `machines of engines that are slower by 2,5 for moments`() {
        val simulation = LoadSimulation(daemons = 18, engines = 12)
        for ((index, engine) in simulation.engines.withIndex()) {
            engine.slowness = { if ((simulation.millis + index * 333) % 4_000 < 600) 2.5 else 1.0 }
        }
        simulation.traffic(10_000, perSecond = 40.0)
        simulation.drain()
        val outcomes = simulation.between(2_000, 10_000)
        val inTime = outcomes.count { it.inTime }.toDouble() / outcomes.size
        assertTrue(inTime >= 0.95, "$inTime of ${outcomes.size} in time")
    }
}
