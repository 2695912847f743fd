package io.camphordrum.bench

import org.junit.jupiter.api.Nested
import java.util.zip.CRC32
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards the judgements of the load tool: each check is shown to be able to fail. */
class MeasureTest {
    private val arrival = Arrival("1-0", 0, 0, "reports@7", 3)
    private val checksum = "%08x".format(CRC32().apply { update(arrival.prompt.toByteArray()) }.value)

    private fun stream(vararg tokens: String, done: Boolean = true): String =
        tokens.joinToString("") { "data: {\"choices\":[{\"text\":\"$it\"}]}\n\n" } +
            if (done) "data: [DONE]\n\n" else ""

    private fun ending(text: String) = AnswerChecker.stream(arrival, text).ending

    @Nested
    inner class OfAnswerChecker {
        @Test
        fun `a whole answer is recognised`() {
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
        fun `a stream without its end is torn`() {
            val tokens = arrayOf("reports@7 d $checksum", " $checksum:1", " $checksum:2")
            assertEquals(Ending.TORN, ending(stream(*tokens, done = false)))
        }

        @Test
        fun `another version is a wrong adapter`() {
            assertEquals(Ending.WRONG_ADAPTER, ending(stream("reports@6 d $checksum", " $checksum:1", " $checksum:2")))
        }

        @Test
        fun `an error event after the first token is not torn`() {
            val begun = stream("reports@7 d $checksum", done = false)
            assertEquals(Ending.ERROR_EVENT, ending(begun + "event: error\ndata: {\"error\":{\"code\":\"x\"}}\n\n"))
        }
    }

    @Nested
    inner class OfRateMeter {
        @Test
        fun `tokens at the rate leave no excess beyond one request`() {
            val meter = RateMeter(100)
            for (second in 0L..9) meter.add(second * 1_000_000_000, 100)
            assertEquals(100.0, meter.largest)
        }

        @Test
        fun `a burst after an idle time counts in full`() {
            val meter = RateMeter(100)
            meter.add(60_000_000_000, 500)
            meter.add(60_000_000_000, 500)
            assertEquals(1000.0, meter.largest)
        }

        @Test
        fun `a shadow bucket covers the burst and no more`() {
            val bucket = ShadowBucket(10, 100)
            assertTrue(bucket.inside(0, 100, true))
            assertFalse(bucket.inside(0, 1, false))
            assertTrue(bucket.inside(1_000_000_000, 10, true))
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
            val plain = Workload(size, 5, 30).plan()
            val flooded = Workload(size, 5, 30).plan(flood = Workload.Flood(0, 0.0..30.0))
            fun count(plan: List<Arrival>, account: Int) = plan.count { it.account == account && it.adapter != null }
            assertTrue(count(flooded, 0) > 4 * count(plain, 0))
            assertTrue(count(flooded, 1) < 2 * count(plain, 1))
        }

        @Test
        fun `the best fixed placement loads each popular adapter once`() {
            val plan = listOf("a", "a", "b", "c", "c", "a").map { Arrival("", 0, 0, it, 1) }
            assertEquals(3, bestFixedLoads(plan, slots = 2))
        }
    }
}
