package io.camphordrum.core.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Tests [AdapterManager] through a [ServingCore]. */
class AdapterKeeperTest {
    private val fixture = ServingFixture()
    private val core = fixture.core

    private fun start() {
        core.configure(fixture.clock.nanos, fixture.config())
        core.replaceDaemons(listOf(fixture.self))
        core.replaceEndpoints(fixture.clock.nanos, listOf(fixture.engineRecord("i-1")), afterGap = false)
        fixture.run(4_000)
    }

    private fun requestLoad(adapter: String): () -> Boolean? {
        var loaded: Boolean? = null
        val work = fixture.work("r-$adapter", adapter)
        val placement = core.place(fixture.clock.nanos, work)
        assertIs<Placement.AwaitAdapter>(placement)
        core.awaitAdapter(fixture.clock.nanos, work, placement.endpoint) { loaded = it }
        return { loaded }
    }

    @Test
    fun `an adapter that is not held is loaded and then served`() {
        start()
        val loaded = requestLoad("x")
        fixture.run(400)
        assertEquals(true, loaded())
        assertIs<Placement.Send>(core.place(fixture.clock.nanos, fixture.work("r2", "x")))
    }

    // Guards against a wait of 400 ms for a report: the engine accepts an order that is repeated while in progress, but
    // does not count it.
    @Test
    fun `a load order repeated while in progress does not count as an accepted order`() {
        start()
        requestLoad("x")
        fixture.run(400)
        requestLoad("y")
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
        val first = requestLoad("x")
        val second = requestLoad("x")
        fixture.run(400)
        assertEquals(listOf(true, true), listOf(first(), second()))
        assertEquals(1, fixture.engine.accepted)
    }

    // Guards against orders to hold more adapters than an engine has slots, which crash the engine.
    @Test
    fun `slots are never exceeded`() {
        start()
        for (adapter in listOf("p", "q", "r", "s", "t", "u")) {
            requestLoad(adapter)
            fixture.run(700)
        }
        assertEquals(3, fixture.engine.maxUsedSlots)
        assertTrue("u" in fixture.engine.held)
    }

    // Guards against unloads of adapters that running requests use.
    @Test
    fun `an adapter in use is not unloaded for another`() {
        start()
        for (adapter in listOf("p", "q", "r")) {
            requestLoad(adapter)
            fixture.run(500)
            val work = fixture.work("run-$adapter", adapter)
            core.recordSend(
                fixture.clock.nanos,
                work,
                (core.place(fixture.clock.nanos, work) as Placement.Send).endpoint,
            )
        }
        val loaded = requestLoad("s")
        fixture.run(900)
        assertEquals(false, loaded())
        assertEquals(setOf("p", "q", "r"), fixture.engine.held)
    }

    // Guards against report reads without a pause: the report named another start than the registration, so each one
    // was discarded and requested again, up to 400 times a second.
    @Test
    fun `a report of another start than the registered one is not requested without pause`() {
        core.configure(fixture.clock.nanos, fixture.config())
        core.replaceDaemons(listOf(fixture.self))
        core.replaceEndpoints(fixture.clock.nanos, listOf(fixture.engineRecord("i-1")), afterGap = false)
        fixture.engine.startedEpochMillis = 2
        fixture.run(4_000)
        assertTrue(fixture.engine.reports <= 10, "${fixture.engine.reports} reports")
        val loaded = requestLoad("x")
        fixture.run(400)
        assertEquals(true, loaded())
    }

    // Guards against the same rate of report reads while an engine loads its base model for seconds.
    @Test
    fun `an engine that loads its base model is polled three times a second`() {
        fixture.engine.busy = true
        fixture.engine.base = null
        start()
        val before = fixture.engine.reports
        fixture.run(2_000)
        assertTrue(fixture.engine.reports - before <= 7, "${fixture.engine.reports - before} reports")
    }

    // Guards against loads beyond the rate of the weight store when many engines restart empty at once.
    @Test
    fun `engines that restart empty together load their base models at the weight store's rate`() {
        core.configure(fixture.clock.nanos, fixture.config(loadsPerSecond = 0.5))
        core.replaceDaemons(listOf(fixture.self))
        fixture.engine.base = null
        fixture.engine.executesBaseLoads = false
        val records = (1..8).map { fixture.engineRecord("i-$it", empty = true) }
        core.replaceEndpoints(fixture.clock.nanos, records, afterGap = false)
        fixture.run(7_500)
        val loads = fixture.engine.orders.count { it.adapter == null }
        assertEquals(2, loads)
    }

    // Guards against refusals for lack of an owner in the 400 ms after an unanswered order, in which the owner only
    // waits for a report that shows the result of the order.
    @Test
    fun `an owner that waits for a report still accepts load requests`() {
        start()
        fixture.engine.silent = true
        requestLoad("x")
        fixture.run(20)
        fixture.engine.silent = false
        val loaded = requestLoad("y")
        fixture.run(800)
        assertEquals(true, loaded())
    }

    // Guards against late orders: an engine may carry an unanswered order out seconds later.
    @Test
    fun `an unanswered order is followed by a report and never by another order`() {
        start()
        fixture.engine.silent = true
        val loaded = requestLoad("x")
        fixture.run(1_000)
        fixture.engine.silent = false
        fixture.run(1_000)
        assertEquals(false, loaded())
        assertTrue(fixture.engine.orders.all { it.expected == 0L })
    }
}
