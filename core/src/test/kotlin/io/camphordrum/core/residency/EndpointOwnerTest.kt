package io.camphordrum.core.residency

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class EndpointOwnerTest {
    @Nested
    inner class Ticket {
        // Guards against a second ticket for a request whose answer was lost.
        @Test fun `a repeated request receives the same ticket`() {
            val fixture = OwnerFixture().apply { report("a") }
            val first = fixture.requestTicket(id = 5).grants().single()
            assertEquals(first.ticket, fixture.requestTicket(id = 5).grants().single().ticket)
        }

        // Guards against evicting an adapter that the endpoint still uses for a request whose holder was lost.
        @Test fun `a lost ticket is kept until a report newer than its expiry shows the adapter idle`() {
            val fixture = OwnerFixture().apply { report("a") }
            fixture.requestTicket(deadlineMillis = 5_000)
            fixture.advance(5_500)
            fixture.report("a", busy = null, sampledNanos = fixture.now - 1)
            assertEquals(1, fixture.owner.ticketCount, "a report from before the expiry releases nothing")
            fixture.advance(2_000)
            fixture.report("a", running = 1, busy = setOf("a"))
            assertEquals(1, fixture.owner.ticketCount, "the adapter is busy")
            fixture.advance(100)
            fixture.report("a")
            assertEquals(0, fixture.owner.ticketCount)
        }

        // Guards against concurrency that stays occupied for a minute after the holder has failed.
        @Test fun `a lost ticket is released when the endpoint shows its adapter idle after the dispatch timeout`() {
            val fixture = OwnerFixture().apply { report("a") }
            fixture.requestTicket(deadlineMillis = 60_000)
            val dispatchTimeoutMillis = fixture.settings.dispatchTimeoutNanos / MS
            fixture.advance(dispatchTimeoutMillis)
            fixture.report("a")
            assertEquals(1, fixture.owner.ticketCount, "the request can still be in transit")
            fixture.advance(1_001)
            fixture.report("a", running = 1, busy = setOf("a"))
            assertEquals(1, fixture.owner.ticketCount, "the adapter is busy")
            fixture.report(
                "a",
                running = 1,
                busy = setOf("b"),
                sampledNanos =
                fixture.now + fixture.settings.reportLagNanos + 1,
            )
            assertEquals(0, fixture.owner.ticketCount)
        }

        // Guards against equal ticket numbers of different owners.
        @Test fun `ticket numbers of different generations differ`() {
            val fixture = OwnerFixture().apply { report("a") }
            val first = fixture.requestTicket().grants().single()
            fixture.owner.updateGeneration(fixture.now, 8, setOf(OwnerFixture.DAEMON))
            val second = fixture.finish(first) + fixture.requestTicket()
            assertEquals(listOf(7L, 8L), listOf(first.ticket shr 32, second.grants().single().ticket shr 32))
        }

        // Guards against a ticket that is valid for longer at the holder than at the owner.
        @Test fun `a grant's validity is counted from the arrival of the request`() {
            val fixture = OwnerFixture()
            val arrived = fixture.now
            fixture.requestTicket()
            fixture.advance(400)
            val grant = fixture.report("a").grants().single()
            assertEquals(grant.expiresNanos, arrived + grant.validNanos)
        }
    }

    @Nested
    inner class Refusal {
        // Guards against queueing a request that cannot finish before its deadline.
        @Test fun `a request that cannot finish before its deadline is denied at once`() {
            val fixture = OwnerFixture().apply { report("a") }
            val grant = fixture.requestTicket().grants().single()
            repeat(4) { fixture.requestTicket() }
            val denial = fixture.requestTicket(deadlineMillis = 500).denials().single()
            assertEquals(DenyReason.DEADLINE, denial.reason)
            assertTrue(denial.retryAfterNanos > 0)
            fixture.clock.advance(300 * MS)
            fixture.finish(grant)
            fixture.requestTicket(deadlineMillis = 20_000, id = 99)
            val expired = fixture.advance(19_800).denials()
            assertTrue(expired.any { it.request == 99L && it.reason == DenyReason.DEADLINE })
        }

        // Guards against requests that are queued at a busy endpoint while another candidate is free.
        @Test fun `a request with a maximum wait is denied with the expected wait when that is longer`() {
            val fixture = OwnerFixture().apply { report("a") }
            fixture.requestTicket()
            val denial = fixture.requestTicket(maxWaitNanos = 100 * MS).denials().single()
            assertEquals(DenyReason.WAIT_TOO_LONG, denial.reason)
            assertTrue(denial.waitNanos > 100 * MS)
        }

        // Guards against grants and orders by an owner that may have been replaced.
        @Test fun `nothing is granted or ordered without a valid lease`() {
            val fixture = OwnerFixture().apply { report("a") }
            fixture.requestTicket("b")
            fixture.leaseValid = false
            val effects = fixture.advance(100) + fixture.requestTicket("a")
            assertEquals(listOf(DenyReason.NO_LEASE, DenyReason.NO_LEASE), effects.denials().map { it.reason })
            assertEquals(2, effects.size)
        }

        // Guards against new requests on a leaving endpoint and against the interruption of running requests.
        @Test fun `a leaving endpoint denies queued requests and completes running ones`() {
            val fixture = OwnerFixture().apply { report("a") }
            val running = fixture.requestTicket().grants().single()
            fixture.requestTicket()
            val denied = fixture.owner.leave(fixture.now) + fixture.requestTicket()
            assertEquals(listOf(DenyReason.LEAVING, DenyReason.LEAVING), denied.denials().map { it.reason })
            assertTrue(!fixture.owner.idle)
            fixture.finish(running)
            assertTrue(fixture.owner.idle)
        }

        // Guards against an unbounded queue and against one account that fills the queue for all others.
        @Test fun `a full queue displaces the newest request of the account that fills it`() {
            val fixture = OwnerFixture(OwnerSettings(queueLimit = 8)).apply { report("a") }
            repeat(9) { fixture.requestTicket(account = "large") }
            assertEquals(DenyReason.QUEUE_FULL, fixture.requestTicket(account = "large").denials().single().reason)
            val effects = fixture.requestTicket(account = "small", id = 77)
            assertEquals(listOf(DenyReason.QUEUE_FULL), effects.denials().map { it.reason })
            assertNotEquals(77, effects.denials().single().request)
            assertEquals(8, fixture.owner.waiting)
        }
    }

    @Nested
    inner class Load {
        // Guards against loads above the load budget of the weight store, and against evictions for loads that it does
        // not allow.
        @Test fun `without a unit of the load budget nothing is loaded or evicted`() {
            val fixture = OwnerFixture().apply { report("a", slots = 1) }
            fixture.remainingLoadUnits = 0
            assertEquals(emptyList(), fixture.requestTicket("b").orders() + fixture.advance(5_000).orders())
            fixture.remainingLoadUnits = 1
            assertEquals(listOf("a"), fixture.advance(100).evictions())
        }

        // Guards against endless retries of a broken adapter and against denials after a single failure.
        @Test fun `a failed load is retried with backoff and its requests are then denied as not run`() {
            val fixture = OwnerFixture().apply { report() }
            var effects = fixture.requestTicket("bad")
            val pauses = ArrayList<Int>()
            repeat(fixture.settings.loadAttempts) {
                assertEquals(listOf("bad"), effects.loads())
                effects = fixture.closeOrders(effects, OrderOutcome.FAILED)
                var ticks = 0
                while (effects.loads().isEmpty() && effects.denials().isEmpty()) {
                    effects = fixture.advance(100)
                    ticks++
                }
                pauses += ticks
            }
            assertEquals(listOf(5, 10, 1), pauses)
            assertEquals(DenyReason.LOAD_FAILED, effects.denials().single().reason)
            assertEquals(DenyReason.LOAD_FAILED, fixture.requestTicket("bad").denials().single().reason)
        }

        // Guards against an order with an unknown outcome that takes effect after the owner has stopped tracking it.
        @Test fun `an adapter with an unconfirmed eviction gets no ticket until a report after the order expired`() {
            val fixture = OwnerFixture().apply { report("a", slots = 1) }
            fixture.advance(3_000)
            val eviction = fixture.requestTicket("b")
            assertEquals(listOf("a"), eviction.evictions())
            fixture.closeOrders(eviction, OrderOutcome.UNKNOWN)
            fixture.advance(1_000)
            assertEquals(emptyList(), fixture.report("a", slots = 1).grants() + fixture.requestTicket("a").grants())
            fixture.advance(5_000)
            assertEquals(1, fixture.report("a", slots = 1).grants().size)
        }

        // Guards against evicting an adapter that a daemon uses without a ticket.
        @Test fun `an adapter that the report shows busy without a ticket is not evicted`() {
            val fixture = OwnerFixture().apply { report("a", slots = 1) }
            fixture.advance(3_000)
            fixture.report("a", slots = 1, running = 1, busy = setOf("a"))
            assertEquals(emptyList(), fixture.requestTicket("b").orders())
            fixture.advance(100)
            assertEquals(listOf("a"), fixture.report("a", slots = 1).evictions())
        }

        // Guards against queueing the adapter of a small account behind the many adapters of a large account.
        @Test fun `the account with the fewest weighted loads is served first`() {
            val fixture = OwnerFixture(OwnerSettings(loadsInFlight = 1)).apply { report(slots = 8) }
            var effects = fixture.requestTicket("large0", account = "large", tokens = 5_000)
            repeat(5) { fixture.requestTicket("large${it + 1}", account = "large", tokens = 5_000) }
            fixture.advance(10)
            fixture.requestTicket("small", account = "small", tokens = 10)
            effects = fixture.closeOrders(effects)
            assertEquals(listOf("small"), effects.loads())
        }

        // Guards against evicting a recently loaded adapter when popularity alternates.
        @Test fun `alternating popularity causes no thrashing`() {
            val settings = OwnerSettings(loadsInFlight = 1)
            val fixture = OwnerFixture(settings).apply { report(slots = 2) }
            val loadedAtNanos = HashMap<String, Long>()
            var loads = 0
            repeat(400) { step ->
                val group = if (step / 4 % 2 == 0) "x" else "y"
                var effects = fixture.advance(100) + fixture.requestTicket("$group${step % 2}", deadlineMillis = 2_500)
                while (effects.isNotEmpty()) {
                    val orders = effects.orders()
                    for (order in orders.filter { it.kind == OrderKind.EVICT }) {
                        val ageNanos = fixture.now - loadedAtNanos.getValue(order.version.adapter)
                        assertTrue(ageNanos >= settings.minResidenceNanos, "evicted after ${ageNanos / MS} ms")
                    }
                    effects.loads().forEach { loadedAtNanos[it] = fixture.now }
                    loads += effects.loads().size
                    effects = fixture.closeOrders(orders) + effects.grants().flatMap { fixture.finish(it) }
                }
            }
            // In 40 s each of the two slots may change once per minimum residence time of 2 s.
            assertTrue(loads in 4..42, "$loads loads")
        }
    }

    @Nested
    inner class SlowStart {
        private fun warmFixture() = OwnerFixture().apply {
            report("a")
            warmUp("a")
        }

        // Guards against full concurrency at an endpoint that restarted without notice.
        @Test fun `a new incarnation resets the concurrency limit to one`() {
            val fixture = warmFixture()
            assertEquals(fixture.settings.maxConcurrency, fixture.owner.concurrencyLimit)
            fixture.advance(100)
            fixture.report("a", incarnation = 2)
            assertEquals(1, fixture.owner.concurrencyLimit)
        }

        // Guards against a restart that is visible only in the loss of all adapters.
        @Test fun `a report without resident adapters resets the concurrency limit to one`() {
            val fixture = warmFixture()
            fixture.advance(100)
            fixture.report()
            assertEquals(1, fixture.owner.concurrencyLimit)
        }

        // Guards against increases without completed requests: a cold endpoint runs at most one more than it has
        // completed.
        @Test fun `the concurrency limit of a cold endpoint grows with completed requests`() {
            val fixture = OwnerFixture().apply { report("a") }
            val running = ArrayDeque(List(40) { fixture.requestTicket() }.flatten().grants())
            assertEquals(1, running.size)
            for (completed in 1..10) {
                running += fixture.finish(running.removeFirst()).grants()
                assertEquals(completed + 1, running.size)
            }
        }

        // Guards against overloading a failing endpoint, and against several decreases for one event.
        @Test fun `an error or a late first token halves the concurrency limit once`() {
            val fixture = warmFixture()
            val maxConcurrency = fixture.settings.maxConcurrency
            val running = ArrayDeque(List(maxConcurrency) { fixture.requestTicket() }.flatten().grants())
            fixture.advance(10)
            repeat(3) { fixture.finish(running.removeFirst(), TicketOutcome.FAILED) }
            assertEquals(maxConcurrency / 2, fixture.owner.concurrencyLimit)
            running.forEach { fixture.finish(it) }
            fixture.advance(10)
            val slowGrant = fixture.requestTicket().grants().single()
            fixture.finish(slowGrant, firstTokenNanos = fixture.settings.highLatencyNanos + 1)
            assertEquals(maxConcurrency / 4, fixture.owner.concurrencyLimit)
        }

        // Guards against overloading an endpoint that still runs requests of a previous owner.
        @Test fun `requests without a known ticket count towards the concurrency`() {
            val fixture = OwnerFixture().apply { report("a", running = 3) }
            assertEquals(3, fixture.owner.concurrencyLimit)
            assertEquals(emptyList(), fixture.requestTicket().grants())
        }
    }

    @Nested
    inner class Takeover {
        // Guards against an order of the previous owner that takes effect while tickets of the new owner are in use.
        @Test fun `grants at an endpoint without fencing start after the old lease and order timeout`() {
            val fixture = OwnerFixture(fenced = false, firstOwner = false).apply { report("a") }
            fixture.requestTicket("a")
            fixture.requestTicket("b")
            val settings = fixture.settings
            val takeoverMillis = (settings.previousLeaseNanos + settings.orderTimeoutNanos) / MS
            assertEquals(emptyList(), fixture.advance(takeoverMillis - 1))
            val effects = fixture.advance(1)
            assertEquals(listOf("b"), effects.loads())
            assertEquals(1, effects.grants().size)
        }

        // Guards against the same on an endpoint that rejects old fencing tokens, without the long wait.
        @Test fun `grants at a fenced endpoint start after the first order with the new number`() {
            val fixture = OwnerFixture(firstOwner = false).apply { report("a") }
            val probe = fixture.requestTicket("a")
            assertEquals(listOf("a"), probe.loads())
            assertEquals(emptyList(), probe.grants())
            assertEquals(1, fixture.closeOrders(probe).grants().size)
        }

        // Guards against evicting an adapter that can still be used with an unknown ticket of the previous owner.
        @Test fun `a new owner evicts nothing while an unknown ticket can still be used to send a request`() {
            val fixture = OwnerFixture(firstOwner = false).apply { report("a", slots = 1) }
            fixture.closeOrders(fixture.requestTicket("a")).grants().forEach { fixture.finish(it) }
            val ticketUsableMillis = (fixture.settings.previousLeaseNanos + fixture.settings.dispatchTimeoutNanos) / MS
            fixture.requestTicket("b", deadlineMillis = 20 * ticketUsableMillis)
            fixture.advance(ticketUsableMillis - 1)
            assertEquals(emptyList(), fixture.report("a", slots = 1).orders())
            fixture.advance(1_002)
            assertEquals(listOf("a"), fixture.report("a", slots = 1).evictions())
        }

        // Guards against evicting an adapter that a request with an unknown ticket still uses, regardless of its
        // duration.
        @Test fun `a new owner evicts only adapters that a report shows idle`() {
            val fixture = OwnerFixture(firstOwner = false).apply { report("a", slots = 1) }
            fixture.closeOrders(fixture.requestTicket("a")).grants().forEach { fixture.finish(it) }
            fixture.requestTicket("b", deadlineMillis = 100_000)
            repeat(40) {
                fixture.advance(1_000)
                assertEquals(emptyList(), fixture.report("a", slots = 1, running = 1, busy = setOf("a")).evictions())
            }
            fixture.advance(1_000)
            assertEquals(listOf("a"), fixture.report("a", slots = 1, busy = emptySet()).evictions())
        }

        // Guards against orders by an owner after the endpoint has shown that it was replaced.
        @Test fun `an owner whose fencing number was rejected issues nothing until its next generation`() {
            val fixture = OwnerFixture().apply { report() }
            val denied = fixture.closeOrders(fixture.requestTicket("a"), OrderOutcome.FENCED)
            assertEquals(DenyReason.NO_LEASE, denied.denials().single().reason)
            fixture.owner.updateGeneration(fixture.now, 8, setOf(OwnerFixture.DAEMON))
            assertEquals(8L, fixture.requestTicket("a").orders().single().fencing)
        }

        // Guards against tickets for members that have left.
        @Test fun `queued requests of departed members are removed`() {
            val fixture = OwnerFixture().apply { report() }
            fixture.requestTicket("a")
            fixture.owner.updateGeneration(fixture.now, 8, emptySet())
            assertEquals(0, fixture.owner.waiting)
        }
    }

    @Nested
    inner class Other {
        // Guards against plain services that wait for loads or reports.
        @Test fun `a plain service grants tickets without reports or loads`() {
            val fixture = OwnerFixture(supportsAdapters = false, firstOwner = false)
            val first = fixture.requestTicket(adapter = null)
            assertEquals(1, first.grants().size)
            assertEquals(DenyReason.UNSUITABLE, fixture.requestTicket("a").denials().single().reason)
            val second = fixture.requestTicket(adapter = null, account = "d") + fixture.finish(first.grants().single())
            assertEquals(1, second.grants().size)
        }

        // Guards against digests that grow with the number of adapters or repeat known state.
        @Test fun `a digest contains only changes`() {
            val fixture = OwnerFixture().apply { report("a") }
            assertEquals(listOf(version("a")), fixture.owner.nextDigest(fixture.now)?.added)
            assertNull(fixture.owner.nextDigest(fixture.now))
            fixture.closeOrders(fixture.requestTicket("b"))
            val digest = fixture.owner.nextDigest(fixture.now)
            assertEquals(listOf(version("b")), digest?.added)
            assertEquals(false, digest?.full)
        }
    }
}
