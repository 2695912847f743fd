package io.camphordrum.daemon.edge

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.concurrent.thread
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

private const val UNFRAMED = "HTTP/1.1 200 OK\r\n\r\n"
private const val PAUSE_MILLIS = 100L

class EndpointConnectionTest {
    private class Recorder(private val onFirstPart: () -> Unit) : EndpointAnswerListener {
        val end = CompletableFuture<String>()
        var bytes = 0
            private set

        override fun onUnreachable(reason: String) = record("unreachable")

        override fun onHead(head: AnswerHead) = true

        override fun onPart(part: ByteBuf) {
            if (bytes == 0) onFirstPart()
            bytes += part.readableBytes()
            part.release()
        }

        override fun onComplete(end: AnswerEnd) = record(end.name)

        override fun onBroken(reason: String) = record("broken: $reason")

        private fun record(text: String) {
            end.complete(text)
        }
    }

    /** Sends a request with [bodyBytes] to an endpoint that runs [script], and returns how its answer ended. */
    private fun endOf(
        transportName: String,
        bodyBytes: Int = 0,
        headRequest: Boolean = false,
        onFirstPart: (EndpointSend) -> Unit = {},
        script: (Socket) -> Unit,
    ): Recorder {
        val transport = if (transportName == "epoll") Transport.epoll() else Transport.nio()
        val group = transport.group("test-$transportName")
        val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
        val endpoint = thread(isDaemon = true) {
            server.accept().use { socket ->
                readHead(socket)
                script(socket)
            }
        }
        try {
            lateinit var send: EndpointSend
            val recorder = Recorder { onFirstPart(send) }
            group.next().submit {
                val connections = EndpointConnections(group.next(), transport, EdgeSettings())
                val head = "POST / HTTP/1.1\r\nContent-Length: $bodyBytes\r\n\r\n".toByteArray()
                val request = Unpooled.wrappedBuffer(head, ByteArray(bodyBytes))
                send = connections.send("127.0.0.1:${server.localPort}", request, headRequest, recorder)
            }.get()
            recorder.end.runCatching { get(2, TimeUnit.SECONDS) }
            endpoint.join(2_000)
            return recorder
        } finally {
            server.close()
            group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
        }
    }

    // Guards against a request that waits for its deadline on a connection that a slow caller had paused.
    @ParameterizedTest
    @ValueSource(strings = ["epoll", "nio"])
    fun `a connection whose reading is paused at the end of an answer serves the next request`(transportName: String) {
        val transport = if (transportName == "epoll") Transport.epoll() else Transport.nio()
        val group = transport.group("test-$transportName")
        val loop = group.next()
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            thread(isDaemon = true) {
                server.accept().use { socket ->
                    repeat(2) {
                        readHead(socket)
                        socket.send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
                    }
                }
            }
            val connections = EndpointConnections(loop, transport, EdgeSettings())
            fun send(recorder: Recorder): EndpointSend = loop.submit<EndpointSend> {
                val request = Unpooled.wrappedBuffer("GET / HTTP/1.1\r\n\r\n".toByteArray())
                connections.send("127.0.0.1:${server.localPort}", request, headRequest = false, recorder)
            }.get()
            lateinit var firstSend: EndpointSend
            val first = Recorder { firstSend.setReading(false) }
            firstSend = send(first)
            assertEquals("FRAMED", first.end.get(2, TimeUnit.SECONDS))
            val second = Recorder {}
            send(second)
            assertEquals("FRAMED", second.end.get(2, TimeUnit.SECONDS))
            assertEquals(1, connections.opened)
        }
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
    }

    private fun readHead(socket: Socket) {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) head.append(socket.getInputStream().read().toChar())
    }

    private fun Socket.send(text: String) = getOutputStream().write(text.toByteArray())

    private fun Socket.reset() {
        setSoLinger(true, 0)
        close()
    }

    private fun assertBroken(recorder: Recorder) {
        val end = recorder.end.get(0, TimeUnit.SECONDS)
        assertTrue(end.startsWith("broken"), end)
    }

    @ParameterizedTest
    @ValueSource(strings = ["epoll", "nio"])
    fun `an orderly close ends an answer without a length`(transport: String) {
        val recorder = endOf(transport) {
            it.send(UNFRAMED + "body")
            it.close()
        }
        assertEquals("CLOSED", recorder.end.get(0, TimeUnit.SECONDS))
        assertEquals(4, recorder.bytes)
    }

    @ParameterizedTest
    @ValueSource(strings = ["epoll", "nio"])
    fun `an orderly close behind paused reading ends an answer after all its bytes`(transport: String) {
        val resume = { send: EndpointSend ->
            send.setReading(false)
            thread {
                Thread.sleep(2 * PAUSE_MILLIS)
                send.setReading(true)
            }
            Unit
        }
        val recorder = endOf(transport, onFirstPart = resume) {
            it.send(UNFRAMED + "a")
            Thread.sleep(PAUSE_MILLIS)
            it.send("bcd")
            it.close()
        }
        assertEquals("CLOSED", recorder.end.get(0, TimeUnit.SECONDS))
        assertEquals(4, recorder.bytes)
    }

    // Guards against a reset that the decoder takes for the end of an answer.
    @ParameterizedTest
    @ValueSource(strings = ["epoll", "nio"])
    fun `a reset does not end an answer without a length`(transport: String) = assertBroken(
        endOf(transport) {
            it.send(UNFRAMED + "body")
            Thread.sleep(PAUSE_MILLIS)
            it.reset()
        },
    )

    // Guards against a reset that is noticed only when reading resumes.
    @ParameterizedTest
    @ValueSource(strings = ["epoll", "nio"])
    fun `a reset behind paused reading does not end an answer without a length`(transport: String) {
        val resume = { send: EndpointSend ->
            send.setReading(false)
            thread {
                Thread.sleep(3 * PAUSE_MILLIS)
                send.setReading(true)
            }
            Unit
        }
        assertBroken(
            endOf(transport, onFirstPart = resume) {
                it.send(UNFRAMED + "a")
                Thread.sleep(PAUSE_MILLIS)
                it.send("bcd")
                it.reset()
            },
        )
    }

    // Guards against a failed write, which closes the connection without an error event of its own.
    @ParameterizedTest
    @ValueSource(strings = ["epoll", "nio"])
    fun `a failed write does not end an answer without a length`(transport: String) = assertBroken(
        endOf(transport, LARGE_BODY_BYTES, onFirstPart = { it.setReading(false) }) {
            it.send(UNFRAMED + "body")
            Thread.sleep(PAUSE_MILLIS)
            it.reset()
        },
    )

    // Guards against an endpoint that ends its answer before it has read the whole request.
    @ParameterizedTest
    @ValueSource(strings = ["epoll", "nio"])
    fun `an end before the whole request was written does not end an answer without a length`(transport: String) =
        assertBroken(
            endOf(transport, LARGE_BODY_BYTES) {
                it.send(UNFRAMED + "body")
                it.shutdownOutput()
                Thread.sleep(3 * PAUSE_MILLIS)
            },
        )

    // Guards against a close of this process that looks like the endpoint's end.
    @ParameterizedTest
    @ValueSource(strings = ["epoll", "nio"])
    fun `a local close does not end an answer without a length`(transport: String) = assertBroken(
        endOf(transport, onFirstPart = { it.connection!!.close() }) {
            it.send(UNFRAMED + "body")
            Thread.sleep(PAUSE_MILLIS)
        },
    )

    @ParameterizedTest
    @ValueSource(strings = ["epoll", "nio"])
    fun `a cancelled request has no end`(transport: String) {
        val recorder = endOf(transport, onFirstPart = { it.cancel() }) {
            it.send(UNFRAMED + "body")
            Thread.sleep(PAUSE_MILLIS)
        }
        assertFailsWith<TimeoutException> { recorder.end.get(0, TimeUnit.SECONDS) }
    }

    // Guards against a framed answer that stops before its end.
    @ParameterizedTest
    @ValueSource(strings = ["epoll", "nio"])
    fun `an answer with a length or chunks that stops early is broken`(transport: String) {
        val answers = listOf(
            "Content-Length: 10\r\n\r\nbody",
            "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
            "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n",
            "Content-Length: 10\r\n",
        )
        for (answer in answers) {
            assertBroken(
                endOf(transport) {
                    it.send("HTTP/1.1 200 OK\r\n$answer")
                    it.close()
                },
            )
        }
    }

    @ParameterizedTest
    @ValueSource(strings = ["epoll", "nio"])
    fun `a whole answer with a length, chunks or no body is framed`(transport: String) {
        val answers = listOf(
            "200 OK\r\nContent-Length: 4\r\n\r\nbody",
            "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            "204 No Content\r\n\r\n",
        )
        for (answer in answers) {
            val recorder = endOf(transport) {
                it.send("HTTP/1.1 $answer")
                it.close()
            }
            assertEquals("FRAMED", recorder.end.get(0, TimeUnit.SECONDS))
        }
        val recorder = endOf(transport, headRequest = true) { it.send("HTTP/1.1 200 OK\r\n\r\n") }
        assertEquals("FRAMED", recorder.end.get(0, TimeUnit.SECONDS))
    }

    private companion object {
        const val LARGE_BODY_BYTES = 16 shl 20
    }
}
