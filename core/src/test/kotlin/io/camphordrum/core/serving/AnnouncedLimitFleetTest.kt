package io.camphordrum.core.serving

import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Plays endpoints that announce a rate limit to whole fleets, on a manual clock with fixed seeds. */
class AnnouncedLimitFleetTest {
    private fun fleet(size: Int, plain: Boolean, limits: List<Double?>, seed: Int = 20261204): LimitedFleet {
        val fleet = LimitedFleet(size, plain, seed)
        fleet.demandPerSecond = if (size > 16) 120.0 else 40.0
        fleet.run(5_000)
        fleet.replicas.zip(limits) { replica, limit -> fleet.announce(replica, limit) }
        return fleet
    }

    private fun LimitedFleet.assertWithinLimits() = assertEquals(emptyList(), violations())

    @Nested
    inner class Calm {
        // Guards against daemons that each apply an endpoint's limit on their own, or not at all.
        @ParameterizedTest
        @CsvSource(
            "7, false, 6",
            "7, false, 1.8",
            "7, true, 1",
            "7, true, 0.4",
            "95, false, 6",
            "95, true, 1.8",
            "95, false, 1",
            "95, true, 0.4",
        )
        fun `all daemons together keep to the limit of one endpoint`(size: Int, plain: Boolean, limit: Double) {
            val fleet = fleet(size, plain, listOf(limit, null, null))
            fleet.run(20_000)
            fleet.assertWithinLimits()
            val received = fleet.arrivalsIn(fleet.replicas.first(), 10_000)
            assertTrue(received >= limit * 10 * 0.6 - 1, "$received requests in 10 s at the limited endpoint")
            assertEquals(0, fleet.refusals.size, "other endpoints are free")
        }

        // Guards against callers that wait for an endpoint in need, and against retry times that say nothing.
        @ParameterizedTest
        @CsvSource("7, false, 3", "7, true, 0.4", "95, false, 1", "95, true, 8")
        fun `requests are refused at once while every endpoint is at its limit`(
            size: Int,
            plain: Boolean,
            limit: Double,
        ) {
            val fleet = fleet(size, plain, listOf(limit, limit, limit))
            fleet.run(10_000)
            fleet.refusals.clear()
            fleet.decisionMillis.clear()
            fleet.run(10_000)
            fleet.assertWithinLimits()
            val received = fleet.replicas.sumOf { fleet.arrivalsIn(it, 10_000) }
            assertTrue(received >= limit * 30 * 0.7, "$received requests in 10 s")
            assertTrue(fleet.decisionMillis.max() <= 150, "${fleet.decisionMillis.max()} ms until a decision")
            assertTrue(fleet.refusals.min() > 0, "a refusal without a time")
        }

        // Guards against unused permits while callers are refused, and against retry times that are not true.
        @ParameterizedTest
        @CsvSource("7, false, 3", "7, true, 3", "95, false, 6", "95, true, 6")
        fun `below the limit few callers are refused, and most that return are served`(
            size: Int,
            plain: Boolean,
            limit: Double,
        ) {
            val fleet = fleet(size, plain, listOf(limit, limit, limit))
            fleet.demandPerSecond = limit * 3 * 0.9
            fleet.run(3_000)
            fleet.refusals.clear()
            fleet.callersReturn = true
            fleet.run(20_000)
            val requests = fleet.demandPerSecond * 20 + fleet.returned
            assertTrue(fleet.refusals.size <= requests / 3, "${fleet.refusals.size} of $requests requests refused")
            assertTrue(
                fleet.refusedAgain <= fleet.returned / 2,
                "${fleet.refusedAgain} of ${fleet.returned} refused again",
            )
            fleet.assertWithinLimits()
        }

        // Guards against a limit that stays in force after the endpoint has recovered.
        @ParameterizedTest
        @CsvSource("7, false", "7, true", "95, false", "95, true")
        fun `an endpoint that announces no limit any more is used fully within seconds`(size: Int, plain: Boolean) {
            val fleet = fleet(size, plain, listOf(1.0, 1.0, 1.0))
            fleet.run(8_000)
            fleet.replicas.forEach { fleet.announce(it, null) }
            fleet.run(6_000)
            val before = fleet.refusals.size
            fleet.run(4_000)
            assertEquals(before, fleet.refusals.size, "requests refused more than 6 s after the end of the limits")
        }
    }

    @Nested
    inner class Faults {
        private fun play(size: Int, plain: Boolean, limit: Double, fault: LimitedFleet.() -> Unit) {
            val fleet = fleet(size, plain, listOf(limit, limit, null))
            fleet.run(7_000)
            fleet.fault()
            fleet.run(16_000)
            fleet.assertWithinLimits()
        }

        @ParameterizedTest
        @CsvSource("7, false, 1.8", "7, true, 0.4", "95, true, 1", "95, false, 6")
        fun `daemons that restart one after the other keep to the limit`(size: Int, plain: Boolean, limit: Double) =
            play(size, plain, limit) {
                for (name in names(0)) {
                    kill(name, downMillis = 1_200)
                    run(2_000L * 7 / size)
                }
            }

        @ParameterizedTest
        @CsvSource("7, false, 6", "7, true, 1", "95, true, 0.4", "95, false, 1.8")
        fun `a data centre whose daemons are lost for good hands its limits over`(
            size: Int,
            plain: Boolean,
            limit: Double,
        ) =
            play(size, plain, limit) { names(0).forEach { kill(it, downMillis = null) } }

        @ParameterizedTest
        @CsvSource("7, false, 6", "7, true, 1", "95, true, 0.4", "95, false, 1.8")
        fun `a data centre that is cut off and returns leaves the others within the limit`(
            size: Int,
            plain: Boolean,
            limit: Double,
        ) = play(size, plain, limit) { cut(0, 6_000) }

        @ParameterizedTest
        @CsvSource("7, false, 1", "7, true, 6", "95, true, 1.8", "95, false, 0.4")
        fun `daemons that freeze and continue leave the others within the limit`(
            size: Int,
            plain: Boolean,
            limit: Double,
        ) =
            play(size, plain, limit) { names(0).forEach { freeze(it, 3_500) } }

        // The two data centres may each grant permits of one endpoint.
        @ParameterizedTest
        @CsvSource("7, false, 1.8", "7, true, 0.4", "95, true, 6", "95, false, 1")
        fun `two data centres that do not reach each other keep to the limit`(
            size: Int,
            plain: Boolean,
            limit: Double,
        ) =
            play(size, plain, limit) { cutBetween(0, 1, 9_000) }

        // The granter hears daemons that do not hear it, and they choose another one.
        @ParameterizedTest
        @CsvSource("7, false, 6", "7, true, 1", "95, true, 1.8", "95, false, 0.4")
        fun `the limit holds while messages pass in one direction only`(size: Int, plain: Boolean, limit: Double) =
            play(size, plain, limit) { muteOneWay(0, 1, 9_000) }

        // Guards against limits that are exceeded only by overlapping faults. The seeds can be set for a longer run.
        @ParameterizedTest
        @CsvSource("7, false, 1.8", "7, true, 0.4", "7, false, 8", "95, true, 1")
        fun `the limit holds under overlapping faults`(size: Int, plain: Boolean, limit: Double) {
            val seeds = Integer.getInteger("limitSeeds", if (size > 16) 1 else 3)
            for (seed in 1..seeds) {
                val fleet = fleet(size, plain, listOf(limit, limit, null), seed)
                repeat(10) {
                    fleet.startRandomFault()
                    fleet.run(2_000)
                }
                fleet.run(6_000)
                assertEquals(emptyList(), fleet.violations(), "seed $seed")
            }
        }

        @ParameterizedTest
        @CsvSource("7, false, 6", "95, false, 1")
        fun `the limit holds while the store is away`(size: Int, plain: Boolean, limit: Double) =
            play(size, plain, limit) { stopStore(9_000) }

        @ParameterizedTest
        @CsvSource("7, true, 1.8", "7, false, 0.4", "95, true, 6", "95, false, 1")
        fun `the limit holds while messages between daemons are lost`(size: Int, plain: Boolean, limit: Double) =
            play(size, plain, limit) { lossRate = 0.3 }

        @ParameterizedTest
        @CsvSource("7, true, 1.8", "7, false, 1", "95, true, 0.4")
        fun `requests that are sent again elsewhere keep to the limit`(size: Int, plain: Boolean, limit: Double) =
            play(size, plain, limit) { replicas.forEach { it.turnsAway = true } }
    }
}
