package io.camphordrum.core.serving

import kotlin.test.Test
import kotlin.test.assertTrue

/** Plays the loads of heavy days against the decisions of three daemons, without network; see [ModelDay]. */
class HeavyPatternTest {
    private fun share(outcomes: List<Outcome>, what: (Outcome) -> Boolean) =
        outcomes.count(what).toDouble() / maxOf(1, outcomes.size)

    private fun tell(outcomes: List<Outcome>) = "of ${outcomes.size}: in aim ${outcomes.count { it.inAim }}, " +
        "refused ${outcomes.count { it.refusedAfterMillis != null }}, " +
        "late first ${outcomes.count { (it.firstMillis ?: 0) > Outcome.AIM_MILLIS }}, " +
        "late pause ${outcomes.count { (it.pauseMillis ?: 0) > Outcome.PAUSE_MILLIS }}"

    @Test
    fun `an ordinary load is served in time`() {
        val day = ModelDay()
        day.traffic(10_000, perSecond = 30.0)
        day.settle()
        assertTrue(share(day.outcomes) { it.inAim } > 0.9, tell(day.outcomes))
    }

    // Guards against an overload that makes everybody late: what is admitted must still be served in time.
    @Test
    fun `of a burst of all what is admitted is served in time`() {
        val day = ModelDay()
        day.traffic(4_000, perSecond = 30.0)
        day.traffic(4_000, perSecond = 200.0)
        day.settle()
        val admitted = day.between(4_000, 8_000).filter { it.firstMillis != null }
        assertTrue(admitted.size > 100, tell(admitted))
        assertTrue(share(admitted) { it.inAim } > 0.85, tell(admitted))
    }

    // Guards against refusals that come when the caller could long have gone elsewhere.
    @Test
    fun `of a burst of all those refused hear it before the aim has passed`() {
        val day = ModelDay()
        day.traffic(4_000, perSecond = 200.0)
        day.settle()
        val refused = day.outcomes.mapNotNull { it.refusedAfterMillis }
        assertTrue(refused.isNotEmpty() && refused.max() <= 1_000, "${refused.maxOrNull()} ms")
    }

    // Guards against adapters that stay where they were popular while others are asked for.
    @Test
    fun `when popularity moves on the new adapters are served within two seconds`() {
        val day = ModelDay()
        day.traffic(6_000, perSecond = 30.0)
        day.traffic(6_000, perSecond = 30.0, adapter = { ModelDay.zipf(it, 3_000, offset = 1_500) })
        day.settle()
        val after = day.between(8_000, 12_000)
        assertTrue(share(after) { it.inAim } > 0.85, tell(after))
    }

    // Guards against an engine that drops and reads adapters without end, and against more of them than it has places.
    @Test
    fun `rare adapters asked for at once never exceed the places`() {
        val day = ModelDay(places = 4)
        var rare = 0
        day.traffic(4_000, perSecond = 60.0, adapter = { "rare-${rare++}" })
        day.settle()
        assertTrue(
            day.engines.all {
                it.adapters.mostPlaces <= 4
            },
            day.engines.map { it.adapters.mostPlaces }.toString(),
        )
        assertTrue(share(day.outcomes) { it.firstMillis != null } > 0.2, tell(day.outcomes))
    }

    // Guards against a fleet that does not use what came back, or sends everything there at once.
    @Test
    fun `a third of the engines gone and back empty is used again`() {
        val day = ModelDay()
        val third = day.engines.take(2)
        day.traffic(3_000, perSecond = 30.0)
        third.forEach(day::crash)
        day.traffic(5_000, perSecond = 30.0)
        third.forEach(day::restart)
        day.traffic(8_000, perSecond = 30.0)
        day.settle()
        val loads = third.sumOf { it.adapters.loads }
        assertTrue(loads > 0, "no load on the engines that came back")
        val after = day.between(12_000, 16_000)
        assertTrue(share(after) { it.inAim } > 0.9, tell(after))
    }

    // Guards against long prompts that hold up every short one behind them.
    @Test
    fun `short prompts beside long ones are served in time`() {
        val day = ModelDay()
        var number = 0
        day.traffic(8_000, perSecond = 30.0, prompt = { if (number++ % 10 == 0) 4_100 else 400 })
        day.settle()
        assertTrue(share(day.outcomes) { it.inAim } > 0.8, tell(day.outcomes))
    }
}
