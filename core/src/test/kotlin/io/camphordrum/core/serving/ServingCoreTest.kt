package io.camphordrum.core.serving

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ServingCoreTest {
    private val fixture = ServingFixture()
    private val core = fixture.core
    private val now get() = fixture.clock.nanos

    private fun target(placement: Placement) = assertIs<Placement.Send>(placement).endpoint.name

    @Nested
    inner class Configurations {
        @Test
        fun `the longest prefix of a host wins`() {
            val short = fixture.drafts.copy(name = "short", pathPrefix = "/")
            val config = fixture.config(routes = listOf(short, fixture.drafts))
            assertEquals("drafts", config.route("Reports.example", "/drafts/1")?.name)
            assertEquals("short", config.route("reports.example", "/draftsman")?.name)
            assertNull(config.route("other.example", "/drafts/1"))
        }

        // Guards against a store that answers with an older copy: what is in force never goes back.
        @Test
        fun `an older version changes nothing`() {
            assertTrue(core.configure(now, fixture.config(version = 5)))
            assertFalse(core.configure(now, fixture.config(version = 4)))
            assertEquals(5, core.config?.version)
        }
    }

    @Nested
    inner class Endpoints {
        private fun serve(vararg records: EndpointRecord) {
            core.configure(now, fixture.config())
            core.endpoints(now, records.toList(), afterGap = false)
        }

        private fun place() = core.place(now, fixture.work("r", route = fixture.records))

        @Test
        fun `a draining endpoint gets nothing`() {
            serve(fixture.deskRecord("d-1", draining = true), fixture.deskRecord("d-2"))
            repeat(20) { assertEquals("d-2", target(place())) }
        }

        @Test
        fun `a closed data centre gets nothing until it is open again`() {
            serve(fixture.deskRecord("d-1", zone = "a"), fixture.deskRecord("d-2", zone = "b"))
            assertEquals("d-1", target(place()))
            core.close(setOf(DataCentreId("a")))
            assertEquals("d-2", target(place()))
            core.close(emptySet())
            assertEquals("d-1", target(place()))
        }

        @Test
        fun `without endpoints a request is refused at once with a time to come back`() {
            serve()
            val refusal = assertIs<Placement.Refuse>(place())
            assertEquals(RefuseReason.NO_ENDPOINT, refusal.reason)
            assertTrue(refusal.retryMillis > 0)
        }

        @Test
        fun `a record that vanishes is gone at once`() {
            serve(fixture.deskRecord("d-1"))
            core.endpointGone(EndpointId("d-1"))
            assertIs<Placement.Refuse>(place())
        }

        // Guards against dropping live endpoints whose records lapsed while the store was away.
        @Test
        fun `a record missing after an outage of the store counts for two seconds more`() {
            serve(fixture.deskRecord("d-1"))
            core.endpoints(now, emptyList(), afterGap = true)
            fixture.run(1_900)
            assertEquals("d-1", target(place()))
            fixture.run(300)
            assertIs<Placement.Refuse>(place())
        }

        @Test
        fun `an endpoint that does not answer is left alone for a while and then tried again`() {
            serve(fixture.deskRecord("d-1"), fixture.deskRecord("d-2", zone = "b"))
            core.ended(now, fixture.work("r", route = fixture.records), EndpointId("d-1"), RunEnd.SILENT)
            assertEquals("d-2", target(place()))
            fixture.run(20_000)
            assertEquals("d-1", target(place()))
        }

        // Guards against more requests to a cold endpoint than the fleet's bound, summed over all daemons.
        // Guards against connections that an endpoint resets because all daemons together opened more than it bears.
        @Test
        fun `an endpoint gets no more requests at once than its connections allow`() {
            core.configure(now, fixture.config(version = 2, connectionLimit = 2))
            core.endpoints(now, listOf(fixture.engineRecord("i-1", adapters = listOf("x"))), afterGap = false)
            repeat(2) {
                val work = fixture.work("r$it", "x", tokens = 10)
                val placement = assertIs<Placement.Send>(core.place(now, work))
                core.sent(now, work, placement.endpoint)
            }
            assertIs<Placement.Refuse>(core.place(now, fixture.work("r3", "x", tokens = 10)))
        }

        @Test
        fun `a cold endpoint gets an even part of the fleet's bound in a second`() {
            core.configure(now, fixture.config())
            core.endpoints(now, listOf(fixture.engineRecord("i-1", coldMillis = 3_000)), afterGap = false)
            var sends = 0
            repeat(100) {
                val work = fixture.work("r$it", tokens = 10)
                val placement = core.place(now, work)
                if (placement is Placement.Send) {
                    sends++
                    core.sent(now, work, placement.endpoint)
                }
            }
            assertTrue(sends <= 13 * 1.5 + 5, "$sends sends")
        }
    }

    @Nested
    inner class Budgets {
        // Guards against retries of many daemons that add up over the fleet's budget.
        @Test
        fun `second sends of a daemon stay within its part`() {
            core.configure(now, fixture.config())
            var repeats = 0
            repeat(100) {
                core.asked(now, "desk")
                if (core.mayRepeat(now, "desk")) repeats++
            }
            assertTrue(repeats <= 0.2 * 100 + 50, "$repeats repeats")
            assertTrue(repeats >= 50)
        }
    }
}
