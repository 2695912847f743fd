package io.camphordrum.core.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class AdapterKeeperTest {
    private val fixture = ServingFixture()
    private val core = fixture.core

    private fun start() {
        core.configure(fixture.clock.nanos, fixture.config())
        core.daemons(listOf(fixture.self))
        core.endpoints(fixture.clock.nanos, listOf(fixture.engineRecord("i-1")), afterGap = false)
        fixture.run(4_000)
    }

    private fun load(adapter: String): () -> Boolean? {
        var loaded: Boolean? = null
        val work = fixture.work("r-$adapter", adapter)
        val placement = core.place(fixture.clock.nanos, work)
        assertIs<Placement.AwaitAdapter>(placement)
        core.await(fixture.clock.nanos, work, placement.endpoint) { loaded = it }
        return { loaded }
    }

    @Test
    fun `an adapter that is not held is ordered and then served`() {
        start()
        val loaded = load("x")
        fixture.run(400)
        assertEquals(true, loaded())
        assertIs<Placement.Send>(core.place(fixture.clock.nanos, fixture.work("r2", "x")))
    }

    // Guards against the wait of 400 ms seen on the first quiet day: an order repeated while it is carried out is
    // accepted again but not counted by the engine.
    @Test
    fun `asking again while an adapter is under way does not count as an order`() {
        start()
        load("x")
        fixture.run(400)
        load("y")
        fixture.run(400)
        assertEquals(2, fixture.engine.accepted)
        assertTrue(
            fixture.engine.orders.groupBy { it.adapter }.getValue("y").all {
                it.expected == 1L ||
                    it.expected == 2L
            },
        )
        assertTrue("y" in fixture.engine.held)
    }

    @Test
    fun `requests that wait for one adapter share one load`() {
        start()
        val first = load("x")
        val second = load("x")
        fixture.run(400)
        assertEquals(listOf(true, true), listOf(first(), second()))
        assertEquals(1, fixture.engine.accepted)
    }

    // Guards against an engine that is ordered to hold more adapters than it has places, and crashes.
    @Test
    fun `places are never exceeded`() {
        start()
        for (adapter in listOf("p", "q", "r", "s", "t", "u")) {
            load(adapter)
            fixture.run(700)
        }
        assertEquals(3, fixture.engine.mostPlaces)
        assertTrue("u" in fixture.engine.held)
    }

    // Guards against dropping what requests run on while they run.
    @Test
    fun `an adapter in use is not dropped for another`() {
        start()
        for (adapter in listOf("p", "q", "r")) {
            load(adapter)
            fixture.run(500)
            val work = fixture.work("run-$adapter", adapter)
            core.sent(fixture.clock.nanos, work, (core.place(fixture.clock.nanos, work) as Placement.Send).endpoint)
        }
        val loaded = load("s")
        fixture.run(900)
        assertEquals(false, loaded())
        assertEquals(setOf("p", "q", "r"), fixture.engine.held)
    }

    // Guards against late orders: an engine that leaves an order unanswered may carry it out seconds later.
    @Test
    fun `an order without an answer is followed by a report, never by a guess`() {
        start()
        fixture.engine.silent = true
        val loaded = load("x")
        fixture.run(1_000)
        fixture.engine.silent = false
        fixture.run(1_000)
        assertEquals(false, loaded())
        assertTrue(fixture.engine.orders.all { it.expected == 0L })
    }
}
