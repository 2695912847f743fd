package io.camphordrum.daemon.edge

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class CallerExchangeTest {
    private val handler = ChannelInboundHandlerAdapter()
    private val channel = EmbeddedChannel(handler)
    private val context: ChannelHandlerContext = channel.pipeline().context(handler)
    private var draining = false
    private val closeFlags = ArrayList<Boolean>()

    private fun exchange(draining: () -> Boolean) = CallerExchange(
        context,
        CallerHead("GET", "/", DefaultHttpHeaders()),
        Unpooled.EMPTY_BUFFER,
        keepAlive = true,
        http10 = false,
        draining,
    ) { closeFlags += it }

    private fun written(): String = generateSequence { channel.readOutbound<ByteBuf>() }
        .joinToString("") { it.toString(Charsets.US_ASCII) }

    // Guards against a drain that closes a connection whose last answer had no `connection: close`: the caller's next
    // request on that connection is then never answered (occurred once in RawEdgeTest$Drain).
    @Test
    fun `a drain that starts while an answer is written does not close a connection without a close header`() {
        var drainChecks = 0
        exchange { drainChecks++ > 0 }.answer(200, "OK", emptyList(), Unpooled.EMPTY_BUFFER)
        assertFalse("connection: close" in written())
        assertEquals(listOf(false), closeFlags)
    }

    // The head of a stream that began before the drain has no `connection: close`; without a close at its end, a
    // request on its connection would be accepted shortly before the process stops.
    @Test
    fun `a drain that starts during a stream closes the connection at the end of the stream`() {
        val exchange = exchange { draining }
        exchange.startAnswer(200, "OK", emptyList())
        draining = true
        exchange.endAnswer()
        assertEquals(listOf(true), closeFlags)
    }
}
