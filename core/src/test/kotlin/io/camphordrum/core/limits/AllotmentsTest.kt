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

    private fun machine(centre: DataCentreId, generation: Long): Allotments {
        val machine = Allotments(centre, listOf(a, b))
        machine.lead(now, generation)
        return machine
    }

    private fun Allotments.readBack(): List<AllotmentEffect> = read(now, record, version)

    // Advances until the machine writes, answering its reads; returns null if it does not write within 10 s.
    private fun Allotments.nextWrite(): AllotmentEffect.WriteAllotments? {
        repeat(10) {
            now += SECONDS
            for (effect in tick(now) + readBack()) if (effect is AllotmentEffect.WriteAllotments) return effect
        }
        return null
    }

    private fun apply(write: AllotmentEffect.WriteAllotments): WriteOutcome {
        if (write.expectedVersion != version) return WriteOutcome.Conflict
        record = write.record
        version++
        return WriteOutcome.Applied(0)
    }

    private fun claimed(centre: DataCentreId, generation: Long): Allotments {
        val machine = machine(centre, generation)
        machine.written(now, apply(machine.nextWrite()!!))
        machine.readBack()
        return machine
    }

    @Nested
    inner class Claim {
        @Test
        fun `is needed before any part may be held`() {
            val machine = machine(a, 1)
            assertNull(machine.parts(account))
            machine.written(now, apply(machine.nextWrite()!!))
            assertEquals(500_000, machine.parts(account))
            assertTrue(machine.fresh)
        }

        @Test
        fun `of a later generation is not fresh`() {
            claimed(a, 1)
            assertFalse(claimed(a, 2).fresh)
        }

        @Test
        fun `stops a late write of an older coordinator`() {
            claimed(b, 1)
            val old = claimed(a, 1)
            old.give(b, account, 100_000)
            val late = old.nextWrite()!!
            val next = claimed(a, 2)
            assertEquals(WriteOutcome.Conflict, apply(late))
            assertEquals(500_000, next.parts(account))
            old.written(now, WriteOutcome.Conflict)
            old.readBack()
            assertNull(old.parts(account))
            assertNull(old.nextWrite())
        }
    }

    @Nested
    inner class LostAnswer {
        @Test
        fun `of an applied write is settled by reading back`() {
            val machine = claimed(a, 1)
            machine.give(b, account, 100_000)
            apply(machine.nextWrite()!!)
            machine.written(now, WriteOutcome.Unknown)
            machine.readBack()
            assertEquals(400_000, machine.parts(account))
            assertEquals(600_000, record!!.parts(b, account))
            assertNull(machine.nextWrite())
        }

        @Test
        fun `keeps the given parts back while the write may still take effect`() {
            val machine = claimed(a, 1)
            machine.give(b, account, 100_000)
            val first = machine.nextWrite()!!
            machine.written(now, WriteOutcome.Unknown)
            machine.readBack()
            assertEquals(400_000, machine.parts(account))
            val second = machine.nextWrite()!!
            assertEquals(first, second)
            apply(first)
            machine.written(now, apply(second))
            assertEquals(400_000, machine.parts(account))
            machine.readBack()
            assertEquals(400_000, machine.parts(account))
            assertEquals(600_000, record!!.parts(b, account))
        }

        @Test
        fun `returns the given parts when another write came first`() {
            val other = claimed(b, 1)
            val machine = claimed(a, 1)
            machine.give(b, account, 100_000)
            val lost = machine.nextWrite()!!
            other.want(mapOf(account to 300_000))
            // The first attempt conflicts with the claim of the data centre a.
            repeat(2) { other.written(now, apply(other.nextWrite()!!)) }
            machine.written(now, WriteOutcome.Unknown)
            machine.readBack()
            assertEquals(WriteOutcome.Conflict, apply(lost))
            assertEquals(500_000, machine.parts(account))
        }
    }

    @Nested
    inner class Demand {
        @Test
        fun `that is steady causes no write`() {
            val machine = claimed(a, 1)
            machine.want(mapOf(account to 200_000))
            machine.written(now, apply(machine.nextWrite()!!))
            for (parts in listOf(205_000, 190_000, 198_000)) {
                machine.want(mapOf(account to parts))
                assertNull(machine.nextWrite())
            }
        }

        @Test
        fun `of another data centre is met from what is not used here`() {
            val other = claimed(b, 1)
            other.want(mapOf(account to 900_000))
            other.written(now, apply(other.nextWrite()!!))
            val machine = claimed(a, 1)
            machine.want(mapOf(account to 180_000))
            assertEquals(mapOf(account to (b to 280_000)), machine.requests())
        }

        @Test
        fun `above the limit everywhere moves nothing below the even split`() {
            val other = claimed(b, 1)
            other.want(mapOf(account to AllotmentRecord.PARTS))
            other.written(now, apply(other.nextWrite()!!))
            val machine = claimed(a, 1)
            machine.want(mapOf(account to AllotmentRecord.PARTS))
            assertEquals(emptyMap(), machine.requests())
        }
    }

    @Test
    fun `an unreachable platform leaves the allotment as it is`() {
        val machine = claimed(a, 1)
        machine.want(mapOf(account to 200_000))
        machine.nextWrite()
        val effects = machine.written(now, WriteOutcome.Unavailable)
        assertIs<AllotmentEffect.ReadAllotments>(effects.single())
        assertEquals(500_000, machine.parts(account))
    }
}
