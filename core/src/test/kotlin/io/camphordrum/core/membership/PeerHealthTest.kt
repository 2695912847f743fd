package io.camphordrum.core.membership

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class PeerHealthTest {
    private val there = DataCentreId("b")
    private val health = PeerHealth(Member(InstanceId("a1"), 1))

    private fun member(name: String, incarnation: Long = 1) = Member(InstanceId(name), incarnation)

    /** Guards against messages of a process that its successor has replaced. */
    @Test
    fun `an older incarnation is refused and suspected`() {
        assertTrue(health.heard(0, member("b1", 2), there))
        assertFalse(health.heard(0, member("b1", 1), there))
        health.members(0, there, listOf(member("b1", 1)))
        assertTrue(health.suspected(0, member("b1", 1)))
        assertFalse(health.suspected(0, member("b1", 2)))
    }

    /** Guards against a data centre that counts as reachable only because its members are known. */
    @Test
    fun `a data centre is reachable while a member is heard`() {
        health.members(0, there, listOf(member("b1")))
        assertFalse(health.reachable(0, there))
        health.heard(0, member("b1"), there)
        assertTrue(health.reachable(PeerHealth.SUSPECT_NANOS, there))
        assertFalse(health.reachable(PeerHealth.SUSPECT_NANOS + 1, there))
    }

    /** Guards against links that grow with the fleet or stay with members that do not answer. */
    @Test
    fun `links are few and leave silent members`() {
        health.members(0, there, List(20) { member("b$it") })
        val first = health.links(0, there)
        assertEquals(3, first.size)
        val later = PeerHealth.SUSPECT_NANOS + 1
        for (other in List(20) { member("b$it") } - first.toSet()) health.heard(later, other, there)
        assertTrue(health.links(later, there).none { it in first })
    }
}
