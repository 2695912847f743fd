package io.camphordrum.daemon.edge

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import java.nio.charset.StandardCharsets.UTF_8

/**
 * Splits a stream of server-sent events at the blank lines between them, so that only complete events are forwarded.
 *
 * A stream that resumes at another endpoint starts after [lastId]; an incomplete event is discarded.
 */
internal class EventSplitter {
    private var incomplete: ByteBuf = Unpooled.EMPTY_BUFFER

    /** Id of the last complete event that has one, or null. */
    var lastId: String? = null
        private set

    /** Appends [part] and returns all events that are complete now; the caller releases the result. */
    fun append(part: ByteBuf): ByteBuf {
        val all = join(part)
        val end = lastEventEnd(all)
        val events = all.readRetainedSlice(end - all.readerIndex())
        incomplete = all
        updateLastId(events)
        return events
    }

    /** Returns the bytes after the last complete event; the caller releases them. */
    fun remainder(): ByteBuf = incomplete.also { incomplete = Unpooled.EMPTY_BUFFER }

    /** Discards the bytes of an incomplete event. */
    fun discardIncomplete() {
        if (incomplete.refCnt() > 0) incomplete.release()
        incomplete = Unpooled.EMPTY_BUFFER
    }

    private fun join(part: ByteBuf): ByteBuf {
        if (!incomplete.isReadable) {
            discardIncomplete()
            return part
        }
        return Unpooled.buffer(incomplete.readableBytes() + part.readableBytes())
            .writeBytes(incomplete)
            .writeBytes(part)
            .also {
                incomplete.release()
                part.release()
            }
    }

    private fun lastEventEnd(bytes: ByteBuf): Int {
        var at = bytes.writerIndex() - 1
        while (at > bytes.readerIndex()) {
            if (bytes.getByte(at) == NEW_LINE) {
                val before = bytes.getByte(at - 1)
                if (before == NEW_LINE) return at + 1
                if (before == CARRIAGE_RETURN &&
                    at - 2 >= bytes.readerIndex() &&
                    bytes.getByte(at - 2) == NEW_LINE
                ) {
                    return at + 1
                }
            }
            at--
        }
        return bytes.readerIndex()
    }

    private fun updateLastId(events: ByteBuf) {
        if (!events.isReadable) return
        val text = events.toString(UTF_8)
        val at = if (text.startsWith(ID)) 0 else -1
        val last = text.lastIndexOf("\n$ID")
        val start = if (last >= 0) last + 1 else at
        if (start < 0) return
        lastId = text.substring(start + ID.length).substringBefore('\n').trim()
    }

    private companion object {
        const val NEW_LINE = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID = "id:"
    }
}
