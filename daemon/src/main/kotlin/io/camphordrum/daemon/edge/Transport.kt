package io.camphordrum.daemon.edge

import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.PooledByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.IoHandlerFactory
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.epoll.Epoll
import io.netty.channel.epoll.EpollChannelOption
import io.netty.channel.epoll.EpollIoHandler
import io.netty.channel.epoll.EpollServerSocketChannel
import io.netty.channel.epoll.EpollSocketChannel
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.ServerSocketChannel
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.util.concurrent.DefaultThreadFactory

/** Selects the socket implementation: epoll if available, since only it has a timeout for unresponsive peers. */
class Transport private constructor(
    val serverChannel: Class<out ServerSocketChannel>,
    val clientChannel: Class<out SocketChannel>,
    private val ioHandlerFactory: () -> IoHandlerFactory,
    private val epoll: Boolean,
) {
    /**
     * Allocates the buffers of all connections.
     *
     * Its chunks are small, because one buffer that a slow peer keeps holds its whole chunk.
     */
    val allocator: ByteBufAllocator = PooledByteBufAllocator(true, 0, 1, PAGE_BYTES, CHUNK_ORDER)

    /** Returns one event loop on a daemon thread of the given name. */
    fun group(name: String): EventLoopGroup =
        MultiThreadIoEventLoopGroup(1, DefaultThreadFactory(name, true), ioHandlerFactory())

    /** Closes [channel] when bytes are unacknowledged, or keep-alive probes unanswered, for about [millis]. */
    fun setUnresponsiveTimeout(channel: Channel, millis: Int) {
        channel.config().setOption(ChannelOption.SO_KEEPALIVE, true)
        if (!epoll) return
        channel.config().setOption(EpollChannelOption.TCP_USER_TIMEOUT, millis)
        channel.config().setOption(EpollChannelOption.TCP_KEEPIDLE, 1)
        channel.config().setOption(EpollChannelOption.TCP_KEEPINTVL, 1)
        channel.config().setOption(EpollChannelOption.TCP_KEEPCNT, maxOf(1, millis / 1_000))
    }

    companion object {
        private const val PAGE_BYTES = 8_192

        // 512 KB; larger buffers are allocated and freed one by one.
        private const val CHUNK_ORDER = 6

        /** Returns the preferred implementation that this system supports. */
        fun best(): Transport = if (Epoll.isAvailable()) epoll() else nio()

        internal fun epoll() = Transport(
            EpollServerSocketChannel::class.java,
            EpollSocketChannel::class.java,
            { EpollIoHandler.newFactory() },
            epoll = true,
        )

        internal fun nio() = Transport(
            NioServerSocketChannel::class.java,
            NioSocketChannel::class.java,
            { NioIoHandler.newFactory() },
            epoll = false,
        )
    }
}
