package io.camphordrum.wire

import io.netty.buffer.ByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.EventLoop
import io.netty.channel.ServerChannel

/**
 * Selects the event loop and the sockets of a [PeerNetwork] that shares them with other connections.
 *
 * @property loop runs all connections and callbacks of the network.
 */
public class PeerTransport(
    public val loop: EventLoop,
    public val serverChannel: Class<out ServerChannel>,
    public val clientChannel: Class<out Channel>,
    public val allocator: ByteBufAllocator,
)
