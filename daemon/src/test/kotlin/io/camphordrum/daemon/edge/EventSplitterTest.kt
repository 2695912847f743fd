package io.camphordrum.daemon.edge

import io.netty.buffer.Unpooled
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class EventSplitterTest {
    private val splitter = EventSplitter()

    private fun take(text: String): String {
        val whole = splitter.take(Unpooled.copiedBuffer(text, Charsets.UTF_8))
        return whole.toString(Charsets.UTF_8).also { whole.release() }
    }

    @Test
    fun `only whole events are returned`() {
        assertEquals("id: 1\ndata: a\n\n", take("id: 1\ndata: a\n\nid: 2\nda"))
        assertEquals("id: 2\ndata: b\n\n", take("ta: b\n\n"))
        assertEquals("2", splitter.lastId)
    }

    // Guards against an id inside an event's data that would be taken for the event's own.
    @Test
    fun `an id counts only at the start of a line`() {
        take("id: 1\ndata: id: 9\n\n")
        assertEquals("1", splitter.lastId)
    }

    @Test
    fun `lines may end with a carriage return`() {
        assertEquals("id: 1\r\ndata: a\r\n\r\n", take("id: 1\r\ndata: a\r\n\r\nid"))
        assertEquals("1", splitter.lastId)
    }

    @Test
    fun `nothing is known before the first whole event`() {
        assertEquals("", take("id: 1\n"))
        assertNull(splitter.lastId)
        splitter.drop()
        assertEquals("id: 2\n\n", take("id: 2\n\n"))
    }
}
