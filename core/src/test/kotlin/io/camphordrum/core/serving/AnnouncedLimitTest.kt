package io.camphordrum.core.serving

import io.camphordrum.core.EndpointId
import kotlin.test.Test
import kotlin.test.assertEquals

class AnnouncedLimitTest {
    private val fixture = ServingFixture()
    private val core = fixture.core
    private val now get() = fixture.clock.nanos
    private val id = EndpointId("d-1")

    private fun register(startedEpochMillis: Long = 1) =
        core.putEndpoint(now, fixture.plainRecord("d-1").copy(startedEpochMillis = startedEpochMillis))

    private fun answer(sentNanos: Long, perSecond: Double?) = core.recordAnnouncedLimit(now, id, sentNanos, perSecond)

    // Guards against a limit that is lost because an answer from before it was announced arrives after it.
    @Test
    fun `an answer to a request sent before the announcement does not lift the limit`() {
        register()
        val early = now
        fixture.run(500)
        answer(now, 2.0)
        answer(early, null)
        assertEquals(1, core.limitedEndpointCount)
    }

    @Test
    fun `an answer to a later request without an announcement lifts the limit`() {
        register()
        answer(now, 2.0)
        fixture.run(20)
        answer(now, null)
        assertEquals(0, core.limitedEndpointCount)
    }

    @Test
    fun `a restart of the endpoint lifts its limit`() {
        register()
        answer(now, 2.0)
        register(startedEpochMillis = 2)
        assertEquals(0, core.limitedEndpointCount)
    }
}
