package io.camphordrum.daemon

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import io.camphordrum.core.DispatchEnd
import io.camphordrum.core.DispatchOrder
import io.camphordrum.core.EndpointId
import org.junit.jupiter.api.AfterEach
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import kotlin.concurrent.thread

/** Dispatches requests of a plain service to an endpoint that closes its connection after its answer. */
abstract class EndingEndpoint {
    private val factory = endpointClientFactory().connectTimeoutMillis(2_000).build()

    @AfterEach
    fun stop() {
        factory.closeAsync()
    }

    /** Returns how a dispatch ends when the endpoint closes its connection after [body]. */
    protected fun endOf(framing: String, body: String, streaming: Boolean = false): DispatchEnd =
        endOf(head(framing) + body, streaming)

    /** Returns the head of a success with the headers [framing]. */
    protected fun head(framing: String) =
        "HTTP/1.1 200 OK\r\nx-dispatch-id: d-1\r\ncontent-type: application/json\r\n$framing\r\n"

    /** Returns how a dispatch ends when the endpoint closes its connection after the bytes [answer]. */
    protected fun endOf(answer: String, streaming: Boolean): DispatchEnd =
        ServerSocket(0, 50, InetAddress.getLoopbackAddress()).use { server ->
            thread(isDaemon = true) {
                while (!server.isClosed) {
                    runCatching { server.accept().use { answer(it, answer) } }
                }
            }
            val address = "127.0.0.1:${server.localPort}"
            val order = DispatchOrder(1, "d-1", EndpointId("e1"), address, null, 1, 0, 5, 10_000)
            val end = CompletableFuture<DispatchEnd>()
            val exchange = Exchange(1, streaming) { HttpRequest.of(HttpMethod.POST, "/") }
            EndpointClient(factory).dispatch(order, exchange) { end.complete(it) }
            end.join()
        }

    private fun answer(socket: Socket, answer: String) {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) head.append(socket.getInputStream().read().toChar())
        // Refuses the client's attempts to speak HTTP/2.
        val refusal = "HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n"
        socket.getOutputStream().write((if (head.startsWith("POST")) answer else refusal).toByteArray())
    }
}
