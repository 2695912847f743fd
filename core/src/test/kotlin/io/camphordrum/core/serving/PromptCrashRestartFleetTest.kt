package io.camphordrum.core.serving

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertEquals

/** Restarts whole fleets while they collect evidence against a prompt part, on a manual clock with fixed seeds. */
class PromptCrashRestartFleetTest {
    // Guards against evidence that is lost with all daemons, so that a part may crash as many endpoints once more.
    @ParameterizedTest
    @CsvSource("7, 0.05", "95, 0.02")
    fun `the bound holds when all daemons restart before the decision`(size: Int, share: Double) {
        for (seed in 1..Integer.getInteger("promptSeeds", if (size > 16) 1 else 4)) {
            val fleet = PromptFleet(size, endpoints = if (size > 16) 37 else 6, seed)
            fleet.demandPerSecond = if (size > 16) 200.0 else 60.0
            fleet.run(4_000)
            fleet.badShares = mapOf("bad" to share)
            fleet.run(1_500)
            fleet.restartAll(downMillis = 1_000)
            fleet.run(20_000)
            val name = "seed $seed, ${fleet.crashes.size} crashes"
            assertEquals(emptyMap(), fleet.overBudget(), name)
            assertEquals(0, fleet.soundBlocked, name)
        }
    }
}
