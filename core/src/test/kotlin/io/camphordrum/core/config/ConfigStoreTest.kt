package io.camphordrum.core.config

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ConfigStoreTest {
    private val objects = FakeObjects()
    private val first = StoreRun(objects, seed = 1)
    private val second = StoreRun(objects, seed = 2)
    private val one = put("accounts/demo", Account(1, 1))
    private val two = put("accounts/county", Account(2, 2))
    private val root = StoreOptions().rootName

    private fun isRootWrite(effect: StoreEffect) = effect is StoreEffect.WriteObject && effect.name == root

    @Nested
    inner class Submitting {
        @Test
        fun `an accepted change is what another daemon loads`() {
            assertEquals(SubmitOutcome.Accepted(1), first.submit(change("c1", 0, one)))
            second.load()
            assertEquals(first.store.tree.all(), second.store.tree.all())
            assertEquals(listOf(1L), second.revisions)
        }

        @Test
        fun `the loser of a race sees the change that won`() {
            second.load()
            first.submit(change("c1", 0, one))
            val outcome = assertIs<SubmitOutcome.Conflict>(second.submit(change("c2", 0, two)))
            assertEquals("c1", outcome.winner.change.id)
            assertEquals(listOf<Edit>(one), outcome.winner.change.edits)
            assertNull(second.store.tree.entry("accounts/county"))
        }

        @Test
        fun `a change on a newer base than this daemon has is accepted after a read`() {
            second.load()
            first.submit(change("c1", 0, one))
            assertEquals(SubmitOutcome.Accepted(2), second.submit(change("c2", 1, two)))
        }

        @Test
        fun `an invalid change writes nothing`() {
            assertIs<SubmitOutcome.Invalid>(first.submit(change("c1", 0, put("accounts/x", Account(-1, 1)))))
            assertIs<SubmitOutcome.Invalid>(first.submit(change("c2", 7, one)))
            assertEquals(0, objects.writes)
        }

        @Test
        fun `a change after a revision from a peer builds on what the platform has`() {
            first.submit(change("c1", 0, one))
            second.store.adopt(0, first.store.tree)
            assertEquals(SubmitOutcome.Accepted(2), second.submit(change("c2", 1, two)))
        }

        @Test
        fun `more changes than may wait are refused`() {
            val run = StoreRun(objects, options = StoreOptions(maxWaiting = 1))
            for (id in listOf("c1", "c2", "c3")) run.take(run.store.submit(0, change(id, 0, one)))
            assertIs<SubmitOutcome.Busy>(run.outcomes["c3"])
        }
    }

    @Nested
    inner class LostAnswers {
        @Test
        fun `a lost answer is settled by reading the change id back`() {
            var lost = 0
            objects.fault =
                { if (isRootWrite(it) && lost++ == 0) FakeObjects.Fault.LOST_AFTER else FakeObjects.Fault.NONE }
            assertEquals(SubmitOutcome.Accepted(1), first.submit(change("c1", 0, one)))
            assertEquals(1, lost)
        }

        @Test
        fun `an update that was lost on the way is sent again`() {
            var lost = 0
            objects.fault =
                { if (isRootWrite(it) && lost++ == 0) FakeObjects.Fault.LOST_BEFORE else FakeObjects.Fault.NONE }
            assertEquals(SubmitOutcome.Accepted(1), first.submit(change("c1", 0, one)))
        }

        @Test
        fun `a change stays unknown while the platform is silent and the same id settles it later`() {
            objects.fault = { if (isRootWrite(it)) FakeObjects.Fault.LOST_AFTER else FakeObjects.Fault.NONE }
            var reads = 0
            val usual = objects.fault
            objects.fault =
                { if (it is StoreEffect.ReadObject && reads++ > 0) FakeObjects.Fault.UNAVAILABLE else usual(it) }
            assertEquals(SubmitOutcome.Unknown, first.submit(change("c1", 0, one)))
            objects.fault = { FakeObjects.Fault.NONE }
            assertEquals(SubmitOutcome.Accepted(1), second.submit(change("c1", 0, one)))
        }

        @Test
        fun `a change that never reached the root ends as unavailable`() {
            objects.fault =
                { if (it is StoreEffect.WriteObject) FakeObjects.Fault.UNAVAILABLE else FakeObjects.Fault.NONE }
            assertIs<SubmitOutcome.Unavailable>(first.submit(change("c1", 0, one)))
            assertEquals(emptySet(), objects.names)
        }
    }

    @Nested
    inner class Loading {
        @Test
        fun `an unreadable revision leaves the last good one in force and is reported`() {
            first.submit(change("c1", 0, one))
            second.load()
            val good = objects.value(root)!!
            objects.replace(root, "not a root")
            second.load()
            assertEquals(1, second.store.tree.revision)
            assertEquals(1, second.faults.size)
            objects.replace(root, good)
            second.settle(ticks = 100)
            assertEquals(SubmitOutcome.Accepted(2), second.submit(change("c2", 1, two), now = 20_000_000_000))
        }

        @Test
        fun `a chunk whose content does not match its address is refused`() {
            first.submit(change("c1", 0, one))
            val chunk = objects.names.first { name -> objects.value(name)!!.startsWith("{\"entries\"") }
            first.submit(change("c2", 1, put("dataCentres/a", DataCentre("south"))))
            objects.replace(
                chunk,
                """{"entries":{"accounts/demo":{"type":"account","tokensPerSecond":9,"burstTokens":9}}}""",
            )
            second.load()
            assertEquals(0, second.store.tree.revision)
            assertTrue("SHA-256" in second.faults.single().reason)
        }

        @Test
        fun `an older root never replaces a newer revision`() {
            first.submit(change("c1", 0, one))
            val old = objects.value(root)!!
            first.submit(change("c2", 1, two))
            second.load()
            objects.replace(root, old)
            second.load()
            assertEquals(2, second.store.tree.revision)
            assertEquals(listOf(2L), second.revisions)
        }

        @Test
        fun `one change costs one chunk one record and the root`() {
            val many = (0 until 5_000).map { put("w/adapters/m$it", adapter(1)) }
            first.submit(change("c1", 0, *many.toTypedArray()))
            second.load()
            val before = objects.writes
            first.submit(change("c2", 1, put("w/adapters/m77", adapter(2))))
            assertEquals(3, objects.writes - before)
            assertTrue(objects.largest <= 256 * 1_024, "${objects.largest}")
            second.take(second.store.load(0))
            assertEquals(1, second.open.size)
            second.step(0)
            assertEquals(2, second.store.tree.revision)
        }
    }

    @Nested
    inner class Records {
        @Test
        fun `history lists the newest change first and undo leads back`() {
            first.submit(change("c1", 0, one))
            first.submit(change("c2", 1, put("accounts/demo", Account(7, 7)), two))
            first.take(first.store.history(0, 1, 10))
            first.settle()
            val records = first.history!!
            assertEquals(listOf("c2" to 2L, "c1" to 1L), records.map { it.change.id to it.revision })
            assertEquals(listOf(Edit.Remove("accounts/county"), one), records[0].undo)
        }

        @Test
        fun `the record of a large change keeps all its edits`() {
            val many = (0 until 3_000).map { put("w/adapters/m$it", adapter(1)) }
            first.submit(change("c1", 0, *many.toTypedArray()))
            first.submit(change("c2", 1, one))
            first.take(first.store.history(0, 1, 10))
            first.settle()
            assertEquals(many, first.history!![1].change.edits)
            assertEquals(3_000, first.history!![1].undo.size)
        }
    }
}
