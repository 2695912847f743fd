package io.camphordrum.core.duty

import org.junit.jupiter.api.Nested
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Brings about one failure in a fleet whose requests begin all the time, and compares the reports with the truth. */
class DutiesFleetTest {
    private val fleet = DutyFleet()

    /** Runs until the middle of a window in which there is a holder; returns this window. */
    private fun runIntoWindow(fleet: DutyFleet = this.fleet): Long {
        fleet.run(20_000)
        val window = fleet.currentWindow
        while (fleet.currentWindow == window) fleet.run(20)
        fleet.run(2_500)
        assertNotNull(fleet.holder)
        return fleet.currentWindow
    }

    @AfterTest
    fun `no two holders contradict each other`() = fleet.platform.assertOneHolder(DutyFleet.LEASE_MILLIS)

    @Nested
    inner class Undisturbed {
        @Test
        fun `every window is reported exactly and in time`() {
            val window = runIntoWindow()
            fleet.run(10_000)
            assertEquals(emptyList(), fleet.wrongWindows(window - 2..window))
            val latest = fleet.platform.calls.maxOf { it.nanos / 1_000_000 - (it.report!!.window + 1) * 5_000 }
            assertTrue(latest < 10_000, "$latest ms after the end of the window")
        }

        // Guards against counts that get lost or are added twice on their way through relays.
        @Test
        fun `counts of a fleet with relays are exact`() {
            val large = DutyFleet(24)
            val window = runIntoWindow(large)
            large.run(10_000)
            assertEquals(emptyList(), large.wrongWindows(window - 1..window))
            large.platform.assertOneHolder(DutyFleet.LEASE_MILLIS)
        }

        @Test
        fun `the store is written once a window`() {
            runIntoWindow()
            val before = fleet.reports.writes
            fleet.run(50_000)
            assertTrue(fleet.reports.writes - before <= 11, "${fleet.reports.writes - before} writes in 10 windows")
        }
    }

    @Nested
    inner class Holder {
        @Test
        fun `a holder that dies is replaced before a report is late`() {
            val window = runIntoWindow()
            val former = fleet.holder!!
            fleet.stopped += former
            fleet.run(20_000)
            assertNotEquals(former, fleet.holder)
            // What the holder counted in its last 0.7 s is lost with it.
            assertEquals(emptyList(), fleet.wrongWindows(window - 1..window + 1, tolerance = 0.05))
        }

        // Guards against a process that goes on with calls that it decided before it was suspended.
        @Test
        fun `a holder that freezes and thaws sends nothing between the calls of its successor`() {
            val window = runIntoWindow()
            val former = fleet.holder!!
            fleet.stopped += former
            fleet.run(14_000)
            fleet.stopped -= former
            fleet.run(14_000)
            val successor = fleet.holder
            assertNotEquals(former, successor)
            val sent = fleet.platform.calls.filter { it.report!!.window > window }.map { it.daemon }.toSet()
            assertEquals(setOf(successor), sent)
        }

        @Test
        fun `a holder that is cut off stops and its counts arrive after it returns`() {
            val window = runIntoWindow()
            val former = fleet.holder!!
            fleet.cutOff += former
            fleet.run(5_800)
            fleet.cutOff -= former
            fleet.run(14_000)
            assertEquals(emptyList(), fleet.wrongWindows(window..window + 1))
        }

        // Guards against a successor that waits for the lease of its own former process.
        @Test
        fun `a holder that restarts at once goes on with a higher token`() {
            runIntoWindow()
            val former = fleet.holder!!
            val token = fleet.platform.calls.last().token
            fleet.restart(former)
            fleet.run(12_000)
            assertEquals(former, fleet.holder)
            assertTrue(fleet.platform.calls.last().token > token)
        }
    }

    @Nested
    inner class Others {
        // Guards against counts that are added twice when their daemon comes back under the same name.
        @Test
        fun `a daemon that restarts keeps the counts of its former process`() {
            val window = runIntoWindow()
            fleet.restart(fleet.names.first { it != fleet.holder })
            fleet.run(15_000)
            assertEquals(emptyList(), fleet.wrongWindows(window..window, tolerance = 0.05))
        }

        @Test
        fun `counts of daemons that are cut off for six seconds are waited for`() {
            val window = runIntoWindow()
            val cut = fleet.names.filter { it != fleet.holder }.take(2)
            fleet.cutOff += cut
            fleet.run(5_800)
            fleet.cutOff -= cut.toSet()
            fleet.run(14_000)
            assertEquals(emptyList(), fleet.wrongWindows(window..window + 1))
        }

        @Test
        fun `a window is reported in time without the counts of a daemon that does not return`() {
            val window = runIntoWindow()
            fleet.stopped += fleet.names.first { it != fleet.holder }
            fleet.run(15_000)
            assertTrue(window in fleet.platform.reports)
            assertEquals(emptyList(), fleet.wrongWindows(window + 1..window + 1))
        }
    }

    @Nested
    inner class Store {
        @Test
        fun `reports that were due while the store was down are sent exactly afterwards`() {
            val window = runIntoWindow()
            fleet.storeAvailable = false
            fleet.run(4_500)
            fleet.storeAvailable = true
            fleet.run(14_000)
            assertEquals(emptyList(), fleet.wrongWindows(window..window + 1))
        }

        // Guards against another report of a window whose decision is missing in a store that was restored.
        @Test
        fun `a restored store leads to no second report of a window`() {
            runIntoWindow()
            val before = fleet.reports.stored
            fleet.run(10_000)
            fleet.reports.stored = before.copy(revision = before.revision!! + 100)
            val window = fleet.currentWindow
            fleet.run(20_000)
            assertEquals(emptyList(), fleet.wrongWindows(window - 1..window + 1))
        }

        // Guards against a second decision after a write that took effect although its answer was lost.
        @Test
        fun `a decision whose answer is lost is kept`() {
            val window = runIntoWindow()
            fleet.reports.losesNextAnswer = true
            fleet.run(14_000)
            assertEquals(emptyList(), fleet.wrongWindows(window..window))
        }
    }

    @Nested
    inner class Platform {
        // Guards against a repeat that is not the same as the call whose answer was lost.
        @Test
        fun `a lost answer leads to the same report`() {
            val window = runIntoWindow()
            var lost = 0
            fleet.platform.end = { if (lost++ < 2) DutyCallEnd.UNKNOWN else DutyCallEnd.ACCEPTED }
            fleet.run(10_000)
            assertEquals(3, fleet.platform.calls.count { it.report!!.window == window })
            assertEquals(emptyList(), fleet.wrongWindows(window..window))
        }

        // Guards against a second report of the new holder for a window that the former one has reported.
        @Test
        fun `a holder that dies after a call without an answer is repeated by its successor`() {
            val window = runIntoWindow()
            val former = fleet.holder!!
            fleet.platform.end = {
                if (it.daemon == former && it.report!!.window == window) {
                    fleet.stopped += former
                    DutyCallEnd.UNKNOWN
                } else {
                    DutyCallEnd.ACCEPTED
                }
            }
            fleet.run(20_000)
            val sent = fleet.platform.calls.filter { it.report!!.window == window }
            assertEquals(listOf(former, fleet.holder), sent.map { it.daemon }.distinct())
            assertEquals(emptyList(), fleet.wrongWindows(window..window))
        }

        @Test
        fun `refused calls are repeated with pauses`() {
            val window = runIntoWindow()
            val until = fleet.clock.nanos + 7_000_000_000
            fleet.platform.end = { if (it.nanos < until) DutyCallEnd.REFUSED else DutyCallEnd.ACCEPTED }
            fleet.run(14_000)
            assertTrue(window in fleet.platform.reports)
            assertTrue(fleet.platform.calls.count { !it.accepted } < 12)
        }
    }

    @Nested
    inner class Clock {
        @Test
        fun `a clock that steps back changes no report`() {
            val window = runIntoWindow()
            fleet.run(3_000)
            fleet.clock.stepMillis -= 4_000
            fleet.run(20_000)
            assertTrue(window in fleet.platform.reports)
        }
    }
}
