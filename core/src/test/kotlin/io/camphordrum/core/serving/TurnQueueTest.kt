package io.camphordrum.core.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class TurnQueueTest {
    private val clock = ManualClock()
    private val queue = TurnQueue { EngineSpeed().pace(eventTokens = 4, pauseMillis = 300) }

    private fun addRequest(id: String, tokens: Int, priority: Int = 1, waitMillis: Long = 800) = queue.add(
        clock.nanos,
        TurnQueue.TurnRequest("edge", id, tokens, priority, clock.nanos + waitMillis * 1_000_000),
    )

    private fun grantedIds(room: Int = 64) = queue.grantDue(clock.nanos, room, slowness = 1.0).first.map { it.id }

    // Guards against pauses over 300 ms while many prompts of 1,500 tokens arrive at once. Such pauses caused 1,324 of
    // 1,445 late streams.
    @Test
    fun `a burst of prompts keeps the pauses of running streams short`() {
        repeat(40) { addRequest("r$it", 1_500, waitMillis = 60_000) }
        val grants = ArrayList<Pair<Long, Int>>()
        repeat(400) {
            clock.advance(10)
            grantedIds().forEach { grants += clock.nanos / 1_000_000 to 1_500 }
        }
        for ((at, _) in grants) {
            val read = grants.filter { it.first in at until at + 300 }.sumOf { it.second }
            assertTrue(read / 19.1 + 4 * 10 < 300, "$read tokens in 300 ms")
        }
        assertTrue(grants.size >= 28, "${grants.size} grants in 4 s")
    }

    @Test
    fun `a prompt larger than the bucket is granted its turn when the bucket is full`() {
        grantedIds()
        addRequest("large", 4_000)
        assertEquals(listOf("large"), grantedIds())
        addRequest("next", 100)
        assertEquals(emptyList(), grantedIds())
        clock.advance(400)
        assertEquals(listOf("next"), grantedIds())
    }

    @Test
    fun `urgent requests are granted turns first`() {
        grantedIds()
        addRequest("first", 1_600)
        assertEquals(listOf("first"), grantedIds())
        addRequest("plain", 1_000, priority = 2)
        addRequest("urgent", 1_000, priority = 0)
        clock.advance(100)
        assertEquals(listOf("urgent"), grantedIds())
    }

    // Guards against requests that wait although their turn cannot be granted in time.
    @Test
    fun `a request whose turn would come too late is refused at once`() {
        grantedIds()
        repeat(6) { assertTrue(addRequest("r$it", 1_500)) }
        assertFalse(addRequest("late", 1_500, waitMillis = 300))
    }

    @Test
    fun `no more turns are granted than the engine has free slots`() {
        grantedIds()
        repeat(5) { addRequest("r$it", 10) }
        assertEquals(listOf("r0", "r1"), grantedIds(room = 2))
    }

    @Test
    fun `a cancelled request gets no turn`() {
        grantedIds()
        addRequest("a", 10)
        queue.cancel("a")
        assertEquals(emptyList(), grantedIds())
    }
}
