package io.camphordrum.wire

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.ByteToMessageDecoder
import io.netty.util.concurrent.Future
import java.util.concurrent.TimeUnit

/**
 * Runs one connection: exchanges hellos, then passes on the messages of the peer until the connection ends.
 *
 * @param queue messages for the peer; null for a connection that only receives.
 * @param onEnd receives whether hellos were exchanged.
 */
internal class PeerConnection(
    private val remote: String,
    private val ownHello: Hello,
    private val settings: PeerSettings,
    private val codec: FrameCodec,
    private val registry: PeerRegistry,
    private val events: PeerEvents,
    private val queue: PeerQueue?,
    private val onEnd: (hellosExchanged: Boolean) -> Unit,
) : ByteToMessageDecoder() {
    private lateinit var channel: Channel
    private var peer: Hello? = null
    private var endReason: String? = null
    private var helloTimeout: Future<*>? = null

    override fun channelActive(context: ChannelHandlerContext) {
        channel = context.channel()
        channel.writeAndFlush(Unpooled.wrappedBuffer(codec.frame(ownHello)))
        helloTimeout = channel.eventLoop().schedule({
            if (peer == null) refuse("expected a hello within ${settings.helloTimeoutMillis} ms, but none came")
        }, settings.helloTimeoutMillis, TimeUnit.MILLISECONDS)
    }

    override fun decode(context: ChannelHandlerContext, input: ByteBuf, output: MutableList<Any>) {
        if (endReason != null) {
            input.skipBytes(input.readableBytes())
            return
        }
        try {
            codec.read(input)?.let(::receive)
        } catch (e: FrameException) {
            refuse(e.message.orEmpty())
        } catch (e: Exception) {
            refuse("connection ended by an error: $e")
        } catch (e: StackOverflowError) {
            refuse("connection ended by an error: $e")
        }
    }

    override fun decodeLast(context: ChannelHandlerContext, input: ByteBuf, output: MutableList<Any>) {
        // An orderly end between two frames is no fault; the bytes of a frame without its rest are.
        while (endReason == null) {
            val readableBytes = input.readableBytes()
            decode(context, input, output)
            if (input.readableBytes() == readableBytes) break
        }
        if (endReason != null) return
        val missing = codec.missingBytes(input)
        when {
            missing > 0 -> refuse("expected $missing more bytes of a frame, but the connection ended")
            peer == null -> refuse("expected a hello, but the connection ended")
        }
    }

    private fun receive(message: PeerMessage) {
        val known = peer
        when {
            known == null -> receiveHello(message)
            !registry.isCurrent(known) -> end("replaced by a newer incarnation")
            message is Hello -> throw FrameException("expected one hello for each connection, but another came")
            else -> events.onMessage(known.member, known.dataCentre, message)
        }
    }

    private fun receiveHello(message: PeerMessage) {
        if (message !is Hello) {
            throw FrameException("expected a hello first, but was ${message::class.simpleName}")
        }
        registry.register(message)?.let { throw FrameException(it) }
        peer = message
        flush()
    }

    /** Writes the queued messages, as far as the peer reads them. */
    fun flush() {
        if (queue == null || peer == null || endReason != null) return
        var written = false
        while (channel.isWritable) {
            val message = queue.poll() ?: break
            val frame = try {
                codec.frame(message)
            } catch (e: FrameException) {
                events.onFault(remote, "message not sent: ${e.message}")
                continue
            }
            channel.write(Unpooled.wrappedBuffer(frame), channel.voidPromise())
            written = true
        }
        if (written) channel.flush()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) = flush()

    @Deprecated("Deprecated in the parent of the overridden method")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (endReason == null) refuse("connection failed: ${cause.message}")
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        super.channelInactive(context)
        helloTimeout?.cancel(false)
        val known = peer
        if (known != null) registry.unregister(known, endReason ?: "closed by the peer")
        onEnd(known != null)
    }

    /** Closes the connection, for the given reason. */
    fun end(reason: String) {
        if (endReason == null) endReason = reason
        channel.close()
    }

    private fun refuse(reason: String) {
        if (endReason != null) return
        end(reason)
        events.onFault(remote, reason)
    }
}
