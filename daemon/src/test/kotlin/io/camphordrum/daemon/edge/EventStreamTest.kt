package io.camphordrum.daemon.edge

import io.netty.buffer.Unpooled
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

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
            assertEquals("4", stream.lastId)
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
            assertEquals("1", stream.lastId)
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
}
