package io.camphordrum.core.serving

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class OrderRightsTest {
    private val clock = HandClock()
    private val store = FakeRights()
    private val endpoint = EndpointId("i-1")

    private fun rights(machine: String, incarnation: Long = 1): OrderRights {
        val options = ServingOptions(Member(InstanceId(machine), incarnation), DataCentreId("a"))
        return OrderRights(options, machine, clock, store)
    }

    private fun take(rights: OrderRights, live: (String) -> Boolean = { false }) {
        rights.refresh(clock.nanos)
        rights.claim(clock.nanos, endpoint, preferred = true, live)
    }

    @Test
    fun `a right that nobody held is usable at once`() {
        val first = rights("one")
        take(first)
        assertTrue(first.usable(clock.nanos, endpoint))
        assertEquals(1, first.token(endpoint))
    }

    // Guards against two daemons that order one endpoint within a lease while endpoints do not check tokens.
    @Test
    fun `the next holder waits until the old right has ended and the lease has passed`() {
        val first = rights("one")
        val second = rights("two")
        take(first)
        clock.pass(100)
        take(second)
        assertEquals(2, second.token(endpoint))
        var lastOrder = clock.nanos
        var firstOrder = 0L
        repeat(500) {
            clock.pass(20)
            first.refresh(clock.nanos)
            second.refresh(clock.nanos)
            if (first.usable(clock.nanos, endpoint)) lastOrder = clock.nanos
            if (firstOrder == 0L && second.usable(clock.nanos, endpoint)) firstOrder = clock.nanos
        }
        assertTrue(firstOrder - lastOrder >= 3_000_000_000, "${(firstOrder - lastOrder) / 1_000_000} ms")
    }

    // Guards against a daemon that is cut off from the store and goes on giving orders after a successor began.
    @Test
    fun `a holder that cannot read the store stops before its successor starts`() {
        val first = rights("one")
        take(first)
        clock.pass(1)
        val second = rights("two")
        take(second)
        var lastOrder = clock.nanos
        var firstOrder = 0L
        repeat(500) {
            clock.pass(20)
            second.refresh(clock.nanos)
            if (first.usable(clock.nanos, endpoint)) lastOrder = clock.nanos
            if (firstOrder == 0L && second.usable(clock.nanos, endpoint)) firstOrder = clock.nanos
        }
        assertTrue(firstOrder - lastOrder >= 3_000_000_000, "${(firstOrder - lastOrder) / 1_000_000} ms")
    }

    // Guards against orders right after a suspension, during which the steady clock stands still.
    @Test
    fun `a step of the time of day makes a right unusable until it was read again`() {
        val first = rights("one")
        take(first)
        clock.stepMillis += 4_000
        assertFalse(first.usable(clock.nanos, endpoint))
        first.refresh(clock.nanos)
        assertTrue(first.usable(clock.nanos, endpoint))
    }

    // Guards against the broken rule of vapnar trouble-3: a successor that was killed while it waited for the lease of
    // a dead holder gave orders at once after its restart.
    @Test
    fun `a process that restarts while it waits for a former holder waits again`() {
        take(rights("one"))
        clock.pass(1)
        take(rights("two"))
        clock.pass(1_000)
        val again = rights("two", incarnation = 2)
        take(again)
        assertFalse(again.usable(clock.nanos, endpoint))
        clock.pass(7_000)
        again.refresh(clock.nanos)
        again.settle(clock.nanos)
        assertTrue(again.usable(clock.nanos, endpoint))
        val third = rights("two", incarnation = 3)
        take(third)
        assertTrue(third.usable(clock.nanos, endpoint))
    }

    @Test
    fun `a restarted process takes its machine's right back at once with a higher token`() {
        take(rights("one"))
        val again = rights("one", incarnation = 2)
        take(again) { true }
        assertTrue(again.usable(clock.nanos, endpoint))
        assertEquals(2, again.token(endpoint))
    }

    @Test
    fun `a right whose holder is live is not taken`() {
        take(rights("one"))
        val second = rights("two")
        take(second) { true }
        assertFalse(second.usable(clock.nanos, endpoint))
        assertEquals(1, store.writes)
    }

    // Guards against the claims of trouble-1: after a cut, two daemons that did not hear each other took one right from
    // each other 25 times a second, and nobody could use it for ten seconds after the cut.
    @Test
    fun `daemons that cannot hear each other do not take turns`() {
        val first = rights("one")
        val second = rights("two")
        take(first)
        clock.pass(1)
        take(second)
        repeat(200) {
            clock.pass(20)
            first.refresh(clock.nanos)
            second.refresh(clock.nanos)
            first.claim(clock.nanos, endpoint, preferred = true) { false }
            second.claim(clock.nanos, endpoint, preferred = true) { false }
        }
        assertEquals(2, store.writes)
    }

    @Test
    fun `a released right is given up and the next holder still waits`() {
        val first = rights("one")
        take(first)
        first.release()
        assertFalse(first.usable(clock.nanos, endpoint))
        val second = rights("two")
        take(second) { true }
        assertEquals(2, second.token(endpoint))
        assertFalse(second.usable(clock.nanos, endpoint))
    }
}
