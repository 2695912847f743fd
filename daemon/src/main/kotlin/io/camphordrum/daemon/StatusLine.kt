package io.camphordrum.daemon

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.ClientFactoryBuilder
import com.linecorp.armeria.client.ClientFactoryOptions
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPipeline
import io.netty.channel.ChannelPromise
import io.netty.util.ReferenceCountUtil
import java.util.function.Consumer

/** Returns whether [text] is a status code of HTTP: three digits from 100 to 599 (RFC 9110, section 15). */
internal fun isStatusCode(text: String): Boolean =
    text.length == 3 && text[0] in '1'..'5' && text.all { it in '0'..'9' }

/** Returns a builder of clients for endpoints, which fail on an answer without a valid status line. */
internal fun endpointClientFactory(): ClientFactoryBuilder = ClientFactory.builder().option(
    ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER,
    Consumer<ChannelPipeline> { it.addFirst(StatusLineGuard()) },
)

/**
 * Closes a connection of HTTP/1 on which an answer begins with an invalid status code.
 *
 * Must precede the decoder, which accepts any number, also with a sign or leading zeros. A connection carries one
 * request at a time, so the first bytes after a request are the start of its answer.
 */
private class StatusLineGuard : ChannelDuplexHandler() {
    private val start = StringBuilder()
    private var expectsStart = false

    override fun write(ctx: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        expectsStart = true
        start.clear()
        ctx.write(message, promise)
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (!expectsStart || message !is ByteBuf || isValid(message)) {
            ctx.fireChannelRead(message)
            return
        }
        ReferenceCountUtil.release(message)
        ctx.fireExceptionCaught(IllegalArgumentException("invalid status code in: $start"))
        ctx.close()
    }

    // Answers of HTTP/2 do not begin with a version.
    private fun isValid(part: ByteBuf): Boolean {
        var index = part.readerIndex()
        while (start.length < STATUS_LINE_CHARS && index < part.writerIndex()) {
            start.append((part.getByte(index++).toInt() and 0xff).toChar())
        }
        if (start.length < STATUS_LINE_CHARS) return true
        expectsStart = false
        if (!start.startsWith(VERSION)) return true
        return start[CODE.last + 1] in SEPARATORS && isStatusCode(start.substring(CODE))
    }

    private companion object {
        const val VERSION = "HTTP/1."

        // Where the code stands in `HTTP/1.1 200 `.
        val CODE = 9..11
        const val STATUS_LINE_CHARS = 13
        const val SEPARATORS = " \r\n"
    }
}
