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
        // Guards against a second run when the answer to a request is lost.
        @Test fun `a repeated request gets the same ticket`() {
            val fixture = OwnerFixture().apply { report("a") }
            val first = fixture.ask(id = 5).grants().single()
            assertEquals(first.ticket, fixture.ask(id = 5).grants().single().ticket)
        }

        // Guards against evicting an adapter for whose vanished holder the endpoint still works.
        @Test fun `a lost ticket counts until a report newer than its expiry shows the adapter idle`() {
            val fixture = OwnerFixture().apply { report("a") }
            fixture.ask(deadlineMillis = 5_000)
            fixture.wait(5_500)
            fixture.report("a", busy = null, sampledNanos = fixture.now - 1)
            assertEquals(1, fixture.owner.tickets, "a report from before the expiry settles nothing")
            fixture.wait(2_000)
            fixture.report("a", running = 1, busy = setOf("a"))
            assertEquals(1, fixture.owner.tickets, "the adapter is busy")
            fixture.wait(100)
            fixture.report("a")
            assertEquals(0, fixture.owner.tickets)
        }

        // Guards against a place that stays taken for a minute after its holder has died.
        @Test fun `a lost ticket is released when the endpoint shows its adapter idle after the dispatch time`() {
            val fixture = OwnerFixture().apply { report("a") }
            fixture.ask(deadlineMillis = 60_000)
            val last = fixture.settings.dispatchNanos / MS
            fixture.wait(last)
            fixture.report("a")
            assertEquals(1, fixture.owner.tickets, "the request can still be on its way")
            fixture.wait(1_001)
            fixture.report("a", running = 1, busy = setOf("a"))
            assertEquals(1, fixture.owner.tickets, "the adapter is busy")
            fixture.report(
                "a",
                running = 1,
                busy = setOf("b"),
                sampledNanos =
                fixture.now + fixture.settings.reportLagNanos + 1,
            )
            assertEquals(0, fixture.owner.tickets)
        }

        // Guards against tickets of different owners with the same number.
        @Test fun `ticket numbers of different generations differ`() {
            val fixture = OwnerFixture().apply { report("a") }
            val first = fixture.ask().grants().single()
            fixture.owner.generation(fixture.now, 8, setOf(OwnerFixture.DAEMON))
            val second = fixture.finish(first) + fixture.ask()
            assertEquals(listOf(7L, 8L), listOf(first.ticket shr 32, second.grants().single().ticket shr 32))
        }

        // Guards against a holder that believes its ticket valid for longer than the owner does.
        @Test fun `a grant's validity is counted from the arrival of the request`() {
            val fixture = OwnerFixture()
            val arrived = fixture.now
            fixture.ask()
            fixture.wait(400)
            val grant = fixture.report("a").grants().single()
            assertEquals(grant.expiresNanos, arrived + grant.validNanos)
        }
    }

    @Nested
    inner class Refusal {
        // Guards against work that waits although it can no longer finish.
        @Test fun `a request that can no longer finish is denied at once`() {
            val fixture = OwnerFixture().apply { report("a") }
            val grant = fixture.ask().grants().single()
            repeat(4) { fixture.ask() }
            val denial = fixture.ask(deadlineMillis = 500).denials().single()
            assertEquals(DenyReason.DEADLINE, denial.reason)
            assertTrue(denial.retryAfterNanos > 0)
            fixture.clock.advance(300 * MS)
            fixture.finish(grant)
            fixture.ask(deadlineMillis = 20_000, id = 99)
            val late = fixture.wait(19_800).denials()
            assertTrue(late.any { it.request == 99L && it.reason == DenyReason.DEADLINE })
        }

        // Guards against requests that wait behind a busy endpoint while another candidate is free.
        @Test fun `a request that gives a bound is denied with the expected wait when that is longer`() {
            val fixture = OwnerFixture().apply { report("a") }
            fixture.ask()
            val denial = fixture.ask(maxWaitNanos = 100 * MS).denials().single()
            assertEquals(DenyReason.WAIT_TOO_LONG, denial.reason)
            assertTrue(denial.waitNanos > 100 * MS)
        }

        // Guards against grants and orders by an owner that may have been replaced.
        @Test fun `nothing is granted or ordered without a lease`() {
            val fixture = OwnerFixture().apply { report("a") }
            fixture.ask("b")
            fixture.lease = false
            val effects = fixture.wait(100) + fixture.ask("a")
            assertEquals(listOf(DenyReason.NO_LEASE, DenyReason.NO_LEASE), effects.denials().map { it.reason })
            assertEquals(2, effects.size)
        }

        // Guards against new work on a leaving endpoint and against cutting off running work.
        @Test fun `a leaving endpoint denies what waits and finishes what runs`() {
            val fixture = OwnerFixture().apply { report("a") }
            val running = fixture.ask().grants().single()
            fixture.ask()
            val denied = fixture.owner.leave(fixture.now) + fixture.ask()
            assertEquals(listOf(DenyReason.LEAVING, DenyReason.LEAVING), denied.denials().map { it.reason })
            assertTrue(!fixture.owner.idle)
            fixture.finish(running)
            assertTrue(fixture.owner.idle)
        }

        // Guards against a queue that grows without bound, and that one account fills for all.
        @Test fun `a full queue gives up the newest request of the account that fills it`() {
            val fixture = OwnerFixture(OwnerSettings(queueLimit = 8)).apply { report("a") }
            repeat(9) { fixture.ask(account = "large") }
            assertEquals(DenyReason.QUEUE_FULL, fixture.ask(account = "large").denials().single().reason)
            val effects = fixture.ask(account = "small", id = 77)
            assertEquals(listOf(DenyReason.QUEUE_FULL), effects.denials().map { it.reason })
            assertNotEquals(77, effects.denials().single().request)
            assertEquals(8, fixture.owner.waiting)
        }
    }

    @Nested
    inner class Load {
        // Guards against loads beyond what the weight store allows, and evictions for loads that cannot follow.
        @Test fun `without a unit of the load budget nothing is loaded or evicted`() {
            val fixture = OwnerFixture().apply { report("a", slots = 1) }
            fixture.loadUnits = 0
            assertEquals(emptyList(), fixture.ask("b").orders() + fixture.wait(5_000).orders())
            fixture.loadUnits = 1
            assertEquals(listOf("a"), fixture.wait(100).evictions())
        }

        // Guards against retrying a broken adapter for ever and against denying it after a single failure.
        @Test fun `a failed load is retried after a pause and then denied as not run`() {
            val fixture = OwnerFixture().apply { report() }
            var effects = fixture.ask("bad")
            val pauses = ArrayList<Int>()
            repeat(fixture.settings.loadAttempts) {
                assertEquals(listOf("bad"), effects.loads())
                effects = fixture.confirm(effects, OrderOutcome.FAILED)
                var ticks = 0
                while (effects.loads().isEmpty() && effects.denials().isEmpty()) {
                    effects = fixture.wait(100)
                    ticks++
                }
                pauses += ticks
            }
            assertEquals(listOf(5, 10, 1), pauses)
            assertEquals(DenyReason.LOAD_FAILED, effects.denials().single().reason)
            assertEquals(DenyReason.LOAD_FAILED, fixture.ask("bad").denials().single().reason)
        }

        // Guards against a lost order that still takes effect after the owner has forgotten it.
        @Test fun `an adapter with a lost eviction gets no ticket until a report after the order's last moment`() {
            val fixture = OwnerFixture().apply { report("a", slots = 1) }
            fixture.wait(3_000)
            val eviction = fixture.ask("b")
            assertEquals(listOf("a"), eviction.evictions())
            fixture.confirm(eviction, OrderOutcome.UNKNOWN)
            fixture.wait(1_000)
            assertEquals(emptyList(), fixture.report("a", slots = 1).grants() + fixture.ask("a").grants())
            fixture.wait(5_000)
            assertEquals(1, fixture.report("a", slots = 1).grants().size)
        }

        // Guards against evicting an adapter that a daemon uses without a ticket.
        @Test fun `an adapter that the report shows busy without a ticket stays`() {
            val fixture = OwnerFixture().apply { report("a", slots = 1) }
            fixture.wait(3_000)
            fixture.report("a", slots = 1, running = 1, busy = setOf("a"))
            assertEquals(emptyList(), fixture.ask("b").orders())
            fixture.wait(100)
            assertEquals(listOf("a"), fixture.report("a", slots = 1).evictions())
        }

        // Guards against a small account's adapter waiting behind the many adapters of a large account.
        @Test fun `loads go by the account's turn`() {
            val fixture = OwnerFixture(OwnerSettings(loadsInFlight = 1)).apply { report(slots = 8) }
            var effects = fixture.ask("large0", account = "large", tokens = 5_000)
            repeat(5) { fixture.ask("large${it + 1}", account = "large", tokens = 5_000) }
            fixture.wait(10)
            fixture.ask("small", account = "small", tokens = 10)
            effects = fixture.confirm(effects)
            assertEquals(listOf("small"), effects.loads())
        }

        // Guards against evicting an adapter that was only just loaded when popularity shifts back and forth.
        @Test fun `shifting popularity does not thrash`() {
            val settings = OwnerSettings(loadsInFlight = 1)
            val fixture = OwnerFixture(settings).apply { report(slots = 2) }
            val loadedAt = HashMap<String, Long>()
            var loads = 0
            repeat(400) { step ->
                val group = if (step / 4 % 2 == 0) "x" else "y"
                var effects = fixture.wait(100) + fixture.ask("$group${step % 2}", deadlineMillis = 2_500)
                while (effects.isNotEmpty()) {
                    val orders = effects.orders()
                    for (order in orders.filter { it.kind == OrderKind.EVICT }) {
                        val age = fixture.now - loadedAt.getValue(order.version.adapter)
                        assertTrue(age >= settings.residenceNanos, "evicted after ${age / MS} ms")
                    }
                    effects.loads().forEach { loadedAt[it] = fixture.now }
                    loads += effects.loads().size
                    effects = fixture.confirm(orders) + effects.grants().flatMap { fixture.finish(it) }
                }
            }
            // 40 s with two slots that may each change once in the residence time of 2 s.
            assertTrue(loads in 4..42, "$loads loads")
        }
    }

    @Nested
    inner class SlowStart {
        private fun warmFixture() = OwnerFixture().apply {
            report("a")
            warm("a")
        }

        // Guards against full load on an endpoint that restarted without warning.
        @Test fun `a new incarnation restarts the concurrency from one`() {
            val fixture = warmFixture()
            assertEquals(fixture.settings.concurrency, fixture.owner.concurrency)
            fixture.wait(100)
            fixture.report("a", incarnation = 2)
            assertEquals(1, fixture.owner.concurrency)
        }

        // Guards against a restart that shows only in the loss of all adapters.
        @Test fun `an empty residency report restarts the concurrency from one`() {
            val fixture = warmFixture()
            fixture.wait(100)
            fixture.report()
            assertEquals(1, fixture.owner.concurrency)
        }

        // Guards against growth without proof: a cold endpoint runs at most one more than it has completed.
        @Test fun `the concurrency of a cold endpoint grows with completed work`() {
            val fixture = OwnerFixture().apply { report("a") }
            val running = ArrayDeque(List(40) { fixture.ask() }.flatten().grants())
            assertEquals(1, running.size)
            for (completed in 1..10) {
                running += fixture.finish(running.removeFirst()).grants()
                assertEquals(completed + 1, running.size)
            }
        }

        // Guards against pushing an endpoint that fails, and against several decreases for one event.
        @Test fun `an error or a late first token halves the concurrency once`() {
            val fixture = warmFixture()
            val most = fixture.settings.concurrency
            val running = ArrayDeque(List(most) { fixture.ask() }.flatten().grants())
            fixture.wait(10)
            repeat(3) { fixture.finish(running.removeFirst(), TicketOutcome.FAILED) }
            assertEquals(most / 2, fixture.owner.concurrency)
            running.forEach { fixture.finish(it) }
            fixture.wait(10)
            val late = fixture.ask().grants().single()
            fixture.finish(late, firstTokenNanos = fixture.settings.highLatencyNanos + 1)
            assertEquals(most / 4, fixture.owner.concurrency)
        }

        // Guards against overloading an endpoint that already runs requests of a previous owner.
        @Test fun `requests that no ticket explains take places`() {
            val fixture = OwnerFixture().apply { report("a", running = 3) }
            assertEquals(3, fixture.owner.concurrency)
            assertEquals(emptyList(), fixture.ask().grants())
        }
    }

    @Nested
    inner class Takeover {
        // Guards against an order of the previous owner that takes effect under the new owner's tickets.
        @Test fun `an endpoint that ignores fencing numbers waits out the old lease and the longest order`() {
            val fixture = OwnerFixture(fenced = false, firstOwner = false).apply { report("a") }
            fixture.ask("a")
            fixture.ask("b")
            val settings = fixture.settings
            val quiet = (settings.previousLeaseNanos + settings.orderNanos) / MS
            assertEquals(emptyList(), fixture.wait(quiet - 1))
            val effects = fixture.wait(1)
            assertEquals(listOf("b"), effects.loads())
            assertEquals(1, effects.grants().size)
        }

        // Guards against the same on an endpoint that refuses old numbers, without the long wait.
        @Test fun `a fenced endpoint grants after the first order with the new number`() {
            val fixture = OwnerFixture(firstOwner = false).apply { report("a") }
            val proof = fixture.ask("a")
            assertEquals(listOf("a"), proof.loads())
            assertEquals(emptyList(), proof.grants())
            assertEquals(1, fixture.confirm(proof).grants().size)
        }

        // Guards against evicting what an unknown ticket of the previous owner still uses.
        @Test fun `a new owner evicts nothing while an unknown ticket can still be used to begin a request`() {
            val fixture = OwnerFixture(firstOwner = false).apply { report("a", slots = 1) }
            fixture.confirm(fixture.ask("a")).grants().forEach { fixture.finish(it) }
            val life = (fixture.settings.previousLeaseNanos + fixture.settings.dispatchNanos) / MS
            fixture.ask("b", deadlineMillis = 20 * life)
            fixture.wait(life - 1)
            assertEquals(emptyList(), fixture.report("a", slots = 1).orders())
            fixture.wait(1_002)
            assertEquals(listOf("a"), fixture.report("a", slots = 1).evictions())
        }

        // Guards against evicting what a request with an unknown ticket still runs on, however long it takes.
        @Test fun `a new owner evicts only what a report shows idle`() {
            val fixture = OwnerFixture(firstOwner = false).apply { report("a", slots = 1) }
            fixture.confirm(fixture.ask("a")).grants().forEach { fixture.finish(it) }
            fixture.ask("b", deadlineMillis = 100_000)
            repeat(40) {
                fixture.wait(1_000)
                assertEquals(emptyList(), fixture.report("a", slots = 1, running = 1, busy = setOf("a")).evictions())
            }
            fixture.wait(1_000)
            assertEquals(listOf("a"), fixture.report("a", slots = 1, busy = emptySet()).evictions())
        }

        // Guards against orders by an owner that the endpoint knows to be replaced.
        @Test fun `a refused fencing number ends the owner's work until its next generation`() {
            val fixture = OwnerFixture().apply { report() }
            val denied = fixture.confirm(fixture.ask("a"), OrderOutcome.FENCED)
            assertEquals(DenyReason.NO_LEASE, denied.denials().single().reason)
            fixture.owner.generation(fixture.now, 8, setOf(OwnerFixture.DAEMON))
            assertEquals(8L, fixture.ask("a").orders().single().fencing)
        }

        // Guards against tickets for members that are gone.
        @Test fun `requests of departed members are dropped`() {
            val fixture = OwnerFixture().apply { report() }
            fixture.ask("a")
            fixture.owner.generation(fixture.now, 8, emptySet())
            assertEquals(0, fixture.owner.waiting)
        }
    }

    @Nested
    inner class Other {
        // Guards against plain services that wait for adapters or reports.
        @Test fun `a plain service gets tickets without reports or loads`() {
            val fixture = OwnerFixture(adapters = false, firstOwner = false)
            val first = fixture.ask(adapter = null)
            assertEquals(1, first.grants().size)
            assertEquals(DenyReason.UNSUITABLE, fixture.ask("a").denials().single().reason)
            val second = fixture.ask(adapter = null, account = "d") + fixture.finish(first.grants().single())
            assertEquals(1, second.grants().size)
        }

        // Guards against digests that grow with the number of adapters or repeat what is known.
        @Test fun `a digest carries only what changed`() {
            val fixture = OwnerFixture().apply { report("a") }
            assertEquals(listOf(version("a")), fixture.owner.digest(fixture.now)?.added)
            assertNull(fixture.owner.digest(fixture.now))
            fixture.confirm(fixture.ask("b"))
            val digest = fixture.owner.digest(fixture.now)
            assertEquals(listOf(version("b")), digest?.added)
            assertEquals(false, digest?.full)
        }
    }
}
