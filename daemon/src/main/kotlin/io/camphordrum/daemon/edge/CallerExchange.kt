package io.camphordrum.daemon.edge

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import java.nio.charset.StandardCharsets.ISO_8859_1
import java.nio.charset.StandardCharsets.US_ASCII

/**
 * Represents one request of a caller and its answer; used only on the event loop of its connection.
 *
 * Exactly one of [answer], [abort] and the pair of [startAnswer] and [endAnswer] finishes the exchange. [onDisconnect]
 * runs if the caller's connection closes before that.
 */
class CallerExchange internal constructor(
    private val context: ChannelHandlerContext,
    val head: CallerHead,
    val body: ByteBuf,
    private val keepAlive: Boolean,
    private val http10: Boolean,
    private val draining: () -> Boolean,
    private val onFinished: (close: Boolean) -> Unit,
) {
    /** Called once if the caller disconnects before its answer is complete. */
    var onDisconnect: () -> Unit = {}

    /** Called when the connection becomes writable again after [write] returned false. */
    var onWritable: () -> Unit = {}

    /** Whether the head of the answer was written. */
    var headWritten = false
        private set

    /** Bytes of the answer that the caller has not taken yet. */
    val unsentBytes: Long get() = context.channel().unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0

    private var finished = false
    private var chunked = false
    private var closeAfterAnswer = false

    /** Writes a complete answer. */
    fun answer(status: Int, reason: String, headers: List<Pair<String, String>>, content: ByteBuf) {
        if (finished) {
            content.release()
            return
        }
        headWritten = true
        closeAfterAnswer = !keepAlive || draining()
        val out = context.alloc().buffer(HEAD_BYTES + content.readableBytes())
        writeHead(out, status, reason, headers)
        val empty = status == NO_CONTENT || status == NOT_MODIFIED
        if (!empty) out.writeCharSequence("content-length: ${content.readableBytes()}\r\n", US_ASCII)
        out.writeCharSequence("\r\n", US_ASCII)
        if (head.method != "HEAD" && !empty) out.writeBytes(content)
        content.release()
        context.writeAndFlush(out)
        completeExchange(closeAfterAnswer)
    }

    /** Writes the head of an answer whose length is not known yet. */
    fun startAnswer(status: Int, reason: String, headers: List<Pair<String, String>>) {
        if (finished) return
        headWritten = true
        chunked = !http10
        closeAfterAnswer = !keepAlive || draining() || http10
        val out = context.alloc().buffer(HEAD_BYTES)
        writeHead(out, status, reason, headers)
        if (chunked) out.writeCharSequence("transfer-encoding: chunked\r\n", US_ASCII)
        out.writeCharSequence("\r\n", US_ASCII)
        context.write(out)
    }

    /** Writes a part of the answer's body; returns false when the connection's write buffer is full. */
    fun write(part: ByteBuf): Boolean {
        if (finished || !part.isReadable) {
            part.release()
            return true
        }
        if (chunked) {
            val size = Integer.toHexString(part.readableBytes())
            context.write(Unpooled.copiedBuffer("$size\r\n", US_ASCII))
            context.write(part)
            context.writeAndFlush(Unpooled.copiedBuffer("\r\n", US_ASCII))
        } else {
            context.writeAndFlush(part)
        }
        return context.channel().isWritable
    }

    /** Ends an answer that [startAnswer] started. */
    fun endAnswer() {
        if (finished) return
        if (chunked) context.writeAndFlush(Unpooled.copiedBuffer("0\r\n\r\n", US_ASCII))
        // The head of a stream that began before the drain has no `connection: close`; the connection closes after it.
        completeExchange(closeAfterAnswer || draining())
    }

    /** Closes the connection, so that a truncated answer does not appear complete. */
    fun abort() {
        if (finished) return
        finished = true
        release()
        val takesData = context.channel().isWritable
        // Without chunked encoding, only a reset shows that the answer is incomplete.
        if (headWritten && (!chunked || !takesData)) context.channel().config().setOption(ChannelOption.SO_LINGER, 0)
        if (takesData) {
            // Data written before is still sent; the missing last chunk shows that the answer is incomplete.
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
        } else {
            // A caller that reads too slowly, or not at all, must not keep the memory of an answer that has ended.
            context.close()
        }
        onFinished(true)
    }

    internal fun disconnected() {
        if (finished) return
        finished = true
        release()
        onDisconnect()
    }

    private fun completeExchange(close: Boolean) {
        finished = true
        release()
        onFinished(close)
    }

    private fun release() {
        if (body.refCnt() > 0) body.release()
    }

    private fun writeHead(out: ByteBuf, status: Int, reason: String, headers: List<Pair<String, String>>) {
        out.writeCharSequence("HTTP/1.1 $status $reason\r\n", ISO_8859_1)
        for ((name, value) in headers) out.writeCharSequence("$name: $value\r\n", ISO_8859_1)
        if (closeAfterAnswer) {
            out.writeCharSequence("connection: close\r\n", US_ASCII)
        } else if (http10) {
            out.writeCharSequence("connection: keep-alive\r\n", US_ASCII)
        }
    }

    private companion object {
        const val HEAD_BYTES = 512
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304
    }
}
