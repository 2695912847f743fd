package io.camphordrum.core.membership

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class PeerHealthTest {
    private val dataCentre = DataCentreId("b")
    private val health = PeerHealth(Member(InstanceId("a1"), 1))

    private fun member(name: String, incarnation: Long = 1) = Member(InstanceId(name), incarnation)

    /** Guards against accepting messages of a process that a newer incarnation has replaced. */
    @Test
    fun `an older incarnation is refused and suspected`() {
        assertTrue(health.recordMessage(0, member("b1", 2), dataCentre))
        assertFalse(health.recordMessage(0, member("b1", 1), dataCentre))
        health.replaceMembers(0, dataCentre, listOf(member("b1", 1)))
        assertTrue(health.isSuspected(0, member("b1", 1)))
        assertFalse(health.isSuspected(0, member("b1", 2)))
    }

    /** Guards against a data centre that counts as reachable although none of its members has sent a message. */
    @Test
    fun `a data centre is reachable while a member sends messages`() {
        health.replaceMembers(0, dataCentre, listOf(member("b1")))
        assertFalse(health.isReachable(0, dataCentre))
        health.recordMessage(0, member("b1"), dataCentre)
        assertTrue(health.isReachable(PeerHealth.SUSPECT_AFTER_NANOS, dataCentre))
        assertFalse(health.isReachable(PeerHealth.SUSPECT_AFTER_NANOS + 1, dataCentre))
    }

    /** Guards against links that grow with the number of members or stay on members that do not answer. */
    @Test
    fun `links are limited and avoid silent members`() {
        health.replaceMembers(0, dataCentre, List(20) { member("b$it") })
        val first = health.links(0, dataCentre)
        assertEquals(3, first.size)
        val later = PeerHealth.SUSPECT_AFTER_NANOS + 1
        for (other in List(20) { member("b$it") } - first.toSet()) health.recordMessage(later, other, dataCentre)
        assertTrue(health.links(later, dataCentre).none { it in first })
    }
}
