package io.camphordrum.core.once

import io.camphordrum.core.AccountId
import io.camphordrum.core.WriteOutcome
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class ClaimPropertyTest {
    /** Guards against a request that runs twice, and against an attempt with two decisions. */
    @Property(tries = 60, seed = "4711", shrinking = ShrinkingMode.OFF)
    fun `a key proceeds at most once under faults`(@ForAll seed: Long) = ClaimSimulation(seed).run(seconds = 120)

    /** Guards against a property that passes because the simulation exercises too little. */
    @Test
    fun `the simulation covers proceeds, replays, parts and hours`() {
        val simulation = ClaimSimulation(1).also { it.run(seconds = 120) }
        val covered = with(simulation) { listOf(checker.proceeds > 50, checker.replays > 50, parts > 0, hours > 3) }
        assertEquals(listOf(true, true, true, true), covered)
    }
}

class ClaimLedgerTest {
    private val objects = HashMap<ClaimShardId, Pair<ClaimShard, Long>>()
    private val key = ClaimKey(AccountId("a"), "order-1")
    private var now = 0L
    private var epochMillis = 3_600_000L * 1_000
    private var writes = 0

    private fun ledger(settings: ClaimSettings = ClaimSettings()) = ClaimLedger({ epochMillis }, settings)

    /** Ticks for [seconds], executes all store calls, and returns all decisions. */
    private fun ClaimLedger.runToDecisions(first: List<ClaimEffect>, seconds: Int = 8): List<ClaimEffect.Decision> {
        val decisions = ArrayList<ClaimEffect.Decision>()
        var effects = first
        repeat(seconds * 20) {
            while (effects.isNotEmpty()) {
                effects = effects.flatMap { effect ->
                    if (effect is ClaimEffect.Decision) decisions += effect
                    execute(effect)
                }
            }
            now += 50_000_000
            effects = tick(now)
        }
        return decisions
    }

    private fun ClaimLedger.execute(effect: ClaimEffect): List<ClaimEffect> = when (effect) {
        is ClaimEffect.Decision -> emptyList()
        is ClaimEffect.ReadShard -> objects[effect.id].let { storeRead(now, effect.id, it?.first, it?.second ?: 0) }
        is ClaimEffect.WriteShard -> {
            writes++
            val version = (objects[effect.id]?.second ?: 0) + 1
            assertEquals(version - 1, effect.expectedVersion)
            objects[effect.id] = effect.value to version
            storeWritten(now, effect.id, WriteOutcome.Applied(version))
        }
    }

    private fun ClaimLedger.decide(attempt: String, fingerprint: Long = 7, key: ClaimKey = this@ClaimLedgerTest.key) =
        runToDecisions(claim(now, key, fingerprint, AttemptId(attempt))).single()

    private fun answer(size: Int) = RecordedAnswer.of(201, "text/plain", ByteArray(size))

    /** Guards against a second run of a completed request, and against a lost answer. */
    @Test
    fun `replays a recorded answer, and reports an answer that was too large to record`() {
        val ledger = ledger()
        val large = key.copy(key = "order-2")
        assertIs<ClaimEffect.Proceed>(ledger.decide("one"))
        assertIs<ClaimEffect.Proceed>(ledger.decide("two", key = large))
        ledger.runToDecisions(ledger.complete(now, key, answer(100)) + ledger.complete(now, large, answer(9_000)))
        assertEquals(answer(100), assertIs<ClaimEffect.Replay>(ledger().decide("three")).answer)
        assertIs<ClaimEffect.AnswerNotRecorded>(ledger().decide("four", key = large))
    }

    /** Guards against a different request that receives the answer of this one. */
    @Test
    fun `a different fingerprint is a conflict`() {
        ledger().decide("one")
        assertIs<ClaimEffect.Conflict>(ledger().decide("two", fingerprint = 8))
    }

    /** Guards against a second run within the retention after the first daemon has stopped. */
    @Test
    fun `the outcome of an unfinished claim stays unknown for the retention`() {
        ledger().decide("one")
        for (hours in listOf(0, 1, 22)) {
            epochMillis += hours * 3_600_000L
            assertIs<ClaimEffect.OutcomeUnknown>(ledger().decide("after-$hours"))
        }
        epochMillis += 5 * 3_600_000L
        assertIs<ClaimEffect.Proceed>(ledger().decide("after a day"))
    }

    /** Guards against a request that can never run because an attempt failed before it reached an endpoint. */
    @Test
    fun `a released key can be claimed again`() {
        val ledger = ledger()
        ledger.decide("one")
        ledger.runToDecisions(ledger.release(now, key))
        assertIs<ClaimEffect.Proceed>(ledger().decide("two"))
    }

    /** Guards against a separate write for each claim. */
    @Test
    fun `claims of one period are written together`() {
        val ledger = ledger(ClaimSettings(shards = 1))
        ledger.decide("first")
        writes = 0
        val effects = (1..100).flatMap { ledger.claim(now, key.copy(key = "k$it"), 7, AttemptId("t$it")) }
        assertEquals(100, ledger.runToDecisions(effects).count { it is ClaimEffect.Proceed })
        assertEquals(1, writes)
    }

    /** Guards against objects that the store rejects because of their size. */
    @Test
    fun `a full object is followed by a new part`() {
        val ledger = ledger(ClaimSettings(shards = 1, shardBytes = 4_000))
        val effects = (1..40).flatMap { ledger.claim(now, key.copy(key = "k$it"), 7, AttemptId("t$it")) }
        assertEquals(40, ledger.runToDecisions(effects).count { it is ClaimEffect.Proceed })
        assertTrue(objects.keys.any { it.part > 1 })
        assertTrue(objects.values.all { ClaimSize.of(it.first) <= 4_000 })
        assertIs<ClaimEffect.OutcomeUnknown>(ledger.decide("again", key = key.copy(key = "k1")))
    }

    /** Guards against a run, or an unlimited wait, while the store is unreachable. */
    @Test
    fun `refuses as not run when the store fails, and never proceeds later`() {
        val ledger = ledger()
        ledger.claim(now, key, 7, AttemptId("one"))
        now += 50_000_000
        val read = assertIs<ClaimEffect.ReadShard>(ledger.tick(now).single())
        assertIs<ClaimEffect.RefuseNotRun>(ledger.storeReadFailed(now, read.id).single())
        assertEquals(emptyList(), ledger.runToDecisions(ledger.storeRead(now, read.id, null, 0)))
    }
}
