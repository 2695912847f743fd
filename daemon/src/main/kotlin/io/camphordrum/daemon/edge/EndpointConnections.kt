package io.camphordrum.daemon.edge

import io.camphordrum.core.serving.ProbeResult
import io.camphordrum.daemon.isStatusCode
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder
import java.net.ConnectException
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** Receives the events of one request to an endpoint, on the event loop. */
interface EndpointAnswerListener {
    /** Called when the connection could not be opened; nothing was sent. */
    fun onUnreachable(reason: String)

    /** Called with the head of an answer; returns whether it belongs to this request. */
    fun onHead(head: AnswerHead): Boolean

    /** Called with a part of the body; the listener releases it. */
    fun onPart(part: ByteBuf)

    /** Called when the answer has ended; after [AnswerEnd.CLOSED] it may be only a part of what was meant. */
    fun onComplete(end: AnswerEnd)

    /** Called when the connection failed or received an invalid answer; the request may have run. */
    fun onBroken(reason: String)
}

/** Describes what ended an answer. */
enum class AnswerEnd {
    /** Its length or its last chunk; the answer is whole. */
    FRAMED,

    /**
     * The endpoint closed its connection in an orderly way after it had received the whole request.
     *
     * A process that crashes closes its connections in the same way.
     */
    CLOSED,
}

/** Opens, pools and reuses connections to endpoints; each carries one request at a time. */
class EndpointConnections(
    private val loop: EventLoop,
    private val transport: Transport,
    private val settings: EdgeSettings,
    metrics: EdgeMetrics? = null,
) {
    /** Memory for the answers that are received on these connections. */
    val answerMemory = AnswerMemory(settings.maxAnswerMemoryBytes, metrics?.answerMemoryExceeded)

    private val idleByAddress = HashMap<String, ArrayDeque<EndpointConnection>>()

    /** Connections opened so far. */
    var opened = 0L
        private set

    init {
        loop.scheduleAtFixedRate(::closeExpired, EXPIRY_CHECK_MILLIS, EXPIRY_CHECK_MILLIS, TimeUnit.MILLISECONDS)
    }

    /**
     * Sends [request] to [address] (`host:port`); the returned handle cancels it by closing its connection.
     *
     * @param permitted checked after a new connection opens, before the first byte; false ends it as unreachable.
     * @param headRequest whether the answer has no body, as for HEAD.
     * @param id the id that the endpoint repeats in its answers, so that no connection on which this id was refused is
     *   used; null if answers have no id.
     */
    fun send(
        address: String,
        request: ByteBuf,
        headRequest: Boolean,
        listener: EndpointAnswerListener,
        permitted: () -> Boolean = { true },
        id: String? = null,
    ): EndpointSend {
        val send = EndpointSend(listener, id)
        val idleConnection = acquireIdle(address, id)
        if (idleConnection != null) {
            idleConnection.start(send, request, headRequest)
            return send
        }
        open(address) { connection, error ->
            when {
                connection == null -> {
                    request.release()
                    if (!send.cancelled) listener.onUnreachable(error?.message ?: "connect failed")
                }
                send.cancelled -> {
                    request.release()
                    connection.close()
                }
                !permitted() -> {
                    request.release()
                    connection.close()
                    listener.onUnreachable("the request was no longer permitted once the connection was open")
                }
                else -> connection.start(send, request, headRequest)
            }
        }
        return send
    }

    /** Closes the idle connections to [address]. */
    fun closeIdle(address: String) {
        idleByAddress.remove(address)?.forEach { it.close() }
    }

    /** Opens a connection to [address] and keeps it for the next request; [onEnd] receives whether it was accepted. */
    fun probe(address: String, onEnd: (ProbeResult) -> Unit) {
        open(address) { connection, error ->
            connection?.release()
            onEnd(
                when {
                    connection != null -> ProbeResult.ACCEPTED
                    error is ConnectException && error !is ConnectTimeoutException -> ProbeResult.REFUSED
                    else -> ProbeResult.NO_ANSWER
                },
            )
        }
    }

    /** Takes the least recently used idle connection to [address] out of the pool, or returns null. */
    internal fun reserveIdle(address: String): EndpointConnection? {
        val idleConnections = idleByAddress[address] ?: return null
        val now = System.nanoTime()
        while (idleConnections.isNotEmpty()) {
            val connection = idleConnections.removeFirst()
            if (connection.isUsable(now)) return connection.also { it.reserved = true }
            connection.close()
        }
        return null
    }

    /** Opens a connection to [address] that is not returned to the pool before [returnReserved]. */
    internal fun openReserved(address: String, onEnd: (EndpointConnection?, Throwable?) -> Unit) {
        open(address) { connection, error ->
            connection?.reserve()
            onEnd(connection, error)
        }
    }

    /** Returns a reserved [connection] to the pool if it can carry another request, else closes it. */
    internal fun returnReserved(connection: EndpointConnection) {
        connection.reserved = false
        if (connection.isUsable(System.nanoTime())) addIdle(connection) else connection.close()
    }

    /** Opens a connection to [address]; [onEnd] receives it, or the reason why it could not be opened. */
    private fun open(address: String, onEnd: (EndpointConnection?, Throwable?) -> Unit) {
        opened++
        val colon = address.lastIndexOf(':')
        val remote = InetSocketAddress(address.substring(0, colon), address.substring(colon + 1).toInt())
        val connection = EndpointConnection(address, settings, ::addIdle)
        Bootstrap()
            .group(loop)
            .channel(transport.clientChannel)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectMillis)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOCATOR, transport.allocator)
            // Makes the peer's orderly end an event of its own, distinct from errors and closes of this process.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    transport.setUnresponsiveTimeout(channel, settings.unresponsiveMillis)
                    channel.pipeline().addLast(connection.inputGuard(), decoder(connection), connection)
                }
            })
            .connect(remote)
            .addListener { if (it.isSuccess) onEnd(connection, null) else onEnd(null, it.cause()) }
    }

    private fun decoder(connection: EndpointConnection) = object : HttpResponseDecoder(
        HttpDecoderConfig().setMaxHeaderSize(settings.maxHeaderBytes),
    ) {
        init {
            connection.hasUndecodedBytes = { actualReadableBytes() > 0 }
        }

        // The decoder accepts any number, also with a sign or leading zeros.
        override fun createMessage(initialLine: Array<String>): HttpMessage {
            require(isStatusCode(initialLine[1])) { "invalid status code ${initialLine[1].take(MAX_LOGGED_CHARS)}" }
            return super.createMessage(initialLine)
        }

        override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
            connection.headRequest || super.isContentAlwaysEmpty(message)
    }

    private fun acquireIdle(address: String, id: String?): EndpointConnection? {
        val idleConnections = idleByAddress[address] ?: return null
        val now = System.nanoTime()
        idleConnections.removeAll { connection ->
            val usable = connection.isUsable(now)
            if (!usable) connection.close()
            !usable
        }
        // The most recently used connection; those on which the id was answered stay for other requests.
        val index = idleConnections.indexOfLast { !it.mayRepeatAnswer(id) }
        return if (index < 0) null else idleConnections.removeAt(index)
    }

    private fun addIdle(connection: EndpointConnection) {
        if (connection.reserved) return
        idleByAddress.getOrPut(connection.address) { ArrayDeque() }.addLast(connection)
    }

    private fun closeExpired() {
        val now = System.nanoTime()
        for (idleConnections in idleByAddress.values) {
            idleConnections.removeAll { connection ->
                val expired = !connection.isUsable(now)
                if (expired) connection.close()
                expired
            }
        }
        idleByAddress.values.removeAll { it.isEmpty() }
    }

    private companion object {
        const val EXPIRY_CHECK_MILLIS = 500L
        const val MAX_LOGGED_CHARS = 40
    }
}

/** Handle of one request in progress; after [cancel] its listener is not called again. */
class EndpointSend internal constructor(
    internal val listener: EndpointAnswerListener,
    internal val id: String? = null,
) {
    internal var connection: EndpointConnection? = null
    internal var cancelled = false
        private set

    /**
     * Closes the connection, so that the endpoint stops work on the request.
     *
     * @param reset whether to reset the connection, so that bytes that have not arrived yet do not arrive later.
     */
    fun cancel(reset: Boolean = false) {
        if (cancelled) return
        cancelled = true
        connection?.close(reset)
    }

    /** Pauses or resumes reading, as flow control for slow callers. */
    fun setReading(enabled: Boolean) {
        connection?.setReading(enabled)
    }
}
