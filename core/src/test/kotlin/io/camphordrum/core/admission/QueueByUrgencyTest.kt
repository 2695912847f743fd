package io.camphordrum.core.admission

import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import io.camphordrum.core.serving.OwnedEndpoint
import io.camphordrum.core.serving.Placement
import io.camphordrum.core.serving.ServingFixture
import io.camphordrum.core.serving.ServingNotice
import kotlin.test.Test
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** An engine whose owner reports two seconds of waiting prompts of priority 2. */
class QueueByUrgencyTest {
    private val fixture = ServingFixture()
    private val owner = Member(InstanceId("edge-a2"), 1)

    private fun report(queuedByRank: Map<Int, Int>?) {
        fixture.core.configure(fixture.clock.nanos, fixture.config())
        fixture.core.replaceEndpoints(
            fixture.clock.nanos,
            listOf(fixture.engineRecord("i-1", adapters = listOf("x"))),
            afterGap = false,
        )
        val owned = OwnedEndpoint("i-1", "m", mapOf("x" to 1), 0, queuedTokens = 25_000, queuedByRank = queuedByRank)
        val notice = ServingNotice(owner, 1, emptyMap(), emptyList(), listOf(owned), emptyMap(), emptyList())
        fixture.core.receive(fixture.clock.nanos, owner, notice)
    }

    private fun place(priority: Int, id: String = "r1"): Placement =
        fixture.core.place(fixture.clock.nanos, fixture.work(id, "x").copy(priority = priority))

    // Guards against urgent requests that are refused because less urgent ones wait.
    @Test
    fun `an urgent request is sent to an engine where only less urgent ones wait`() {
        report(mapOf(2 to 25_000))
        assertIs<Placement.Send>(place(priority = 0))
    }

    @Test
    fun `a request is refused at once where others of its priority wait for too long`() {
        report(mapOf(2 to 25_000))
        // One in eight ranks as urgent.
        val refused = (1..80).count { place(priority = 2, "r$it") is Placement.Refuse }
        assertTrue(refused in 60..78, "$refused")
    }

    // Guards against a queue that looks empty while two versions run together.
    @Test
    fun `prompts that an owner of an earlier version reports wait ahead of all`() {
        report(queuedByRank = null)
        assertIs<Placement.Refuse>(place(priority = 0))
    }
}
