package io.camphordrum.core.load

import io.camphordrum.core.serving.LoadSimulation
import io.camphordrum.core.serving.Outcome
import kotlin.test.Test
import kotlin.test.assertTrue

/** Plays loads of twelve engines that differ in speed behind eighteen daemons, without a network. */
class EngineLoadTest {
    private val simulation = LoadSimulation(daemons = 18, engines = 12)

    private fun assertInTime(outcomes: List<Outcome>, part: Double) {
        val inTime = outcomes.count { it.inTime }.toDouble() / outcomes.size
        val late = outcomes.count { (it.firstMillis ?: 0) > Outcome.TARGET_MILLIS }
        val paused = outcomes.count { (it.pauseMillis ?: 0) > Outcome.MAX_PAUSE_MILLIS }
        val refused = outcomes.count { it.refusedAfterMillis != null }
        val summary = "$inTime of ${outcomes.size} in time; $late late, $paused with long pauses, $refused refused"
        println(summary)
        assertTrue(inTime >= part, summary)
    }

    // Guards against slow engines that are paced and placed like the others.
    @Test
    fun `engines that differ in speed by 1 to 2,7`() {
        val speeds = listOf(0.6, 1.0, 1.6)
        for ((index, engine) in simulation.engines.withIndex()) engine.slowness = { speeds[index % speeds.size] }
        simulation.traffic(10_000, perSecond = 72.0)
        simulation.drain()
        assertInTime(simulation.between(2_000, 10_000), 0.95)
        val bytesPerSecond = simulation.bytes * 1_000 / simulation.millis / 18
        assertTrue(bytesPerSecond <= 10_000, "$bytesPerSecond bytes a second and daemon")
    }

    @Test
    fun `a quarter of the engines is four times slower for seconds`() {
        for (engine in simulation.engines.take(3)) {
            engine.slowness = { if (simulation.millis in 4_000 until 8_000) 4.0 else 1.0 }
        }
        simulation.traffic(8_000, perSecond = 60.0)
        simulation.drain()
        assertInTime(simulation.between(5_000, 8_000), 0.95)
    }
}
