package io.camphordrum.daemon.edge

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.nio.charset.StandardCharsets.US_ASCII
import java.util.concurrent.TimeUnit

private val log = KotlinLogging.logger {}

/** Reads the requests of one caller's connection one after the other, and hands each on when it is whole. */
internal class CallerConnection(private val listener: CallerListener) : ChannelInboundHandlerAdapter() {
    private var request: HttpRequest? = null
    private var body: ByteBuf = Unpooled.EMPTY_BUFFER
    private var exchange: CallerExchange? = null
    private var closing = false
    private val later = ArrayDeque<HttpObject>()
    private lateinit var context: ChannelHandlerContext

    /** Monotonic time since which nothing was under way, or a request is incomplete. */
    private var sinceNanos = System.nanoTime()

    val idle: Boolean get() = exchange == null && request == null

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        if (!listener.opened(this)) ctx.close()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        listener.closed(this)
        exchange?.gone()
        exchange = null
        drop()
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (closing || message !is HttpObject) {
            ReferenceCountUtil.release(message)
            return
        }
        if (exchange != null) {
            later.addLast(message)
            // A caller that sends far ahead waits in its own socket; its leaving is then seen late, at the next read.
            if (later.size > MAX_LATER) ctx.channel().config().isAutoRead = false
            return
        }
        take(ctx, message)
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (ctx.channel().isWritable) exchange?.onWritable?.invoke()
    }

    @Deprecated("Netty's callback for errors of a connection")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        log.debug { "caller_connection_error ${cause.javaClass.simpleName}: ${cause.message}" }
        ctx.close()
    }

    /** Closes the connection when it was idle, or its request incomplete, for too long. */
    fun sweep(now: Long, limits: EdgeSettings) {
        if (exchange != null || closing) return
        val millis = (now - sinceNanos) / NANOS_PER_MILLI
        if (request == null && millis > limits.idleCallerMillis) context.close()
        if (request != null && millis > limits.headerMillis) reject(context, TIMEOUT, "Request Timeout")
    }

    /** Closes the connection if nothing is under way on it. */
    fun closeIdle() {
        if (idle) context.close()
    }

    private fun take(ctx: ChannelHandlerContext, message: HttpObject) {
        if (message.decoderResult().isFailure) {
            ReferenceCountUtil.release(message)
            val cause = message.decoderResult().cause()
            log.info { "caller_unreadable ${cause.javaClass.simpleName}: ${cause.message}" }
            reject(ctx, BAD_REQUEST, "Bad Request")
            return
        }
        if (message is HttpRequest) begin(ctx, message)
        if (message is HttpContent) {
            if (request != null && !closing) append(ctx, message)
            message.release()
        }
    }

    private fun begin(ctx: ChannelHandlerContext, head: HttpRequest) {
        val fault = framingFault(head.headers(), head.protocolVersion() == HttpVersion.HTTP_1_0)
        if (fault != null) {
            log.info { "caller_framing_refused $fault" }
            reject(ctx, BAD_REQUEST, "Bad Request")
            return
        }
        request = head
        sinceNanos = System.nanoTime()
        if (HttpUtil.is100ContinueExpected(head)) {
            ctx.writeAndFlush(Unpooled.copiedBuffer("HTTP/1.1 100 Continue\r\n\r\n", US_ASCII))
        }
    }

    private fun append(ctx: ChannelHandlerContext, content: HttpContent) {
        val part = content.content()
        if (body.readableBytes() + part.readableBytes() > listener.limits.maxBodyBytes) {
            reject(ctx, TOO_LARGE, "Content Too Large")
            return
        }
        if (part.isReadable) {
            if (body === Unpooled.EMPTY_BUFFER) body = ctx.alloc().buffer(part.readableBytes())
            body.writeBytes(part)
        }
        if (content is LastHttpContent) complete(ctx)
    }

    private fun complete(ctx: ChannelHandlerContext) {
        val head = request ?: return
        val whole = body
        request = null
        body = Unpooled.EMPTY_BUFFER
        val exchange = CallerExchange(
            ctx,
            CallerHead(head.method().name(), head.uri(), head.headers()),
            whole,
            HttpUtil.isKeepAlive(head),
            head.protocolVersion() == HttpVersion.HTTP_1_0,
            { listener.draining },
            { close -> finished(ctx, close) },
        )
        this.exchange = exchange
        listener.onRequest(exchange)
    }

    private fun finished(ctx: ChannelHandlerContext, close: Boolean) {
        exchange = null
        sinceNanos = System.nanoTime()
        if (close) {
            closing = true
            closeGently(ctx)
            return
        }
        // Not from within the call that answered: a pipelined request starts on a fresh stack.
        if (later.isNotEmpty()) ctx.executor().execute { resume(ctx) }
    }

    private fun resume(ctx: ChannelHandlerContext) {
        while (exchange == null && later.isNotEmpty() && !closing) take(ctx, later.removeFirst())
        if (later.size <= MAX_LATER) ctx.channel().config().isAutoRead = true
    }

    private fun reject(ctx: ChannelHandlerContext, status: Int, reason: String) {
        closing = true
        drop()
        val text = "HTTP/1.1 $status $reason\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
        ctx.write(Unpooled.copiedBuffer(text, US_ASCII))
        ctx.flush()
        closeGently(ctx)
    }

    // Bytes that are still unread at the close would reset the connection and destroy the answer on its way.
    private fun closeGently(ctx: ChannelHandlerContext) {
        val channel = ctx.channel()
        if (channel is SocketChannel) {
            ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { channel.shutdownOutput() }
            ctx.executor().schedule({ ctx.close() }, LINGER_MILLIS, TimeUnit.MILLISECONDS)
        } else {
            ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
        }
    }

    private fun drop() {
        request = null
        if (body !== Unpooled.EMPTY_BUFFER) body.release()
        body = Unpooled.EMPTY_BUFFER
        while (later.isNotEmpty()) ReferenceCountUtil.release(later.removeFirst())
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val TIMEOUT = 408
        const val TOO_LARGE = 413
        const val MAX_LATER = 64
        const val LINGER_MILLIS = 300L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
