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
 * Accepts callers' connections and hands on whole requests, with target and body byte for byte as they came.
 *
 * Everything runs on [loop], where the decisions run too.
 */
class CallerListener(
    private val loop: EventLoop,
    private val transport: Transport,
    internal val onRequest: (CallerExchange) -> Unit,
) {
    /** Bounds on what callers may send; replaced with the configuration. */
    var limits = EdgeSettings()

    /** Whether every answer asks its caller to connect anew elsewhere. */
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
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    transport.endSilent(channel, CALLER_SILENT_MILLIS)
                    channel.pipeline().addLast(decoder(), CallerConnection(this@CallerListener))
                }
            })
            .bind(address).sync().channel()
        channel = bound
        loop.scheduleAtFixedRate(::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS)
        return (bound.localAddress() as InetSocketAddress).port
    }

    /** Asks all callers to leave with their next answer. */
    fun drain() {
        draining = true
    }

    /** Takes no more connections, and closes those on which nothing is under way. */
    fun stop() {
        channel?.close()
        connections.toList().forEach { it.closeIdle() }
    }

    internal fun opened(connection: CallerConnection): Boolean {
        if (connections.size >= limits.maxConnections) return false
        connections += connection
        return true
    }

    internal fun closed(connection: CallerConnection) {
        connections -= connection
    }

    private fun sweep() {
        val now = System.nanoTime()
        connections.toList().forEach { it.sweep(now, limits) }
    }

    private fun decoder() = object : HttpRequestDecoder(
        HttpDecoderConfig().setMaxInitialLineLength(limits.maxHeaderBytes).setMaxHeaderSize(limits.maxHeaderBytes),
    ) {
        // Both framings stay visible, so that the request is refused instead of read in one of two ways.
        override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) = Unit
    }

    private companion object {
        const val BACKLOG = 1_024
        const val SWEEP_MILLIS = 500L

        // A caller whose packets vanish must not hold an endpoint; callers on lossy links still get retransmissions.
        const val CALLER_SILENT_MILLIS = 8_000
    }
}
