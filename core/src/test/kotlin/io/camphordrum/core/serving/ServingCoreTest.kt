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

        // Guards against stale reads of the store: the current configuration never goes back to an older version.
        @Test
        fun `an older version is ignored`() {
            assertTrue(core.configure(now, fixture.config(version = 5)))
            assertFalse(core.configure(now, fixture.config(version = 4)))
            assertEquals(5, core.config?.version)
        }
    }

    @Nested
    inner class Endpoints {
        private fun serve(vararg records: EndpointRecord) {
            core.configure(now, fixture.config())
            core.replaceEndpoints(now, records.toList(), afterGap = false)
        }

        private fun place() = core.place(now, fixture.work("r", route = fixture.records))

        @Test
        fun `a draining endpoint gets no requests`() {
            serve(fixture.plainRecord("d-1", draining = true), fixture.plainRecord("d-2"))
            repeat(20) { assertEquals("d-2", target(place())) }
        }

        @Test
        fun `a closed data centre gets no requests until it is open again`() {
            serve(fixture.plainRecord("d-1", dataCentre = "a"), fixture.plainRecord("d-2", dataCentre = "b"))
            assertEquals("d-1", target(place()))
            core.closeDataCentres(setOf(DataCentreId("a")))
            assertEquals("d-2", target(place()))
            core.closeDataCentres(emptySet())
            assertEquals("d-1", target(place()))
        }

        @Test
        fun `without endpoints a request is refused at once with a retry time`() {
            serve()
            val refusal = assertIs<Placement.Refuse>(place())
            assertEquals(RefuseReason.NO_ENDPOINT, refusal.reason)
            assertTrue(refusal.retryMillis > 0)
        }

        @Test
        fun `an endpoint whose record is removed is removed at once`() {
            serve(fixture.plainRecord("d-1"))
            core.removeEndpoint(EndpointId("d-1"))
            assertIs<Placement.Refuse>(place())
        }

        // Guards against removing live endpoints whose records expired while the store was unreachable.
        @Test
        fun `an endpoint whose record is missing after a store outage is kept for two more seconds`() {
            serve(fixture.plainRecord("d-1"))
            core.replaceEndpoints(now, emptyList(), afterGap = true)
            fixture.run(1_900)
            assertEquals("d-1", target(place()))
            fixture.run(300)
            assertIs<Placement.Refuse>(place())
        }

        // Guards against requests to endpoints that left while only the answers about endpoints were lost.
        @Test
        fun `an endpoint whose record is missing is removed if the store has been reachable for two seconds`() {
            serve(fixture.plainRecord("d-1"))
            fixture.run(5_000)
            core.replaceEndpoints(now, emptyList(), afterGap = true, reachableSinceNanos = now - 2_100_000_000)
            assertIs<Placement.Refuse>(place())
        }

        @Test
        fun `an endpoint that does not answer is avoided for a while and then retried`() {
            serve(fixture.plainRecord("d-1"), fixture.plainRecord("d-2", dataCentre = "b"))
            core.recordRunEnd(now, fixture.work("r", route = fixture.records), EndpointId("d-1"), RunEnd.SILENT)
            assertEquals("d-2", target(place()))
            fixture.run(20_000)
            assertEquals("d-1", target(place()))
        }

        // Guards against connections that an endpoint resets because all daemons together exceed its limit.
        @Test
        fun `an endpoint gets no more requests at once than its connections allow`() {
            core.configure(now, fixture.config(version = 2, connectionLimit = 2))
            core.replaceEndpoints(now, listOf(fixture.engineRecord("i-1", adapters = listOf("x"))), afterGap = false)
            repeat(2) {
                val work = fixture.work("r$it", "x", tokens = 10)
                val placement = assertIs<Placement.Send>(core.place(now, work))
                core.recordSend(now, work, placement.endpoint)
            }
            assertIs<Placement.Refuse>(core.place(now, fixture.work("r3", "x", tokens = 10)))
        }

        // Guards against requests to a cold endpoint that exceed the fleet's bound, summed over all daemons.
        @Test
        fun `a cold endpoint gets an even part of the fleet's bound in a second`() {
            core.configure(now, fixture.config())
            core.replaceEndpoints(now, listOf(fixture.engineRecord("i-1", coldMillis = 3_000)), afterGap = false)
            var sends = 0
            repeat(100) {
                val work = fixture.work("r$it", tokens = 10)
                val placement = core.place(now, work)
                if (placement is Placement.Send) {
                    sends++
                    core.recordSend(now, work, placement.endpoint)
                }
            }
            assertTrue(sends <= 13 * 1.5 + 5, "$sends sends")
        }
    }

    @Nested
    inner class Budgets {
        // Guards against retries of many daemons that together exceed the fleet's budget.
        @Test
        fun `the retries of a daemon stay within its part of the budget`() {
            core.configure(now, fixture.config())
            var retries = 0
            repeat(100) {
                core.recordRequest(now, "desk")
                if (core.tryAcquireRetry(now, "desk")) retries++
            }
            assertTrue(retries <= 0.2 * 100 + 50, "$retries retries")
            assertTrue(retries >= 50)
        }
    }
}
