package io.camphordrum.core.config

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ConfigStorePropertiesTest {
    private class Race(seed: Long) {
        val random = Random(seed)
        val objects = FakeObjects()
        val runs = List(3) { StoreRun(objects, seed + it, StoreOptions(submitNanos = 3_000_000_000)) }
        val accepted = HashMap<String, Long>()
        val refused = HashSet<String>()
        private var now = 0L
        private var submitted = 0

        fun run() {
            objects.fault = {
                val fault = random.nextInt(12)
                if (fault < 4) FakeObjects.Fault.entries[1 + fault] else FakeObjects.Fault.NONE
            }
            repeat(1_200) { step() }
            objects.fault = { FakeObjects.Fault.NONE }
            repeat(50) { objects.arrive(random) }
            for (run in runs) run.settle(now, ticks = 100)
            for (run in runs) collect(run)
            for (run in runs) run.load(now + 20_000_000_000)
        }

        private fun step() {
            now += random.nextLong(50_000_000)
            val run = runs.random(random)
            when {
                random.nextInt(10) == 0 -> submit(run)
                random.nextInt(20) == 0 -> run.take(run.store.load(now))
                random.nextInt(20) == 0 -> objects.arrive(random)
                random.nextInt(20) == 0 -> run.take(run.store.adopt(now, runs.random(random).store.tree))
                run.open.isNotEmpty() -> run.step(now, random.nextInt(run.open.size))
                else -> run.take(run.store.tick(now))
            }
            collect(run)
        }

        private fun submit(run: StoreRun) {
            val tree = run.store.tree
            val edits = randomEdits(tree, random, 3).toTypedArray()
            run.take(run.store.submit(now, change("c${submitted++}", tree.revision, *edits)))
        }

        private fun collect(run: StoreRun) {
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
     * Guards against two operators who both win, an accepted change that is lost, a refused one that took effect, and
     * a revision that goes back, when calls fail, answers are lost and updates arrive late.
     */
    @Property(tries = 150, seed = "21")
    fun `every outcome is true and revisions only grow`(@ForAll seed: Long) {
        val race = Race(seed)
        race.run()
        val reader = StoreRun(race.objects, options = StoreOptions(historyRecords = 10_000))
        reader.take(reader.store.history(0, 1, 10_000))
        reader.settle()
        val history = reader.history!!.associate { it.change.id to it.revision }
        assertEquals((1L..history.size).toSet(), history.values.toSet())
        for ((id, revision) in race.accepted) assertEquals(revision, history[id], "accepted $id")
        for (id in race.refused) assertTrue(id !in history, "refused $id is revision ${history[id]}")
        for (run in race.runs) {
            assertEquals(run.revisions.sorted().distinct(), run.revisions)
            assertEquals(reader.store.tree.all(), run.store.tree.all())
            assertEquals(emptyList(), run.faults)
        }
        assertTrue(race.accepted.isNotEmpty())
    }
}
