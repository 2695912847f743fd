package io.camphordrum.core.config

import io.camphordrum.core.config.FakeObjectStore.Fault
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ConfigStoreTest {
    private val objects = FakeObjectStore()
    private val first = StoreRun(objects, seed = 1)
    private val second = StoreRun(objects, seed = 2)
    private val putDemo = put("accounts/demo", Account(1, 1))
    private val putCounty = put("accounts/county", Account(2, 2))
    private val root = StoreOptions().rootName

    private fun isRootWrite(effect: StoreEffect) = effect is StoreEffect.WriteObject && effect.name == root

    @Nested
    inner class Submitting {
        @Test
        fun `an accepted change is what another daemon loads`() {
            assertEquals(SubmitOutcome.Accepted(1), first.submit(change("c1", 0, putDemo)))
            second.load()
            assertEquals(first.store.tree.allEntries(), second.store.tree.allEntries())
            assertEquals(listOf(1L), second.revisions)
        }

        @Test
        fun `a conflicting change is refused with the winning change`() {
            second.load()
            first.submit(change("c1", 0, putDemo))
            val outcome = assertIs<SubmitOutcome.Conflict>(second.submit(change("c2", 0, putCounty)))
            assertEquals("c1", outcome.winner.change.id)
            assertEquals(listOf<Edit>(putDemo), outcome.winner.change.edits)
            assertNull(second.store.tree.entry("accounts/county"))
        }

        @Test
        fun `a change based on a revision newer than the local one is accepted after a read`() {
            second.load()
            first.submit(change("c1", 0, putDemo))
            assertEquals(SubmitOutcome.Accepted(2), second.submit(change("c2", 1, putCounty)))
        }

        @Test
        fun `an invalid change writes nothing`() {
            assertIs<SubmitOutcome.Invalid>(first.submit(change("c1", 0, put("accounts/x", Account(-1, 1)))))
            assertIs<SubmitOutcome.Invalid>(first.submit(change("c2", 7, putDemo)))
            assertEquals(0, objects.writes)
        }

        @Test
        fun `a change after a revision from a peer is based on the root of the platform`() {
            first.submit(change("c1", 0, putDemo))
            second.store.adopt(0, first.store.tree)
            assertEquals(SubmitOutcome.Accepted(2), second.submit(change("c2", 1, putCounty)))
        }

        @Test
        fun `a change is refused when the queue is full`() {
            val run = StoreRun(objects, options = StoreOptions(maxQueuedChanges = 1))
            for (id in listOf("c1", "c2", "c3")) run.handle(run.store.submit(0, change(id, 0, putDemo)))
            assertIs<SubmitOutcome.Busy>(run.outcomes["c3"])
        }
    }

    @Nested
    inner class LostAnswers {
        @Test
        fun `a lost answer is resolved by reading back the change id`() {
            var rootWrites = 0
            objects.fault =
                { if (isRootWrite(it) && rootWrites++ == 0) Fault.LOST_AFTER else Fault.NONE }
            assertEquals(SubmitOutcome.Accepted(1), first.submit(change("c1", 0, putDemo)))
            assertEquals(1, rootWrites)
        }

        @Test
        fun `an update lost before it took effect is sent again`() {
            var rootWrites = 0
            objects.fault =
                { if (isRootWrite(it) && rootWrites++ == 0) Fault.LOST_BEFORE else Fault.NONE }
            assertEquals(SubmitOutcome.Accepted(1), first.submit(change("c1", 0, putDemo)))
        }

        @Test
        fun `a change is unknown while the platform is unavailable and resubmitting its id resolves it`() {
            objects.fault = { if (isRootWrite(it)) Fault.LOST_AFTER else Fault.NONE }
            var reads = 0
            val rootWriteFault = objects.fault
            objects.fault =
                { if (it is StoreEffect.ReadObject && reads++ > 0) Fault.UNAVAILABLE else rootWriteFault(it) }
            assertEquals(SubmitOutcome.Unknown, first.submit(change("c1", 0, putDemo)))
            objects.fault = { Fault.NONE }
            assertEquals(SubmitOutcome.Accepted(1), second.submit(change("c1", 0, putDemo)))
        }

        @Test
        fun `a change that never reached the root ends as unavailable`() {
            objects.fault =
                { if (it is StoreEffect.WriteObject) Fault.UNAVAILABLE else Fault.NONE }
            assertIs<SubmitOutcome.Unavailable>(first.submit(change("c1", 0, putDemo)))
            assertEquals(emptySet(), objects.names)
        }
    }

    @Nested
    inner class Loading {
        @Test
        fun `an unreadable revision leaves the last valid one in force and is reported`() {
            first.submit(change("c1", 0, putDemo))
            second.load()
            val validRoot = objects.value(root)!!
            objects.overwrite(root, "not a root")
            second.load()
            assertEquals(1, second.store.tree.revision)
            assertEquals(1, second.unreadable.size)
            objects.overwrite(root, validRoot)
            second.completeAllCalls(ticks = 100)
            assertEquals(SubmitOutcome.Accepted(2), second.submit(change("c2", 1, putCounty), now = 20_000_000_000))
        }

        @Test
        fun `a chunk whose content does not match its address is refused`() {
            first.submit(change("c1", 0, putDemo))
            val chunk = objects.names.first { name -> objects.value(name)!!.startsWith("{\"entries\"") }
            first.submit(change("c2", 1, put("dataCentres/a", DataCentre("south"))))
            objects.overwrite(
                chunk,
                """{"entries":{"accounts/demo":{"type":"account","tokensPerSecond":9,"burstTokens":9}}}""",
            )
            second.load()
            assertEquals(0, second.store.tree.revision)
            assertTrue("SHA-256" in second.unreadable.single().reason)
        }

        @Test
        fun `an older root never replaces a newer revision`() {
            first.submit(change("c1", 0, putDemo))
            val oldRoot = objects.value(root)!!
            first.submit(change("c2", 1, putCounty))
            second.load()
            objects.overwrite(root, oldRoot)
            second.load()
            assertEquals(2, second.store.tree.revision)
            assertEquals(listOf(2L), second.revisions)
        }

        @Test
        fun `one change writes one chunk one record and the root`() {
            val many = (0 until 5_000).map { put("w/adapters/m$it", adapter(1)) }
            first.submit(change("c1", 0, *many.toTypedArray()))
            second.load()
            val before = objects.writes
            first.submit(change("c2", 1, put("w/adapters/m77", adapter(2))))
            assertEquals(3, objects.writes - before)
            assertTrue(objects.largestBytes <= 256 * 1_024, "${objects.largestBytes}")
            second.handle(second.store.load(0))
            assertEquals(1, second.pendingCalls.size)
            second.completeCall(0)
            assertEquals(2, second.store.tree.revision)
        }
    }

    @Nested
    inner class Records {
        @Test
        fun `history lists the newest change first and undo restores the previous revision`() {
            first.submit(change("c1", 0, putDemo))
            first.submit(change("c2", 1, put("accounts/demo", Account(7, 7)), putCounty))
            first.handle(first.store.history(0, 1, 10))
            first.completeAllCalls()
            val records = first.history!!
            assertEquals(listOf("c2" to 2L, "c1" to 1L), records.map { it.change.id to it.revision })
            assertEquals(listOf(Edit.Remove("accounts/county"), putDemo), records[0].undo)
        }

        @Test
        fun `the record of a large change keeps all its edits`() {
            val many = (0 until 3_000).map { put("w/adapters/m$it", adapter(1)) }
            first.submit(change("c1", 0, *many.toTypedArray()))
            first.submit(change("c2", 1, putDemo))
            first.handle(first.store.history(0, 1, 10))
            first.completeAllCalls()
            assertEquals(many, first.history!![1].change.edits)
            assertEquals(3_000, first.history!![1].undo.size)
        }
    }
}
