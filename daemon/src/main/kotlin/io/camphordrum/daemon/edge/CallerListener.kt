package io.camphordrum.daemon.edge

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/**
 * Accepts callers' connections and passes on complete requests, with target and body unchanged byte for byte.
 *
 * All work runs on [loop], together with the decisions on requests.
 */
class CallerListener(
    private val loop: EventLoop,
    private val transport: Transport,
    internal val onRequest: (CallerExchange) -> Unit,
) {
    /** Bounds on connections and requests of callers; replaced whenever the configuration changes. */
    var limits = EdgeSettings()

    /** Whether answers carry `connection: close`, so that callers reconnect to another instance. */
    @Volatile
    var draining = false
        private set

    private val connections = HashSet<CallerConnection>()
    private var channel: Channel? = null

    /** Listens on [address] and returns the port. */
    fun start(address: InetSocketAddress): Int {
        val bound = ServerBootstrap()
            .group(loop)
            .channel(transport.serverChannel)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.ALLOCATOR, transport.allocator)
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    transport.setUnresponsiveTimeout(channel, CALLER_UNRESPONSIVE_MILLIS)
                    channel.pipeline().addLast(decoder(), CallerConnection(this@CallerListener))
                }
            })
            .bind(address).sync().channel()
        channel = bound
        loop.scheduleAtFixedRate(::closeExpired, EXPIRY_CHECK_MILLIS, EXPIRY_CHECK_MILLIS, TimeUnit.MILLISECONDS)
        return (bound.localAddress() as InetSocketAddress).port
    }

    /** Starts the drain: from now on answers carry `connection: close`. */
    fun drain() {
        draining = true
    }

    /** Stops accepting connections and closes the idle ones. */
    fun stop() {
        channel?.close()
        connections.toList().forEach { it.closeIdle() }
    }

    /** Returns the bytes of answers that callers have not taken yet; called on the event loop. */
    fun unsentBytes(): Long = connections.sumOf { it.unsentBytes }

    internal fun onOpened(connection: CallerConnection): Boolean {
        if (connections.size >= limits.maxConnections) return false
        connections += connection
        return true
    }

    internal fun onClosed(connection: CallerConnection) {
        connections -= connection
    }

    private fun closeExpired() {
        val now = System.nanoTime()
        connections.toList().forEach { it.closeIfExpired(now, limits) }
    }

    private fun decoder() = object : HttpRequestDecoder(
        HttpDecoderConfig().setMaxInitialLineLength(limits.maxHeaderBytes).setMaxHeaderSize(limits.maxHeaderBytes),
    ) {
        // Keeps both framing headers, so that the request is refused; its length would otherwise be ambiguous.
        override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) = Unit
    }

    private companion object {
        const val BACKLOG = 1_024
        const val EXPIRY_CHECK_MILLIS = 500L

        // A caller whose packets are lost must not keep an endpoint busy; lossy links still have time to retransmit.
        const val CALLER_UNRESPONSIVE_MILLIS = 8_000
    }
}
