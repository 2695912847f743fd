package io.camphordrum.wire

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.Member
import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.util.concurrent.DefaultThreadFactory
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/**
 * Exchanges messages with daemons by peer address; messages may be lost, but stay in order within a connection.
 *
 * ```kotlin
 * val network = PeerNetwork(self, DataCentreId("a"), PeerSettings(port = 8101), PeerEvents(onMessage = ::handle))
 * network.start()
 * network.send("127.0.0.1:8102", PeerMessage.Membership(heartbeat))
 * ```
 *
 * Each address has one outgoing connection, which carries only messages of this daemon and is re-established with
 * back-off until [disconnect]. Call that for addresses of former members, because the number of addresses is limited.
 * The hello identifies a peer, without authentication.
 *
 * All work runs on one thread: the event loop of [sharedTransport], or one of its own named `peers`. A shared loop
 * saves the switches between threads for each message.
 */
public class PeerNetwork(
    private val self: Member,
    private val dataCentre: DataCentreId,
    private val settings: PeerSettings,
    private val events: PeerEvents,
    private val sharedTransport: PeerTransport? = null,
) {
    /** Holds the connection to one address, and the attempts to open it. Only [queue] is used by other threads. */
    private class Outgoing(val remote: InetSocketAddress, val queue: PeerQueue) {
        var connection: PeerConnection? = null
        var channel: Channel? = null
        var failures = 0

        @Volatile
        var stopped = false
    }

    private val transport = sharedTransport ?: ownTransport()
    private val loop = transport.loop
    private val codec = FrameCodec(settings.maxFrameBytes)
    private val registry = PeerRegistry(events, maxInstances = 8 * settings.maxPeers)
    private val random = Random(settings.seed)
    private val outgoing = ConcurrentHashMap<String, Outgoing>()
    private val accepted = HashSet<Channel>()
    private val droppedCount = AtomicLong()

    @Volatile
    private var server: Channel? = null

    @Volatile
    private var port = settings.port

    @Volatile
    private var running = false

    /** Number of messages dropped because the queue of their peer was full. */
    public val droppedMessages: Long get() = droppedCount.get()

    /**
     * Starts listening and returns the port; throws `IOException` when the address in the settings cannot be bound.
     *
     * On the event loop itself it returns the port of the settings at once. If that cannot be bound, it reports a fault
     * and tries again until it can.
     */
    public fun start(): Int {
        check(!running) { "expected a network that was not started, but it runs on port $port" }
        running = true
        if (loop.inEventLoop()) {
            bind().addListener { if (!it.isSuccess && running) bindLater(it.cause()) }
            return port
        }
        val bound = bind().awaitUninterruptibly()
        if (!bound.isSuccess) {
            running = false
            throw bound.cause()
        }
        // Listeners of the future may run after the wait ends.
        recordBound(bound)
        return port
    }

    /** Queues [message] for the peer at [address] (`host:port`); returns false when it cannot be queued. */
    public fun send(address: String, message: PeerMessage): Boolean {
        if (!running) return false
        val peer = outgoing[address] ?: add(address) ?: return false
        peer.queue.offer(message)
        if (peer.queue.flushScheduled.compareAndSet(false, true)) {
            loop.execute {
                peer.queue.flushScheduled.set(false)
                peer.connection?.flush()
            }
        }
        return true
    }

    /** Closes the connection to [address] and drops its queued messages; a later [send] connects again. */
    public fun disconnect(address: String) {
        val peer = outgoing.remove(address) ?: return
        peer.stopped = true
        loop.execute { close(peer) }
    }

    /** Closes all connections and stops the thread of this network; queued messages are lost. */
    public fun stop() {
        if (!running) return
        running = false
        val closed = loop.submit {
            outgoing.values.forEach {
                it.stopped = true
                close(it)
            }
            outgoing.clear()
            accepted.toList().forEach { it.close() }
            server?.close()
        }
        if (!loop.inEventLoop()) closed.awaitUninterruptibly()
        if (sharedTransport == null) {
            loop.parent().shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly()
        }
    }

    private fun add(address: String): Outgoing? {
        val colon = address.lastIndexOf(':')
        val port = address.substring(colon + 1).toIntOrNull() ?: return null
        if (colon <= 0 || port !in 1..MAX_PORT || outgoing.size >= settings.maxPeers) return null
        return outgoing.computeIfAbsent(address) {
            val remote = InetSocketAddress(address.substring(0, colon), port)
            Outgoing(remote, PeerQueue(settings.queueCapacity, droppedCount)).also { peer ->
                loop.execute { connect(address, peer) }
            }
        }
    }

    private fun bind(): ChannelFuture = ServerBootstrap().group(loop).channel(transport.serverChannel)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.ALLOCATOR, transport.allocator)
        .childHandler(channelInitializer(::accept))
        .bind(settings.host, settings.port)
        .addListener { if (it.isSuccess) recordBound(it as ChannelFuture) }

    private fun recordBound(bound: ChannelFuture) {
        server = bound.channel()
        port = (bound.channel().localAddress() as InetSocketAddress).port
    }

    private fun bindLater(cause: Throwable) {
        events.onFault(settings.host, "listen failed: ${cause.message}")
        loop.schedule({
            if (running) bind().addListener { if (!it.isSuccess && running) bindLater(it.cause()) }
        }, settings.maxBackOffMillis, TimeUnit.MILLISECONDS)
    }

    private fun accept(channel: Channel) {
        if (accepted.size >= settings.maxPeers) {
            // The address of a connection that its peer has closed cannot be read.
            events.onFault(settings.host, "expected at most ${settings.maxPeers} connections")
            channel.close()
            return
        }
        accepted += channel
        channel.closeFuture().addListener { accepted -= channel }
        channel.pipeline().addLast(connection(channel.remoteAddress().toString(), queue = null) {})
    }

    private fun connect(address: String, peer: Outgoing) {
        if (peer.stopped) return
        val connected = Bootstrap().group(loop).channel(transport.clientChannel)
            .option(ChannelOption.ALLOCATOR, transport.allocator)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.helloTimeoutMillis.toInt())
            .handler(
                channelInitializer { channel ->
                    val connection = connection(address, peer.queue) { hellosExchanged ->
                        peer.connection = null
                        if (hellosExchanged) peer.failures = 0 else peer.failures++
                        connectLater(address, peer)
                    }
                    peer.connection = connection
                    channel.pipeline().addLast(connection)
                },
            )
            .connect(peer.remote)
        peer.channel = connected.channel()
        connected.addListener { future ->
            if (!future.isSuccess && !peer.stopped) {
                events.onFault(address, "connect failed: ${future.cause().message}")
                peer.connection = null
                peer.failures++
                connectLater(address, peer)
            }
        }
    }

    private fun connectLater(address: String, peer: Outgoing) {
        if (peer.stopped) return
        loop.schedule({ connect(address, peer) }, backOff(peer.failures), TimeUnit.MILLISECONDS)
    }

    private fun close(peer: Outgoing) {
        peer.channel?.close()
    }

    private fun connection(remote: String, queue: PeerQueue?, onEnd: (Boolean) -> Unit): PeerConnection {
        val hello = Hello(
            Hello.PROTOCOL_VERSION,
            self,
            dataCentre,
            settings.advertisedAddress ?: "${settings.host}:$port",
        )
        return PeerConnection(remote, hello, settings, codec, registry, events, queue, onEnd)
    }

    private fun channelInitializer(initialize: (Channel) -> Unit) = object : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) = initialize(channel)
    }

    private fun backOff(failures: Int): Long {
        val uncappedMillis = settings.backOffMillis shl failures.coerceAtMost(MAX_DOUBLINGS)
        val delayMillis = uncappedMillis.coerceAtMost(settings.maxBackOffMillis).coerceAtLeast(2)
        return delayMillis / 2 + random.nextLong(delayMillis / 2 + 1)
    }

    private companion object {
        const val MAX_PORT = 65_535
        const val MAX_DOUBLINGS = 16
        const val STOP_MILLIS = 1_000L

        fun ownTransport() = PeerTransport(
            MultiThreadIoEventLoopGroup(1, DefaultThreadFactory("peers", true), NioIoHandler.newFactory()).next(),
            NioServerSocketChannel::class.java,
            NioSocketChannel::class.java,
            UnpooledByteBufAllocator.DEFAULT,
        )
    }
}
