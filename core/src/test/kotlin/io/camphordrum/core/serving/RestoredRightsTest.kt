package io.camphordrum.core.serving

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import kotlin.test.Test
import kotlin.test.assertTrue

class RestoredRightsTest {
    private val clock = ManualClock()
    private val store = FakeRightStore()
    private val endpoint = EndpointId("i-1")

    private fun rights(machine: String): OrderRights {
        val options = ServingOptions(Member(InstanceId(machine), 1), DataCentreId("a"))
        return OrderRights(options, machine, clock, store)
    }

    private fun claim(rights: OrderRights) {
        rights.refresh(clock.nanos)
        rights.claim(clock.nanos, endpoint, preferred = true) { false }
    }

    // Guards against a fencing token that two daemons get, because the store returned from a copy with an older one.
    @Test
    fun `a token is not given out again after the store's return from a copy`() {
        val first = rights("one")
        claim(first)
        val copy = HashMap(store.rights)
        val second = rights("two")
        claim(second)
        clock.advance(10_000)
        second.refresh(clock.nanos)
        val tokenBefore = requireNotNull(second.token(endpoint))
        assertTrue(second.usable(clock.nanos, endpoint))
        store.rights.clear()
        store.rights.putAll(copy)
        val third = rights("three")
        claim(third)
        val tokenAfter = requireNotNull(third.token(endpoint))
        assertTrue(tokenAfter > tokenBefore, "token $tokenAfter after $tokenBefore")
    }
}
