package io.camphordrum.core.config

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ConfigStorePropertiesTest {
    private class Race(seed: Long) {
        val random = Random(seed)
        val objects = FakeObjectStore()
        val runs = List(3) { StoreRun(objects, seed + it, StoreOptions(submitTimeoutNanos = 3_000_000_000)) }
        val accepted = HashMap<String, Long>()
        val refused = HashSet<String>()
        private var now = 0L
        private var submittedCount = 0

        fun run() {
            objects.fault = {
                val fault = random.nextInt(12)
                if (fault < 4) FakeObjectStore.Fault.entries[1 + fault] else FakeObjectStore.Fault.NONE
            }
            repeat(1_200) { randomStep() }
            objects.fault = { FakeObjectStore.Fault.NONE }
            repeat(50) { objects.applyDelayedWrite(random) }
            for (run in runs) run.completeAllCalls(now, ticks = 100)
            for (run in runs) collectOutcomes(run)
            for (run in runs) run.load(now + 20_000_000_000)
        }

        private fun randomStep() {
            now += random.nextLong(50_000_000)
            val run = runs.random(random)
            when {
                random.nextInt(10) == 0 -> submit(run)
                random.nextInt(20) == 0 -> run.handle(run.store.load(now))
                random.nextInt(20) == 0 -> objects.applyDelayedWrite(random)
                random.nextInt(20) == 0 -> run.handle(run.store.adopt(now, runs.random(random).store.tree))
                run.pendingCalls.isNotEmpty() -> run.completeCall(now, random.nextInt(run.pendingCalls.size))
                else -> run.handle(run.store.tick(now))
            }
            collectOutcomes(run)
        }

        private fun submit(run: StoreRun) {
            val tree = run.store.tree
            val edits = randomEdits(tree, random, 3).toTypedArray()
            run.handle(run.store.submit(now, change("c${submittedCount++}", tree.revision, *edits)))
        }

        private fun collectOutcomes(run: StoreRun) {
            for ((id, outcome) in run.outcomes) {
                when (outcome) {
                    is SubmitOutcome.Accepted -> accepted[id] = outcome.revision
                    SubmitOutcome.Unknown -> Unit
                    else -> refused += id
                }
            }
            run.outcomes.clear()
        }
    }

    /**
     * Guards against two conflicting changes that are both accepted, an accepted change that is lost, a refused one
     * that took effect, and a revision that decreases, when calls fail, answers are lost and updates are applied late.
     */
    @Property(tries = 150, seed = "21")
    fun `every outcome is correct and revisions only increase`(@ForAll seed: Long) {
        val race = Race(seed)
        race.run()
        val reader = StoreRun(race.objects, options = StoreOptions(maxHistoryRecords = 10_000))
        reader.handle(reader.store.history(0, 1, 10_000))
        reader.completeAllCalls()
        val history = reader.history!!.associate { it.change.id to it.revision }
        assertEquals((1L..history.size).toSet(), history.values.toSet())
        for ((id, revision) in race.accepted) assertEquals(revision, history[id], "accepted $id")
        for (id in race.refused) assertTrue(id !in history, "refused $id is revision ${history[id]}")
        for (run in race.runs) {
            assertEquals(run.revisions.sorted().distinct(), run.revisions)
            assertEquals(reader.store.tree.allEntries(), run.store.tree.allEntries())
            assertEquals(emptyList(), run.unreadable)
        }
        assertTrue(race.accepted.isNotEmpty())
    }
}
