package io.camphordrum.daemon.edge

import io.netty.buffer.ByteBuf

/** Tracks whether a stream of server-sent events ends between two events or inside one. */
internal class EventBoundary {
    private var newLines = 0

    /** Whether the bytes so far end with a complete event. */
    val isAtBoundary: Boolean get() = newLines >= 2

    /** Reads [part] without changing it. */
    fun append(part: ByteBuf) {
        for (index in part.readerIndex() until part.writerIndex()) {
            when (part.getByte(index)) {
                NEW_LINE -> newLines++
                CARRIAGE_RETURN -> Unit
                else -> newLines = 0
            }
        }
    }

    private companion object {
        const val NEW_LINE = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
