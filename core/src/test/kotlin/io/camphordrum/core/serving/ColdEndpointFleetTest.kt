package io.camphordrum.core.serving

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertTrue

/** Plays endpoints that become cold to whole fleets, on a manual clock with fixed seeds. */
class ColdEndpointFleetTest {
    private fun play(size: Int, plain: Boolean, fault: LimitedFleet.() -> Unit) {
        val seeds = Integer.getInteger("coldSeeds")?.let { 1..it } ?: listOf(1, FAILED_SEED)
        for (seed in seeds) {
            val fleet = LimitedFleet(size, plain, seed)
            fleet.demandPerSecond = if (size > 16) 120.0 else 60.0
            fleet.run(9_000)
            val cold = fleet.replicas.first()
            fleet.chill(cold, 8_000)
            fleet.run(1_500)
            fleet.fault()
            fleet.run(8_000)
            val most = cold.mostInColdSecond()
            assertTrue(most <= BOUND, "seed $seed: $most requests in a second at a cold endpoint, allowed $BOUND")
        }
    }

    @ParameterizedTest
    @CsvSource("7, false", "7, true", "95, false", "95, true")
    fun `a cold endpoint gets at most its bound`(size: Int, plain: Boolean) = play(size, plain) {}

    // Guards against an owner and daemons without an owner that together send more than the bound.
    @ParameterizedTest
    @CsvSource("7, false", "7, true", "95, false", "95, true")
    fun `a cold endpoint gets at most its bound while its owner changes`(size: Int, plain: Boolean) =
        play(size, plain) { names(0).forEach { kill(it, downMillis = null) } }

    // Guards against a bound that is divided among the live daemons: each restart moves parts to daemons that have not
    // sent yet, so a plain service got 26 requests in a second where 24 are allowed.
    @ParameterizedTest
    @CsvSource("7, false", "7, true", "95, false", "95, true")
    fun `a cold endpoint gets at most its bound while daemons restart`(size: Int, plain: Boolean) =
        play(size, plain) {
            for (name in names(0)) {
                kill(name, downMillis = 400)
                run(300)
            }
        }

    @ParameterizedTest
    @CsvSource("7, false", "7, true", "95, false", "95, true")
    fun `a cold endpoint gets at most its bound while a data centre is cut off`(size: Int, plain: Boolean) =
        play(size, plain) { cut(0, 4_000) }

    @ParameterizedTest
    @CsvSource("7, false", "7, true", "95, false", "95, true")
    fun `a cold endpoint gets at most its bound while messages are lost`(size: Int, plain: Boolean) =
        play(size, plain) { lossRate = 0.3 }

    private companion object {
        // With this seed 95 daemons that restart exceeded the bound of a plain service.
        const val FAILED_SEED = 36

        // The cold rate of the fixture's services, times coldFactor, plus coldSlack.
        const val BOUND = 13 * 1.5 + 5
    }
}
