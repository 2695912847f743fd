package io.camphordrum.daemon.edge

import io.netty.buffer.Unpooled
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

private fun EventStream.appendText(text: String): String {
    val events = append(Unpooled.copiedBuffer(text, Charsets.ISO_8859_1))
    return events.toString(Charsets.ISO_8859_1).also { events.release() }
}

class EventStreamTest {
    private val stream = EventStream()

    private fun append(text: String) = stream.appendText(text)

    @Nested
    inner class Events {
        @Test
        fun `only complete events are returned`() {
            assertEquals("id: 1\ndata: a\n\n", append("id: 1\ndata: a\n\nid: 2\nda"))
            assertEquals("id: 2\ndata: b\n\n", append("ta: b\n\n"))
            assertEquals("2", stream.lastId)
        }

        // Guards against reading an id from inside an event's data.
        @Test
        fun `an id is recognized only at the start of a line`() {
            append("id: 1\ndata: id: 9\n\n")
            assertEquals("1", stream.lastId)
        }

        @Test
        fun `lines may end with a carriage return`() {
            assertEquals("id: 1\r\ndata: a\r\n\r\n", append("id: 1\r\ndata: a\r\n\r\nid"))
            assertEquals("1", stream.lastId)
        }

        // Guards against events that are held back until the next one when lines end with a carriage return alone.
        @Test
        fun `an event whose lines end with a carriage return alone is returned at once`() {
            assertEquals("id: 1\rdata: a\r\r", append("id: 1\rdata: a\r\r"))
            assertEquals("id: 2\rdata: b\r\r", append("id: 2\rdata: b\r\r"))
            assertEquals("2", stream.lastId)
        }

        // Guards against half a line end, after which a caller that expects both bytes is inside an event.
        @Test
        fun `a line end of two bytes is not divided`() {
            assertEquals("", append("id: 1\r\ndata: a\r\n\r"))
            assertNotNull(stream.endFault(eventNeeded = false))
            assertEquals("id: 1\r\ndata: a\r\n\r\n", append("\nid: 2"))
        }

        @Test
        fun `no id is available before the first complete event`() {
            assertEquals("", append("id: 1\n"))
            assertNull(stream.lastId)
            stream.discardIncomplete()
            assertEquals("id: 2\n\n", append("id: 2\n\n"))
        }

        // Guards against a first line other than the id that hides it, or that is dropped.
        @Test
        fun `a line with the version of the weights stays in its event`() {
            val event = "x-weight-versions: 7\nid: 4\ndata: a\n\n"
            assertEquals(event, append(event))
            assertEquals("4", stream.resumeId)
        }

        // Guards against a stream whose end inside an event counts as an end between events.
        @Test
        fun `the end of a stream is between events only after a blank line`() {
            assertNull(stream.endFault(eventNeeded = false))
            assertNotNull(stream.endFault(eventNeeded = true))
            for (part in listOf("id: 1", "\n", "data: a", "\n")) {
                append(part)
                assertNotNull(stream.endFault(eventNeeded = false), part)
            }
            append("\n")
            assertNull(stream.endFault(eventNeeded = true))
        }

        // Guards against an answer that starts with a comment and has no event yet.
        @Test
        fun `comments wait for the first event of a run`() {
            assertEquals("", append(": wait\n\n"))
            assertNotNull(stream.endFault(eventNeeded = true))
            assertEquals(": wait\n\nid: 1\n\n", append("id: 1\n\n"))
            assertEquals(": wait\n\n", append(": wait\n\n"))
            assertEquals("1", stream.resumeId)
        }

        // Guards against an incomplete event that grows without limit.
        @Test
        fun `an incomplete event beyond the maximum size is a fault`() {
            assertEquals("id: 1\n\n", append("id: 1\n\ndata: "))
            val line = "x".repeat(EventStream.MAX_EVENT_BYTES / 4)
            repeat(4) { assertEquals("", append(line)) }
            assertNotNull(stream.fault)
            assertEquals("", append("\n\n"))
        }
    }

    @Nested
    inner class Order {
        private fun fault(vararg ids: String, lastId: String? = null): String? {
            val stream = EventStream(lastId)
            for (id in ids) stream.appendText("id: $id\n\n")
            return stream.fault
        }

        @Test
        fun `an id that does not increase is a fault`() {
            assertNotNull(fault("1", "1"))
            assertNotNull(fault("10", "9"))
            assertNotNull(fault("1", "01"))
            assertNotNull(fault("7", lastId = "7"))
            assertNotNull(fault("5", "x", "5"))
            assertNotNull(fault("100000000000000000000", "99999999999999999999"))
        }

        @Test
        fun `ids may step and grow in digits`() {
            assertNull(fault("1", "3", "9", "10", "99999999999999999999", "100000000000000000000"))
            assertNull(fault("8", lastId = "7"))
        }

        @Test
        fun `an id that is not numeric is a fault only as a repeat of the last`() {
            assertNotNull(fault("b", "b"))
            assertNull(fault("b", "a", "b"))
        }

        // Guards against a later run that may repeat what the run before it sent.
        @Test
        fun `ids increase across runs`() {
            assertEquals("id: 1\n\n", append("id: 1\n\nid: 2"))
            stream.startRun()
            assertEquals("", append("id: 1\n\n"))
            assertNotNull(stream.fault)
            stream.startRun()
            assertEquals("id: 2\n\n", append("id: 2\n\n"))
        }

        // Guards against a resumption that repeats an event without an id.
        @Test
        fun `a stream cannot be continued after an event without an id`() {
            append("id: 1\n\ndata: a\n\n")
            assertNull(stream.resumeId)
            assertEquals("1", stream.lastId)
        }
    }

    /** Compares random streams with a reader of whole texts; a failure names its seed. */
    @Nested
    inner class RandomStreams {
        private val lineEnd = Regex("\r\n|\r|\n")

        private fun randomStream(random: Random): String {
            val ends = listOf(listOf("\n"), listOf("\r\n"), listOf("\r"), listOf("\n", "\r\n", "\r")).random(random)
            var id = 0
            val text = buildString {
                repeat(random.nextInt(1, 12)) {
                    val lines = when (random.nextInt(10)) {
                        0 -> listOf(": comment")
                        1 -> listOf()
                        2 -> listOf("data: no id")
                        3 -> listOf("x-weight-versions: 3", "id:${++id}", "data: id: 1")
                        else -> {
                            val step = if (random.nextInt(20) == 0) random.nextInt(-2, 1) else random.nextInt(1, 9)
                            id = maxOf(0, id + step)
                            listOf("id: $id", "data: ${"d".repeat(random.nextInt(9))}")
                        }
                    }
                    for (line in lines) append(line).append(ends.random(random))
                    append(ends.random(random))
                }
            }
            return if (random.nextBoolean()) text.take(random.nextInt(text.length + 1)) else text
        }

        /** Returns the ends of the blank lines that may be released, up to the first event out of order. */
        private fun releasableEnds(text: String): List<Int> = buildList {
            var start = 0
            var last = Int.MIN_VALUE
            var hasEvent = false
            val block = ArrayList<String>()
            for (end in lineEnd.findAll(text)) {
                val line = text.substring(start, end.range.first)
                start = end.range.last + 1
                if (line.isNotEmpty()) {
                    block += line
                    continue
                }
                if (block.any { !it.startsWith(":") }) {
                    val id = block.lastOrNull { it.startsWith("id:") }?.substringAfter("id:")?.trim()?.toInt()
                    if (id != null && id <= last) return@buildList
                    last = id ?: last
                    hasEvent = true
                }
                block.clear()
                if (hasEvent) add(start)
            }
        }

        // Guards against parts of events, events out of order and lost bytes, however the bytes arrive.
        @Test
        fun `released bytes are always a prefix of whole events in order`() {
            for (seed in 1..SEEDS) {
                val random = Random(seed)
                val text = randomStream(random)
                val ends = releasableEnds(text)
                val reader = EventStream()
                var released = ""
                var at = 0
                while (at < text.length) {
                    val next = minOf(text.length, at + random.nextInt(1, 20))
                    released += reader.appendText(text.substring(at, next))
                    at = next
                    val where = "seed $seed, $at of ${text.replace("\r", "\\r").replace("\n", "\\n")}"
                    assertTrue(text.startsWith(released), where)
                    val dividesLineEnd = released.endsWith('\r') && text.getOrNull(released.length) == '\n'
                    val known = ends.lastOrNull { it <= at } ?: 0
                    when {
                        // Whether a line feed follows is not known yet.
                        text[at - 1] == '\r' || dividesLineEnd -> assertTrue(
                            released.isEmpty() || released.length in ends || released.length + 1 in ends,
                            where,
                        )
                        else -> assertEquals(known, released.length, where)
                    }
                }
            }
        }
    }

    private companion object {
        const val SEEDS = 20_000
    }
}
