package io.camphordrum.core.serving

import kotlin.test.Test
import kotlin.test.assertTrue

/** Runs heavy load patterns against the serving cores of three daemons without a network; see [LoadSimulation]. */
class HeavyPatternTest {
    private fun share(outcomes: List<Outcome>, predicate: (Outcome) -> Boolean) =
        outcomes.count(predicate).toDouble() / maxOf(1, outcomes.size)

    private fun summary(outcomes: List<Outcome>) = "of ${outcomes.size}: in time ${outcomes.count { it.inTime }}, " +
        "refused ${outcomes.count { it.refusedAfterMillis != null }}, " +
        "late first ${outcomes.count { (it.firstMillis ?: 0) > Outcome.TARGET_MILLIS }}, " +
        "late pause ${outcomes.count { (it.pauseMillis ?: 0) > Outcome.MAX_PAUSE_MILLIS }}"

    @Test
    fun `ordinary load is served in time`() {
        val simulation = LoadSimulation()
        simulation.traffic(10_000, perSecond = 30.0)
        simulation.drain()
        assertTrue(share(simulation.outcomes) { it.inTime } > 0.9, summary(simulation.outcomes))
    }

    // Guards against an overload that delays all requests: admitted requests must still be served in time.
    @Test
    fun `requests admitted during a burst are served in time`() {
        val simulation = LoadSimulation()
        simulation.traffic(4_000, perSecond = 30.0)
        simulation.traffic(4_000, perSecond = 200.0)
        simulation.drain()
        val admitted = simulation.between(4_000, 8_000).filter { it.firstMillis != null }
        assertTrue(admitted.size > 100, summary(admitted))
        assertTrue(share(admitted) { it.inTime } > 0.85, summary(admitted))
    }

    // Guards against refusals that arrive too late for the caller to try elsewhere.
    @Test
    fun `requests refused during a burst are refused within one second`() {
        val simulation = LoadSimulation()
        simulation.traffic(4_000, perSecond = 200.0)
        simulation.drain()
        val refused = simulation.outcomes.mapNotNull { it.refusedAfterMillis }
        assertTrue(refused.isNotEmpty() && refused.max() <= 1_000, "${refused.maxOrNull()} ms")
    }

    // Guards against adapters that stay loaded after their popularity has passed while others are requested.
    @Test
    fun `after a popularity shift the new adapters are served within two seconds`() {
        val simulation = LoadSimulation()
        simulation.traffic(6_000, perSecond = 30.0)
        simulation.traffic(6_000, perSecond = 30.0, adapter = { LoadSimulation.zipf(it, 3_000, offset = 1_500) })
        simulation.drain()
        val after = simulation.between(8_000, 12_000)
        assertTrue(share(after) { it.inTime } > 0.85, summary(after))
    }

    // Guards against engines that load and unload adapters endlessly, and against more adapters than slots.
    @Test
    fun `rare adapters requested at once never exceed the slots`() {
        val simulation = LoadSimulation(slots = 4)
        var rare = 0
        simulation.traffic(4_000, perSecond = 60.0, adapter = { "rare-${rare++}" })
        simulation.drain()
        assertTrue(
            simulation.engines.all {
                it.adapters.maxUsedSlots <= 4
            },
            simulation.engines.map { it.adapters.maxUsedSlots }.toString(),
        )
        assertTrue(share(simulation.outcomes) { it.firstMillis != null } > 0.2, summary(simulation.outcomes))
    }

    // Guards against a fleet that does not use restarted engines, or sends all requests there at once.
    @Test
    fun `a third of the engines is used again after a crash and an empty restart`() {
        val simulation = LoadSimulation()
        val third = simulation.engines.take(2)
        simulation.traffic(3_000, perSecond = 30.0)
        third.forEach(simulation::crash)
        simulation.traffic(5_000, perSecond = 30.0)
        third.forEach(simulation::restart)
        simulation.traffic(8_000, perSecond = 30.0)
        simulation.drain()
        val loads = third.sumOf { it.adapters.loads }
        assertTrue(loads > 0, "no load on the restarted engines")
        val after = simulation.between(12_000, 16_000)
        assertTrue(share(after) { it.inTime } > 0.9, summary(after))
    }

    // Guards against long prompts that delay every short prompt behind them.
    @Test
    fun `short prompts beside long ones are served in time`() {
        val simulation = LoadSimulation()
        var requestNumber = 0
        simulation.traffic(8_000, perSecond = 30.0, prompt = { if (requestNumber++ % 10 == 0) 4_100 else 400 })
        simulation.drain()
        assertTrue(share(simulation.outcomes) { it.inTime } > 0.8, summary(simulation.outcomes))
    }
}
