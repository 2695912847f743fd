package io.camphordrum.daemon.edge

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import java.nio.charset.StandardCharsets.UTF_8

/**
 * Cuts a series of server-sent events at the blank lines between them, so that only whole events are passed on.
 *
 * A stream that goes on at another endpoint starts after [lastId]; the part of an event that was cut off is dropped.
 */
internal class EventSplitter {
    private var rest: ByteBuf = Unpooled.EMPTY_BUFFER

    /** Id of the last whole event, or null. */
    var lastId: String? = null
        private set

    /** Takes [part] and returns all whole events up to its end; the caller releases the result. */
    fun take(part: ByteBuf): ByteBuf {
        val all = join(part)
        val end = lastEventEnd(all)
        val whole = all.readRetainedSlice(end - all.readerIndex())
        rest = all
        findIds(whole)
        return whole
    }

    /** Returns what is left after the last whole event; the caller releases it. */
    fun remainder(): ByteBuf = rest.also { rest = Unpooled.EMPTY_BUFFER }

    /** Drops the part of an event that did not come whole. */
    fun drop() {
        if (rest.refCnt() > 0) rest.release()
        rest = Unpooled.EMPTY_BUFFER
    }

    private fun join(part: ByteBuf): ByteBuf {
        if (!rest.isReadable) {
            drop()
            return part
        }
        return Unpooled.buffer(rest.readableBytes() + part.readableBytes()).writeBytes(rest).writeBytes(part).also {
            rest.release()
            part.release()
        }
    }

    private fun lastEventEnd(bytes: ByteBuf): Int {
        var at = bytes.writerIndex() - 1
        while (at > bytes.readerIndex()) {
            if (bytes.getByte(at) == NEW_LINE) {
                val before = bytes.getByte(at - 1)
                if (before == NEW_LINE) return at + 1
                if (before == RETURN &&
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

    private fun findIds(whole: ByteBuf) {
        if (!whole.isReadable) return
        val text = whole.toString(UTF_8)
        val at = if (text.startsWith(ID)) 0 else -1
        val last = text.lastIndexOf("\n$ID")
        val start = if (last >= 0) last + 1 else at
        if (start < 0) return
        lastId = text.substring(start + ID.length).substringBefore('\n').trim()
    }

    private companion object {
        const val NEW_LINE = '\n'.code.toByte()
        const val RETURN = '\r'.code.toByte()
        const val ID = "id:"
    }
}
