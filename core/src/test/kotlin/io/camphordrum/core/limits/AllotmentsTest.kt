package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.WriteOutcome
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

class AllotmentsTest {
    private val account = AccountId("acme")
    private val a = DataCentreId("a")
    private val b = DataCentreId("b")
    private var record: AllotmentRecord? = null
    private var version = 0L
    private var now = 0L

    private fun allotments(dataCentre: DataCentreId, generation: Long): Allotments {
        val allotments = Allotments(dataCentre, listOf(a, b))
        allotments.setGeneration(now, generation)
        return allotments
    }

    private fun Allotments.readObject(): List<AllotmentEffect> = onRead(now, record, version)

    // Advances the time and answers reads until a write is due; returns null if there is none within 10 s.
    private fun Allotments.nextWrite(): AllotmentEffect.WriteAllotments? {
        repeat(10) {
            now += SECONDS
            for (effect in tick(now) + readObject()) if (effect is AllotmentEffect.WriteAllotments) return effect
        }
        return null
    }

    private fun apply(write: AllotmentEffect.WriteAllotments): WriteOutcome {
        if (write.expectedVersion != version) return WriteOutcome.Conflict
        record = write.record
        version++
        return WriteOutcome.Applied(0)
    }

    private fun claimedAllotments(dataCentre: DataCentreId, generation: Long): Allotments {
        val allotments = allotments(dataCentre, generation)
        allotments.onWritten(now, apply(allotments.nextWrite()!!))
        allotments.readObject()
        return allotments
    }

    @Nested
    inner class Claim {
        @Test
        fun `is required before any part may be held`() {
            val allotments = allotments(a, 1)
            assertNull(allotments.parts(account))
            allotments.onWritten(now, apply(allotments.nextWrite()!!))
            assertEquals(500_000, allotments.parts(account))
            assertTrue(allotments.entryCreated)
        }

        @Test
        fun `of a later generation does not count as creating the entry`() {
            claimedAllotments(a, 1)
            assertFalse(claimedAllotments(a, 2).entryCreated)
        }

        @Test
        fun `rejects a delayed write of an older coordinator`() {
            claimedAllotments(b, 1)
            val old = claimedAllotments(a, 1)
            old.queueTransfer(b, account, 100_000)
            val delayed = old.nextWrite()!!
            val next = claimedAllotments(a, 2)
            assertEquals(WriteOutcome.Conflict, apply(delayed))
            assertEquals(500_000, next.parts(account))
            old.onWritten(now, WriteOutcome.Conflict)
            old.readObject()
            assertNull(old.parts(account))
            assertNull(old.nextWrite())
        }
    }

    @Nested
    inner class LostAnswer {
        @Test
        fun `of an applied write is resolved by reading the object`() {
            val allotments = claimedAllotments(a, 1)
            allotments.queueTransfer(b, account, 100_000)
            apply(allotments.nextWrite()!!)
            allotments.onWritten(now, WriteOutcome.Unknown)
            allotments.readObject()
            assertEquals(400_000, allotments.parts(account))
            assertEquals(600_000, record!!.parts(b, account))
            assertNull(allotments.nextWrite())
        }

        @Test
        fun `leaves transferred parts unavailable while the write may still take effect`() {
            val allotments = claimedAllotments(a, 1)
            allotments.queueTransfer(b, account, 100_000)
            val first = allotments.nextWrite()!!
            allotments.onWritten(now, WriteOutcome.Unknown)
            allotments.readObject()
            assertEquals(400_000, allotments.parts(account))
            val second = allotments.nextWrite()!!
            assertEquals(first, second)
            apply(first)
            allotments.onWritten(now, apply(second))
            assertEquals(400_000, allotments.parts(account))
            allotments.readObject()
            assertEquals(400_000, allotments.parts(account))
            assertEquals(600_000, record!!.parts(b, account))
        }

        @Test
        fun `returns the transferred parts when another write was applied first`() {
            val other = claimedAllotments(b, 1)
            val allotments = claimedAllotments(a, 1)
            allotments.queueTransfer(b, account, 100_000)
            val lost = allotments.nextWrite()!!
            other.setDemand(mapOf(account to 300_000))
            // The first write conflicts with the claim of data centre a.
            repeat(2) { other.onWritten(now, apply(other.nextWrite()!!)) }
            allotments.onWritten(now, WriteOutcome.Unknown)
            allotments.readObject()
            assertEquals(WriteOutcome.Conflict, apply(lost))
            assertEquals(500_000, allotments.parts(account))
        }
    }

    @Nested
    inner class Demand {
        @Test
        fun `that is steady causes no write`() {
            val allotments = claimedAllotments(a, 1)
            allotments.setDemand(mapOf(account to 200_000))
            allotments.onWritten(now, apply(allotments.nextWrite()!!))
            for (parts in listOf(205_000, 190_000, 198_000)) {
                allotments.setDemand(mapOf(account to parts))
                assertNull(allotments.nextWrite())
            }
        }

        @Test
        fun `of another data centre is met from parts that this one does not use`() {
            val other = claimedAllotments(b, 1)
            other.setDemand(mapOf(account to 900_000))
            other.onWritten(now, apply(other.nextWrite()!!))
            val allotments = claimedAllotments(a, 1)
            allotments.setDemand(mapOf(account to 180_000))
            assertEquals(mapOf(account to (b to 280_000)), allotments.transferRequests())
        }

        @Test
        fun `above the limit in all data centres transfers nothing below the even split`() {
            val other = claimedAllotments(b, 1)
            other.setDemand(mapOf(account to AllotmentRecord.PARTS))
            other.onWritten(now, apply(other.nextWrite()!!))
            val allotments = claimedAllotments(a, 1)
            allotments.setDemand(mapOf(account to AllotmentRecord.PARTS))
            assertEquals(emptyMap(), allotments.transferRequests())
        }
    }

    @Test
    fun `an unreachable platform leaves the allotment unchanged`() {
        val allotments = claimedAllotments(a, 1)
        allotments.setDemand(mapOf(account to 200_000))
        allotments.nextWrite()
        val effects = allotments.onWritten(now, WriteOutcome.Unavailable)
        assertIs<AllotmentEffect.ReadAllotments>(effects.single())
        assertEquals(500_000, allotments.parts(account))
    }
}
