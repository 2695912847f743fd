package io.camphordrum.core.serving

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Runs two daemons of one data centre that share a store and an endpoint, and delivers their messages. */
class TwoDaemonsTest {
    private val clock = ManualClock()
    private val rights = FakeRightStore()
    private val one = ServingFixture("edge-a1", clock, rights)
    private val two = ServingFixture("edge-a2", clock, rights)
    private val both = listOf(one, two)
    private var connected = true

    private fun deliver() {
        repeat(4) {
            for ((from, to) in listOf(one to two, two to one)) {
                val messages = from.sent.toList()
                from.sent.clear()
                if (connected) for ((_, message) in messages) to.core.receive(clock.nanos, from.self.member, message)
            }
        }
    }

    private fun run(millis: Long, daemons: List<ServingFixture> = both) {
        repeat((millis / 20).toInt()) {
            clock.advance(20)
            daemons.forEach { it.core.tick(clock.nanos) }
            deliver()
        }
    }

    private fun start() {
        for (daemon in both) {
            daemon.core.configure(clock.nanos, daemon.config())
            daemon.core.replaceDaemons(both.map { it.self })
            daemon.core.replaceEndpoints(clock.nanos, listOf(daemon.engineRecord("i-1")), afterGap = false)
        }
        run(5_000)
    }

    private fun owner() = both.single { it.core.ownedCount == 1 }

    private fun other() = both.single { it.core.ownedCount == 0 }

    @Test
    fun `one of two daemons owns an endpoint`() {
        start()
        assertEquals(1, rights.writes)
        assertNotNull(owner())
    }

    @Test
    fun `a daemon gets an adapter and a turn from the owner`() {
        start()
        val requester = other()
        val work = requester.work("r1", "x")
        val placement = assertIs<Placement.AwaitAdapter>(requester.core.place(clock.nanos, work))
        var loaded: Boolean? = null
        requester.core.awaitAdapter(clock.nanos, work, placement.endpoint) { loaded = it }
        deliver()
        run(400)
        assertEquals(true, loaded)
        assertEquals(setOf("x"), owner().engine.held)
        val send = assertIs<Placement.Send>(requester.core.place(clock.nanos, work))
        var granted: Boolean? = null
        requester.core.awaitTurn(clock.nanos, work, send.endpoint) { granted = it }
        deliver()
        assertEquals(true, granted)
    }

    // Guards against an endpoint without an owner after its daemon has died, and against orders of two daemons.
    @Test
    fun `the endpoint of a dead daemon gets a new owner after the lease`() {
        start()
        val dead = owner()
        val successor = other()
        connected = false
        run(3_000, listOf(successor))
        assertEquals(1, successor.core.ownedCount)
        val before = dead.engine.orders.size
        run(7_000, listOf(successor))
        assertEquals(before, dead.engine.orders.size)
        val work = successor.work("r1", "y")
        val placement = assertIs<Placement.AwaitAdapter>(successor.core.place(clock.nanos, work))
        var loaded: Boolean? = null
        successor.core.awaitAdapter(clock.nanos, work, placement.endpoint) { loaded = it }
        run(800, listOf(successor))
        assertEquals(true, loaded)
        assertTrue(successor.engine.orders.all { it.token == 2L })
    }

    // Guards against engine time reserved for callers that disconnect while their request waits for its turn.
    @Test
    fun `a caller that disconnects while its request waits for a turn leaves the queue`() {
        start()
        val requester = other()
        for (daemon in both) {
            daemon.core.replaceEndpoints(clock.nanos, listOf(daemon.engineRecord("i-1", adapters = listOf("x"))), false)
        }
        val turns = HashMap<String, Boolean>()
        fun requestTurn(id: String, tokens: Int): () -> Unit {
            val work = requester.work(id, "x", tokens = tokens)
            return requester.core.awaitTurn(clock.nanos, work, EndpointId("i-1")) { turns[id] = it }.also { deliver() }
        }
        requestTurn("first", 1_600)
        val leave = requestTurn("leaves", 1_600)
        run(20)
        leave()
        deliver()
        requestTurn("next", 200)
        run(60)
        assertEquals(mapOf("first" to true, "next" to true), turns)
    }

    // Guards against excessive store reads: each load request at a new owner that waited for the lease made it read all
    // rights again at every tick, 7,112 store calls in a day.
    @Test
    fun `a new owner that waits for the lease does not read the rights for every request`() {
        start()
        val successor = other()
        connected = false
        run(3_500, listOf(successor))
        assertEquals(1, successor.core.ownedCount)
        val before = rights.lists
        repeat(100) {
            successor.core.awaitAdapter(clock.nanos, successor.work("r$it", "x$it"), EndpointId("i-1")) {}
            run(20, listOf(successor))
        }
        assertTrue(rights.lists - before <= 3, "${rights.lists - before} reads in 2 s")
    }

    // Guards against requests that wait 800 ms for a load that no daemon may order and are then refused.
    @Test
    fun `while no owner has a valid right a request for a new adapter is refused at once`() {
        start()
        rights.available = false
        run(3_500)
        for (daemon in both) {
            val placement = assertIs<Placement.Refuse>(daemon.core.place(clock.nanos, daemon.work("r", "x")))
            assertEquals(RefuseReason.NO_PLACE, placement.reason)
        }
        rights.available = true
        run(1_500)
        for (daemon in both) {
            assertIs<Placement.AwaitAdapter>(daemon.core.place(clock.nanos, daemon.work("r2", "x")))
        }
    }

    // Guards against requests that wait for an owner that cannot answer.
    @Test
    fun `without a reachable owner a request is sent to an endpoint that holds its adapter`() {
        start()
        val requester = other()
        val record = requester.engineRecord("i-1", adapters = listOf("x"))
        connected = false
        run(2_000, listOf(requester))
        requester.core.replaceEndpoints(clock.nanos, listOf(record), afterGap = false)
        val work = requester.work("r1", "x")
        val send = assertIs<Placement.Send>(requester.core.place(clock.nanos, work))
        var granted: Boolean? = null
        requester.core.awaitTurn(clock.nanos, work, send.endpoint) { granted = it }
        assertEquals(true, granted)
    }

    // Guards against rare adapters that are never served: with a load estimate of 400 ms against a target of 500 ms,
    // requests were refused under light load without any load request.
    @Test
    fun `a request whose adapter can be loaded within its target waits for it`() {
        start()
        val requester = other()
        for (daemon in both) daemon.core.putEndpoint(clock.nanos, daemon.engineRecord("i-1", dataCentre = "b"))
        val route = requester.drafts.copy(targetMillis = 500)
        val work = requester.work("r1", "rare", route = route, tokens = 1_000).copy(base = "m")
        assertIs<Placement.AwaitAdapter>(requester.core.place(clock.nanos, work))
    }

    // Guards against more requests in a second than a cold endpoint can handle: only its owner sees the total.
    @Test
    fun `an owner grants no more turns in a second than a cold endpoint can handle`() {
        start()
        for (daemon in both) {
            daemon.core.putEndpoint(clock.nanos, daemon.engineRecord("i-1", coldMillis = 5_000, adapters = listOf("x")))
        }
        var granted = 0
        for (daemon in both) {
            repeat(40) {
                val work = daemon.work("${daemon.name}-$it", "x", tokens = 1)
                daemon.core.awaitTurn(clock.nanos, work, EndpointId("i-1")) { if (it) granted++ }
            }
        }
        deliver()
        run(500)
        // The bound is the cold rate of the fixture's service, times coldFactor, plus coldSlack: 13 * 1.5 + 5 = 24.5.
        assertTrue(granted in 10..24, "$granted turns")
    }

    // Guards against requests that run on an older version of their adapter than the announced one.
    @Test
    fun `an endpoint with an older version of an adapter does not count as holding it`() {
        start()
        val daemon = other()
        daemon.core.replaceEndpoints(
            clock.nanos,
            listOf(daemon.engineRecord("i-2", adapters = listOf("x"))),
            afterGap = false,
        )
        assertIs<Placement.Send>(daemon.core.place(clock.nanos, daemon.work("r1", "x")))
        daemon.core.announceVersions(mapOf(("m" to "x") to 2))
        assertTrue(daemon.core.place(clock.nanos, daemon.work("r2", "x")) !is Placement.Send)
    }

    // Guards against requests that an endpoint turns away because its owner read an announcement first.
    @Test
    fun `a request expects the version that its endpoint holds if the announcement was not read yet`() {
        start()
        val daemon = other()
        daemon.core.announceVersions(mapOf(("m" to "x") to 1))
        val record = daemon.engineRecord("i-2").copy(held = listOf(HeldModel("m", mapOf("x" to 2))))
        daemon.core.replaceEndpoints(clock.nanos, listOf(record), afterGap = false)
        val send = assertIs<Placement.Send>(daemon.core.place(clock.nanos, daemon.work("r1", "x")))
        assertEquals(2, send.version)
    }

    @Test
    fun `the machine name of a daemon contains its instance and host`() {
        val daemon = RegisteredDaemon(Member(InstanceId("edge-a1"), 3), DataCentreId("a"), "10.0.0.1:7600")
        assertEquals("edge-a1@10.0.0.1", daemon.machine)
    }
}
