package io.camphordrum.core.turns

import io.camphordrum.core.serving.EngineSpeed
import io.camphordrum.core.serving.ManualClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class PromptQueueTest {
    private val clock = ManualClock()
    private val queue = PromptQueue { EngineSpeed().pace(eventTokens = 4, pauseMillis = 300, slowness = it) }

    private fun addRequest(id: String, tokens: Int, priority: Int = 1, waitMillis: Long = 800) = queue.add(
        clock.nanos,
        QueuedPrompt("edge", id, tokens, priority, clock.nanos + waitMillis * 1_000_000),
    )

    private fun grantedIds(room: Int = 64) = queue.grantDue(clock.nanos, room, slowness = 1.0).granted.map { it.id }

    // Guards against late requests that take the room of those that can be in time.
    @Test
    fun `a prompt that is too late waits for a full bucket`() {
        val queue =
            PromptQueue(spareRank = 20) { EngineSpeed().pace(eventTokens = 4, pauseMillis = 300, slowness = it) }
        fun add(id: String, tokens: Int, rank: Int) =
            assertTrue(queue.add(clock.nanos, QueuedPrompt("edge", id, tokens, rank, clock.nanos + 800_000_000)))
        fun granted() = queue.grantDue(clock.nanos, 64, slowness = 1.0).granted.map { it.id }
        add("first", 200, rank = 1)
        add("late", 200, rank = 20)
        assertEquals(listOf("first"), granted())
        add("second", 200, rank = 1)
        assertEquals(listOf("second"), granted())
        clock.advance(50)
        assertEquals(listOf("late"), granted())
    }

    // Guards against pauses over 300 ms while many prompts of 1,500 tokens arrive at once.
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

    // Guards against pauses at an engine that is slower than the others of its service.
    @Test
    fun `a burst of prompts keeps the pauses short at a slow engine`() {
        queue.grantDue(clock.nanos, 64, slowness = 1.6)
        repeat(40) { addRequest("r$it", 800, waitMillis = 60_000) }
        val grants = ArrayList<Long>()
        repeat(400) {
            clock.advance(10)
            repeat(queue.grantDue(clock.nanos, 64, slowness = 1.6).granted.size) { grants += clock.nanos / 1_000_000 }
        }
        for (at in grants) {
            val read = grants.count { it in at until at + 300 } * 800
            assertTrue(read / (19.1 / 1.6) + 4 * 10 * 1.6 < 300, "$read tokens in 300 ms")
        }
        assertTrue(grants.size >= 20, "${grants.size} grants in 4 s")
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
        repeat(7) { assertTrue(addRequest("r$it", 1_500)) }
        assertFalse(addRequest("late", 1_500))
    }

    // Guards against an accepted prompt that is refused after a wait because others of its rank passed it.
    @Test
    fun `a request that would make an accepted one late is refused at once`() {
        grantedIds()
        repeat(7) { assertTrue(addRequest("r$it", 1_500)) }
        assertFalse(addRequest("earlier", 1_500, waitMillis = 300))
    }

    @Test
    fun `a request that is due earlier is granted its turn first`() {
        grantedIds()
        addRequest("later", 1_000)
        addRequest("sooner", 1_000, waitMillis = 300)
        assertEquals(listOf("sooner"), grantedIds())
    }

    // Guards against waits that end in a refusal that was known when a more urgent prompt arrived.
    @Test
    fun `a prompt that a more urgent one makes late is refused at once`() {
        grantedIds()
        repeat(7) { addRequest("r$it", 1_500) }
        assertTrue(addRequest("urgent", 1_500, priority = 0))
        assertEquals(listOf("r6"), queue.grantDue(clock.nanos, 0, slowness = 1.0).refused.map { it.id })
    }

    @Test
    fun `a short prompt that fits passes a long one that still has time`() {
        grantedIds()
        addRequest("first", 1_600)
        assertEquals(listOf("first"), grantedIds())
        addRequest("long", 3_000)
        addRequest("short", 200)
        clock.advance(30)
        assertEquals(listOf("short"), grantedIds())
    }

    @Test
    fun `a short prompt does not pass a long one that it would make late`() {
        grantedIds()
        addRequest("first", 1_600)
        assertEquals(listOf("first"), grantedIds())
        addRequest("long", 3_000, waitMillis = 190)
        addRequest("short", 200)
        clock.advance(30)
        assertEquals(emptyList(), grantedIds())
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
