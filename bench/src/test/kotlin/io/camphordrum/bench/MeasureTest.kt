package io.camphordrum.bench

import org.junit.jupiter.api.Nested
import java.util.zip.CRC32
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Verifies that each check of the load tool reports a violation when there is one. */
class MeasureTest {
    private val arrival = Arrival("1-0", 0, 0, "reports@7", 3)
    private val checksum = "%08x".format(CRC32().apply { update(arrival.prompt.toByteArray()) }.value)

    private fun stream(vararg tokens: String, complete: Boolean = true): String =
        tokens.joinToString("") { "data: {\"choices\":[{\"text\":\"$it\"}]}\n\n" } +
            if (complete) "data: [DONE]\n\n" else ""

    private fun ending(text: String) = AnswerChecker.checkStream(arrival, text).ending

    @Nested
    inner class OfAnswerChecker {
        @Test
        fun `a complete answer is whole`() {
            assertEquals(Ending.WHOLE, ending(stream("reports@7 d $checksum", " $checksum:1", " $checksum:2")))
        }

        @Test
        fun `a missing token is torn`() {
            assertEquals(Ending.TORN, ending(stream("reports@7 d $checksum", " $checksum:2")))
        }

        @Test
        fun `a token of another answer is torn`() {
            assertEquals(Ending.TORN, ending(stream("reports@7 d $checksum", " 00000000:1", " $checksum:2")))
        }

        @Test
        fun `a stream without its end marker is torn`() {
            val tokens = arrayOf("reports@7 d $checksum", " $checksum:1", " $checksum:2")
            assertEquals(Ending.TORN, ending(stream(*tokens, complete = false)))
        }

        @Test
        fun `an answer from another version is a wrong adapter`() {
            assertEquals(Ending.WRONG_ADAPTER, ending(stream("reports@6 d $checksum", " $checksum:1", " $checksum:2")))
        }

        @Test
        fun `an error event after the first token is not torn`() {
            val partial = stream("reports@7 d $checksum", complete = false)
            assertEquals(Ending.ERROR_EVENT, ending(partial + "event: error\ndata: {\"error\":{\"code\":\"x\"}}\n\n"))
        }
    }

    @Nested
    inner class OfRateMeter {
        @Test
        fun `tokens at the rate leave no excess beyond one request`() {
            val meter = RateMeter(100)
            for (second in 0L..9) meter.add(second * 1_000_000_000, 100)
            assertEquals(100.0, meter.largestExcessTokens)
        }

        @Test
        fun `a burst after an idle period counts in full`() {
            val meter = RateMeter(100)
            meter.add(60_000_000_000, 500)
            meter.add(60_000_000_000, 500)
            assertEquals(1000.0, meter.largestExcessTokens)
        }

        @Test
        fun `a reference token bucket covers the burst and no more`() {
            val bucket = ReferenceTokenBucket(10, 100)
            assertTrue(bucket.isWithinLimit(0, 100, true))
            assertFalse(bucket.isWithinLimit(0, 1, false))
            assertTrue(bucket.isWithinLimit(1_000_000_000, 10, true))
        }
    }

    @Nested
    inner class OfWorkload {
        private val size = checkNotNull(Size.read("kanalirada"))

        @Test
        fun `the same seed gives the same plan`() {
            assertEquals(Workload(size, 5, 10).plan(), Workload(size, 5, 10).plan())
        }

        @Test
        fun `a flood multiplies the requests of one account only`() {
            val steady = Workload(size, 5, 30).plan()
            val flooded = Workload(size, 5, 30).plan(flood = Workload.Flood(0, 0.0..30.0))
            fun countCompletions(plan: List<Arrival>, account: Int) =
                plan.count { it.account == account && it.adapter != null }
            assertTrue(countCompletions(flooded, 0) > 4 * countCompletions(steady, 0))
            assertTrue(countCompletions(flooded, 1) < 2 * countCompletions(steady, 1))
        }

        @Test
        fun `the best fixed placement loads each popular adapter once`() {
            val plan = listOf("a", "a", "b", "c", "c", "a").map { Arrival("", 0, 0, it, 1) }
            assertEquals(3, bestFixedLoads(plan, slots = 2))
        }
    }
}
