package io.camphordrum.daemon.edge

import io.netty.buffer.Unpooled
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class EventSplitterTest {
    private val splitter = EventSplitter()

    private fun append(text: String): String {
        val events = splitter.append(Unpooled.copiedBuffer(text, Charsets.UTF_8))
        return events.toString(Charsets.UTF_8).also { events.release() }
    }

    @Test
    fun `only complete events are returned`() {
        assertEquals("id: 1\ndata: a\n\n", append("id: 1\ndata: a\n\nid: 2\nda"))
        assertEquals("id: 2\ndata: b\n\n", append("ta: b\n\n"))
        assertEquals("2", splitter.lastId)
    }

    // Guards against reading an id from inside an event's data.
    @Test
    fun `an id is recognized only at the start of a line`() {
        append("id: 1\ndata: id: 9\n\n")
        assertEquals("1", splitter.lastId)
    }

    @Test
    fun `lines may end with a carriage return`() {
        assertEquals("id: 1\r\ndata: a\r\n\r\n", append("id: 1\r\ndata: a\r\n\r\nid"))
        assertEquals("1", splitter.lastId)
    }

    @Test
    fun `no id is available before the first complete event`() {
        assertEquals("", append("id: 1\n"))
        assertNull(splitter.lastId)
        splitter.discardIncomplete()
        assertEquals("id: 2\n\n", append("id: 2\n\n"))
    }
}
