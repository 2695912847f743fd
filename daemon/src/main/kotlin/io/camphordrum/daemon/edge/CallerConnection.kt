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

/** Reads requests from one caller's connection sequentially and passes each complete request to the listener. */
internal class CallerConnection(private val listener: CallerListener) : ChannelInboundHandlerAdapter() {
    private var request: HttpRequest? = null
    private var body: ByteBuf = Unpooled.EMPTY_BUFFER
    private var exchange: CallerExchange? = null
    private var closing = false
    private val pipelined = ArrayDeque<HttpObject>()
    private lateinit var context: ChannelHandlerContext

    /** Monotonic time since which the connection is idle or its current request is incomplete. */
    private var stateSinceNanos = System.nanoTime()

    val idle: Boolean get() = exchange == null && request == null

    /** Bytes that were written and that the caller has not taken yet. */
    val unsentBytes: Long get() = context.channel().unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        if (!listener.onOpened(this)) ctx.close()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        listener.onClosed(this)
        exchange?.disconnected()
        exchange = null
        releaseBuffers()
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (closing || message !is HttpObject) {
            ReferenceCountUtil.release(message)
            return
        }
        if (exchange != null) {
            pipelined.addLast(message)
            // Pauses reading from a caller that pipelines too much; its disconnect is then detected at the next read.
            if (pipelined.size > MAX_PIPELINED) ctx.channel().config().isAutoRead = false
            return
        }
        process(ctx, message)
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (ctx.channel().isWritable) exchange?.onWritable?.invoke()
    }

    @Deprecated("Netty's callback for errors of a connection")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        log.debug { "caller_connection_error ${cause.javaClass.simpleName}: ${cause.message}" }
        ctx.close()
    }

    /** Closes the connection if it was idle, or its request incomplete, for longer than [limits] permit. */
    fun closeIfExpired(now: Long, limits: EdgeSettings) {
        if (exchange != null || closing) return
        val millis = (now - stateSinceNanos) / NANOS_PER_MILLI
        if (request == null && millis > limits.idleCallerMillis) context.close()
        if (request != null && millis > limits.headerMillis) reject(context, TIMEOUT, "Request Timeout")
    }

    /** Closes the connection if it has no request in progress. */
    fun closeIdle() {
        if (idle) context.close()
    }

    private fun process(ctx: ChannelHandlerContext, message: HttpObject) {
        if (message.decoderResult().isFailure) {
            ReferenceCountUtil.release(message)
            val cause = message.decoderResult().cause()
            log.info { "caller_unreadable ${cause.javaClass.simpleName}: ${cause.message}" }
            reject(ctx, BAD_REQUEST, "Bad Request")
            return
        }
        if (message is HttpRequest) startRequest(ctx, message)
        if (message is HttpContent) {
            if (request != null && !closing) appendBody(ctx, message)
            message.release()
        }
    }

    private fun startRequest(ctx: ChannelHandlerContext, head: HttpRequest) {
        val framingError = framingErrorOf(head.headers(), head.protocolVersion() == HttpVersion.HTTP_1_0)
        if (framingError != null) {
            log.info { "caller_framing_refused $framingError" }
            reject(ctx, BAD_REQUEST, "Bad Request")
            return
        }
        request = head
        stateSinceNanos = System.nanoTime()
        if (HttpUtil.is100ContinueExpected(head)) {
            ctx.writeAndFlush(Unpooled.copiedBuffer("HTTP/1.1 100 Continue\r\n\r\n", US_ASCII))
        }
    }

    private fun appendBody(ctx: ChannelHandlerContext, content: HttpContent) {
        val part = content.content()
        if (body.readableBytes() + part.readableBytes() > listener.limits.maxBodyBytes) {
            reject(ctx, TOO_LARGE, "Content Too Large")
            return
        }
        if (part.isReadable) {
            if (body === Unpooled.EMPTY_BUFFER) body = ctx.alloc().buffer(part.readableBytes())
            body.writeBytes(part)
        }
        if (content is LastHttpContent) completeRequest(ctx)
    }

    private fun completeRequest(ctx: ChannelHandlerContext) {
        val head = request ?: return
        val completeBody = body
        request = null
        body = Unpooled.EMPTY_BUFFER
        val exchange = CallerExchange(
            ctx,
            CallerHead(head.method().name(), head.uri(), head.headers()),
            completeBody,
            HttpUtil.isKeepAlive(head),
            head.protocolVersion() == HttpVersion.HTTP_1_0,
            { listener.draining },
            { close -> onAnswerFinished(ctx, close) },
        )
        this.exchange = exchange
        listener.onRequest(exchange)
    }

    private fun onAnswerFinished(ctx: ChannelHandlerContext, close: Boolean) {
        exchange = null
        stateSinceNanos = System.nanoTime()
        if (close) {
            closing = true
            closeAfterFlush(ctx)
            return
        }
        // Scheduled instead of called, so that each pipelined request starts on a new stack.
        if (pipelined.isNotEmpty()) ctx.executor().execute { resume(ctx) }
    }

    private fun resume(ctx: ChannelHandlerContext) {
        while (exchange == null && pipelined.isNotEmpty() && !closing) process(ctx, pipelined.removeFirst())
        if (pipelined.size <= MAX_PIPELINED) ctx.channel().config().isAutoRead = true
    }

    private fun reject(ctx: ChannelHandlerContext, status: Int, reason: String) {
        closing = true
        releaseBuffers()
        val text = "HTTP/1.1 $status $reason\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
        ctx.write(Unpooled.copiedBuffer(text, US_ASCII))
        ctx.flush()
        closeAfterFlush(ctx)
    }

    // Closing a socket with unread bytes resets the connection and can destroy an answer that is still in transit.
    private fun closeAfterFlush(ctx: ChannelHandlerContext) {
        val channel = ctx.channel()
        if (channel is SocketChannel) {
            ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { channel.shutdownOutput() }
            ctx.executor().schedule({ ctx.close() }, LINGER_MILLIS, TimeUnit.MILLISECONDS)
        } else {
            ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
        }
    }

    private fun releaseBuffers() {
        request = null
        if (body !== Unpooled.EMPTY_BUFFER) body.release()
        body = Unpooled.EMPTY_BUFFER
        while (pipelined.isNotEmpty()) ReferenceCountUtil.release(pipelined.removeFirst())
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val TIMEOUT = 408
        const val TOO_LARGE = 413
        const val MAX_PIPELINED = 64
        const val LINGER_MILLIS = 300L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
