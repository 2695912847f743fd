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
    private val clock = ManualClock()
    private val store = FakeRightStore()
    private val endpoint = EndpointId("i-1")

    private fun rights(machine: String, incarnation: Long = 1): OrderRights {
        val options = ServingOptions(Member(InstanceId(machine), incarnation), DataCentreId("a"))
        return OrderRights(options, machine, clock, store)
    }

    private fun claim(rights: OrderRights, isLive: (String) -> Boolean = { false }) {
        rights.refresh(clock.nanos)
        rights.claim(clock.nanos, endpoint, preferred = true, isLive)
    }

    @Test
    fun `a right without a former holder is usable at once`() {
        val first = rights("one")
        claim(first)
        assertTrue(first.usable(clock.nanos, endpoint))
        assertEquals(1, first.token(endpoint))
    }

    // Guards against orders of two daemons to one endpoint within a lease; endpoints do not check fencing tokens.
    @Test
    fun `the next holder waits until the former right and the lease have expired`() {
        val first = rights("one")
        val second = rights("two")
        claim(first)
        clock.advance(100)
        claim(second)
        assertEquals(2, second.token(endpoint))
        var lastOrder = clock.nanos
        var firstOrder = 0L
        repeat(500) {
            clock.advance(20)
            first.refresh(clock.nanos)
            second.refresh(clock.nanos)
            if (first.usable(clock.nanos, endpoint)) lastOrder = clock.nanos
            if (firstOrder == 0L && second.usable(clock.nanos, endpoint)) firstOrder = clock.nanos
        }
        assertTrue(firstOrder - lastOrder >= 3_000_000_000, "${(firstOrder - lastOrder) / 1_000_000} ms")
    }

    // Guards against a daemon that cannot reach the store and still sends orders after its successor has started.
    @Test
    fun `a holder that cannot read the store stops before its successor starts`() {
        val first = rights("one")
        claim(first)
        clock.advance(1)
        val second = rights("two")
        claim(second)
        var lastOrder = clock.nanos
        var firstOrder = 0L
        repeat(500) {
            clock.advance(20)
            second.refresh(clock.nanos)
            if (first.usable(clock.nanos, endpoint)) lastOrder = clock.nanos
            if (firstOrder == 0L && second.usable(clock.nanos, endpoint)) firstOrder = clock.nanos
        }
        assertTrue(firstOrder - lastOrder >= 3_000_000_000, "${(firstOrder - lastOrder) / 1_000_000} ms")
    }

    // Guards against orders right after a suspension, during which the monotonic clock stops.
    @Test
    fun `a wall clock step makes a right unusable until it is read again`() {
        val first = rights("one")
        claim(first)
        clock.stepMillis += 4_000
        assertFalse(first.usable(clock.nanos, endpoint))
        first.refresh(clock.nanos)
        assertTrue(first.usable(clock.nanos, endpoint))
    }

    // Guards against a successor that is killed while it waits for the lease of a dead holder and sends orders right
    // after its restart.
    @Test
    fun `a process that restarts while it waits for the lease of a former holder waits again`() {
        claim(rights("one"))
        clock.advance(1)
        claim(rights("two"))
        clock.advance(1_000)
        val restarted = rights("two", incarnation = 2)
        claim(restarted)
        assertFalse(restarted.usable(clock.nanos, endpoint))
        clock.advance(7_000)
        restarted.refresh(clock.nanos)
        restarted.markSettled(clock.nanos)
        assertTrue(restarted.usable(clock.nanos, endpoint))
        val third = rights("two", incarnation = 3)
        claim(third)
        assertTrue(third.usable(clock.nanos, endpoint))
    }

    @Test
    fun `a restarted process reclaims the right of its machine at once with a higher token`() {
        claim(rights("one"))
        val restarted = rights("one", incarnation = 2)
        claim(restarted) { true }
        assertTrue(restarted.usable(clock.nanos, endpoint))
        assertEquals(2, restarted.token(endpoint))
    }

    @Test
    fun `a right whose holder is live is not claimed`() {
        claim(rights("one"))
        val second = rights("two")
        claim(second) { true }
        assertFalse(second.usable(clock.nanos, endpoint))
        assertEquals(1, store.writes)
    }

    // Guards against competing claims after a partition: two daemons without notices of each other claimed the same
    // right from each other 25 times a second, and neither could use it until ten seconds after the partition.
    @Test
    fun `partitioned daemons do not claim a right from each other repeatedly`() {
        val first = rights("one")
        val second = rights("two")
        claim(first)
        clock.advance(1)
        claim(second)
        repeat(200) {
            clock.advance(20)
            first.refresh(clock.nanos)
            second.refresh(clock.nanos)
            first.claim(clock.nanos, endpoint, preferred = true) { false }
            second.claim(clock.nanos, endpoint, preferred = true) { false }
        }
        assertEquals(2, store.writes)
    }

    @Test
    fun `a released right is unusable and the next holder still waits`() {
        val first = rights("one")
        claim(first)
        first.releaseAll()
        assertFalse(first.usable(clock.nanos, endpoint))
        val second = rights("two")
        claim(second) { true }
        assertEquals(2, second.token(endpoint))
        assertFalse(second.usable(clock.nanos, endpoint))
    }
}
