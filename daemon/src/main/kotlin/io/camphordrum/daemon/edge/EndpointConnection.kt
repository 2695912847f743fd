package io.camphordrum.daemon.edge

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.AsciiString
import io.netty.util.ReferenceCountUtil

/** Carries one request at a time to an endpoint; it is reused only if it received nothing unexpected. */
internal class EndpointConnection(
    val address: String,
    private val settings: EdgeSettings,
    private val onIdle: (EndpointConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    var headRequest = false
        private set

    private var context: ChannelHandlerContext? = null
    private var send: EndpointSend? = null
    private var requestWritten = false
    private var skippingAnswer = false
    private var framed = true
    private var skippedBytes = 0
    private var skippedHeads = 0
    private var reusable = true
    private var error: String? = null
    private var inputEnded = false
    private var reusableUntilNanos = 0L
    private var answerStatus = 0
    private val answeredIds = AnsweredIds()

    /** Returns whether the decoder holds bytes that it has not decoded yet; set with the decoder. */
    var hasUndecodedBytes: () -> Boolean = { false }

    /** Whether the connection is kept out of the pool between two requests. */
    var reserved = false

    /** Whether the connection can carry a request now, even if the endpoint may be about to close it. */
    val isOpen: Boolean get() = reusable && !inputEnded && context?.channel()?.isActive == true

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    fun start(send: EndpointSend, request: ByteBuf, headRequest: Boolean) {
        val ctx = context
        if (ctx == null) {
            request.release()
            send.listener.onUnreachable("the connection has no channel")
            return
        }
        this.send = send
        this.headRequest = headRequest
        send.connection = this
        requestWritten = false
        skippingAnswer = false
        skippedBytes = 0
        skippedHeads = 0
        ctx.writeAndFlush(request).addListener { if (it.isSuccess) requestWritten = true }
    }

    /** Keeps the open connection for a later request. */
    fun release() {
        extendReuse(settings.idleMillis)
        onIdle(this)
    }

    /** Keeps the open connection out of the pool. */
    fun reserve() {
        reserved = true
        extendReuse(settings.idleMillis)
    }

    /** Returns for how long the endpoint keeps the connection if it stays idle. */
    fun reusableNanos(now: Long): Long = reusableUntilNanos - now

    /**
     * Returns a handler that must precede the decoder.
     *
     * It closes the connection at the first byte that arrives without a request, before the decoder buffers it. And
     * the decoder ends an answer without a length whenever the connection ends, also after a failed write or a close
     * of this process; only the event that this handler observes shows that the endpoint ended it.
     */
    fun inputGuard() = object : ChannelInboundHandlerAdapter() {
        override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
            if (send != null) {
                ctx.fireChannelRead(message)
                return
            }
            ReferenceCountUtil.release(message)
            reusable = false
            ctx.close()
        }

        override fun userEventTriggered(ctx: ChannelHandlerContext, event: Any) {
            if (event === ChannelInputShutdownEvent.INSTANCE) inputEnded = true
            ctx.fireUserEventTriggered(event)
        }

        // Precedes the decoder's own reaction to the error, which may end the answer.
        @Deprecated("Netty's callback for errors of a connection")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            error = cause.message ?: cause.javaClass.simpleName
            ctx.fireExceptionCaught(cause)
        }
    }

    private fun extendReuse(millis: Long) {
        reusableUntilNanos = System.nanoTime() + millis * NANOS_PER_MILLI
    }

    fun isUsable(now: Long): Boolean = isOpen && now < reusableUntilNanos

    /** Returns whether a repeated earlier answer on this connection could be taken for the answer to [id]. */
    fun mayRepeatAnswer(id: String?): Boolean = id != null && id in answeredIds

    /** Closes the connection; [reset] resets it, so that bytes not yet acknowledged are not retransmitted. */
    fun close(reset: Boolean = false) {
        val ctx = context ?: return
        if (reset) ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0)
        ctx.close()
    }

    fun setReading(enabled: Boolean) {
        context?.channel()?.config()?.isAutoRead = enabled
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        val currentSend = send
        val readable = message is HttpObject && !message.decoderResult().isFailure
        if (!readable || currentSend == null || currentSend.cancelled) {
            ReferenceCountUtil.release(message)
            // Bytes without a request have no receiver, and after unreadable bytes the rest of the stream is unusable.
            if (currentSend != null && !currentSend.cancelled) fail(currentSend, "invalid HTTP answer") else send = null
            ctx.close()
            return
        }
        if (message is HttpResponse) handleHead(ctx, currentSend, message)
        if (message is HttpContent) handleContent(ctx, message)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        val currentSend = send ?: return
        send = null
        if (!currentSend.cancelled) currentSend.listener.onBroken(error ?: "closed before the answer was complete")
    }

    override fun userEventTriggered(ctx: ChannelHandlerContext, event: Any) {
        // The decoder has already passed on the rest of the answer.
        if (event === ChannelInputShutdownEvent.INSTANCE) ctx.close()
        ctx.fireUserEventTriggered(event)
    }

    @Deprecated("Netty's callback for errors of a connection")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        error = cause.message ?: cause.javaClass.simpleName
        // After a reset, the decoder would treat the end of the connection as the end of an unframed answer.
        send?.let { if (!it.cancelled) fail(it, error!!) }
        ctx.close()
    }

    private fun handleHead(ctx: ChannelHandlerContext, currentSend: EndpointSend, response: HttpResponse) {
        val status = response.status().code()
        if (status in INTERIM) {
            skippingAnswer = true
            countSkipped(ctx, currentSend, heads = 1)
            return
        }
        framed = headRequest ||
            status in EMPTY_STATUSES ||
            HttpUtil.isContentLengthSet(response) ||
            HttpUtil.isTransferEncodingChunked(response)
        val answerHead = AnswerHead(status, response.status().reasonPhrase(), response.headers(), framed)
        val belongsToRequest = currentSend.listener.onHead(answerHead)
        if (currentSend.cancelled) {
            ctx.close()
            return
        }
        skippingAnswer = !belongsToRequest
        answerStatus = status
        if (!belongsToRequest) reusable = false
        if (!HttpUtil.isKeepAlive(response)) reusable = false
        val keepMillis = response.headers().get(KEEP_ALIVE)?.let(::keepAliveMillis) ?: settings.idleMillis
        extendReuse(keepMillis)
    }

    private fun handleContent(ctx: ChannelHandlerContext, content: HttpContent) {
        val currentSend = send
        if (skippingAnswer || currentSend == null) {
            if (content is LastHttpContent) skippingAnswer = false
            if (currentSend != null) countSkipped(ctx, currentSend, bytes = content.content().readableBytes())
            content.release()
            return
        }
        val part = content.content()
        if (part.isReadable) currentSend.listener.onPart(part.retain())
        if (content is LastHttpContent && !currentSend.cancelled && send === currentSend) {
            endAnswer(ctx, currentSend)
        }
        content.release()
    }

    private fun endAnswer(ctx: ChannelHandlerContext, currentSend: EndpointSend) {
        send = null
        recordAnswer(currentSend.id)
        if (hasUndecodedBytes()) reusable = false
        // Returned to the idle pool before the listener runs, because it may send the next request immediately.
        val reuse = isOpen && framed && requestWritten && reusableUntilNanos > System.nanoTime()
        if (reuse) {
            // The listener may have paused reading with the last part.
            setReading(true)
            onIdle(this)
        } else {
            reusable = false
            ctx.close()
        }
        when {
            framed -> currentSend.listener.onComplete(AnswerEnd.FRAMED)
            error != null -> currentSend.listener.onBroken(error!!)
            !inputEnded -> currentSend.listener.onBroken("closed before the end of an answer without a length")
            !requestWritten -> currentSend.listener.onBroken("ended before the whole request was received")
            else -> currentSend.listener.onComplete(AnswerEnd.CLOSED)
        }
    }

    // An answer other than a success to a request without an id could be repeated as the answer to the next one.
    private fun recordAnswer(id: String?) {
        val success = answerStatus in SUCCESS
        if (id == null) {
            if (!success) reusable = false
        } else {
            answeredIds.add(id, success)
            if (answeredIds.isFull) reusable = false
        }
    }

    // Data that belongs to no request can be unlimited, so its amount is bounded.
    private fun countSkipped(ctx: ChannelHandlerContext, currentSend: EndpointSend, bytes: Int = 0, heads: Int = 0) {
        skippedBytes += bytes
        skippedHeads += heads
        if (skippedBytes <= MAX_SKIPPED_BYTES && skippedHeads <= MAX_SKIPPED_HEADS) return
        if (!currentSend.cancelled) fail(currentSend, "received too many bytes that belong to no answer")
        ctx.close()
    }

    private fun fail(currentSend: EndpointSend, reason: String) {
        send = null
        currentSend.listener.onBroken(reason)
    }

    private companion object {
        val INTERIM = 100..199
        val SUCCESS = 200..299
        val EMPTY_STATUSES = setOf(204, 304)
        val KEEP_ALIVE = AsciiString.cached("keep-alive")
        const val NANOS_PER_MILLI = 1_000_000L

        // Enough for a late duplicate of an ordinary answer, and more interim answers than any endpoint sends.
        const val MAX_SKIPPED_BYTES = 1 shl 20
        const val MAX_SKIPPED_HEADS = 16

        // The endpoint may close slightly before its stated timeout; a request sent during the close may have run.
        const val KEEP_ALIVE_MARGIN_MILLIS = 700L

        fun keepAliveMillis(value: String): Long? = value.split(',')
            .map { it.trim() }
            .firstOrNull { it.startsWith("timeout=", ignoreCase = true) }
            ?.substringAfter('=')?.toLongOrNull()?.let { maxOf(0, it * 1_000 - KEEP_ALIVE_MARGIN_MILLIS) }
    }
}
