package io.camphordrum.daemon

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.server.Server
import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.CallerRequest
import io.camphordrum.core.DispatchOrder
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Operation
import io.camphordrum.core.once.RecordedAnswer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs

/** Guards the caller side against malformed input, and endpoints against callers' keys. */
class CallerServiceTest {
    private val arrived = CopyOnWriteArrayList<Pair<CallerRequest, Exchange>>()
    private val service = CallerService(SystemClock, { "hash of $it" }, ::arrive) {}
    private val server = Server.builder().http(0).maxRequestLength(1_000).serviceUnder("/", service).build()
    private val client = WebClient.of("http://127.0.0.1:${server.also { it.start().join() }.activeLocalPort()}")

    @AfterEach
    fun stop() {
        server.stop()
    }

    private fun arrive(request: CallerRequest, exchange: Exchange): Boolean {
        arrived += request to exchange
        exchange.complete(RecordedAnswer.of(200, "application/json", "{}".toByteArray()))
        return true
    }

    private fun post(body: String, vararg headers: Pair<String, String>, path: String = "/v1/completions") =
        call(HttpMethod.POST, path, body, *headers)

    private fun call(
        method: HttpMethod,
        path: String,
        body: String,
        vararg headers: Pair<String, String>,
    ): AggregatedHttpResponse {
        val head = RequestHeaders.builder(method, path)
        for ((name, value) in headers) head.set(name, value)
        return client.execute(head.build(), body).aggregate().join()
    }

    private fun sentToEndpoint(version: AdapterVersion?): AggregatedHttpRequest {
        val order = DispatchOrder(1, "d-1", EndpointId("e1"), "x:1", version, 1, 3, 16, 1_000)
        return arrived.single().second.toEndpoint(order).aggregate().join()
    }

    @Nested
    inner class BadInput {
        private fun assertRefused(response: AggregatedHttpResponse, field: String) {
            assertEquals(400, response.status().code())
            assertContains(response.contentUtf8(), field)
            assertEquals(0, arrived.size)
        }

        @Test
        fun `malformed JSON is refused`() = assertRefused(post("{"), "body: expected a JSON object")

        @Test
        fun `a missing model is refused`() = assertRefused(post("""{"prompt":"x"}"""), "model: expected")

        @Test
        fun `a missing prompt is refused`() = assertRefused(post("""{"model":"a"}"""), "prompt or messages")

        @Test
        fun `a negative max_tokens is refused`() =
            assertRefused(post("""{"model":"a","prompt":"x","max_tokens":-1}"""), "max_tokens: expected")

        @Test
        fun `a deadline that is not a number is refused`() =
            assertRefused(post("""{"model":"a","prompt":"x"}""", "x-deadline-ms" to "soon"), "x-deadline-ms")

        @Test
        fun `an oversized body is refused with 413`() {
            assertEquals(413, post("x".repeat(2_000)).status().code())
        }
    }

    @Nested
    inner class Keys {
        @Test
        fun `the core receives only the hash`() {
            post("""{"model":"a","prompt":"x"}""", "authorization" to "Bearer secret-key")
            assertEquals("hash of secret-key", arrived.single().first.keyHash)
        }

        @Test
        fun `an engine request carries neither key nor caller headers`() {
            post("""{"model":"a","prompt":"x"}""", "authorization" to "Bearer secret-key", "x-api-key" to "secret-key")
            val request = sentToEndpoint(AdapterVersion("a", 2))
            assertFalse((request.headers().toString() + request.contentUtf8()).contains("secret-key"))
        }

        @Test
        fun `a service request carries neither key nor cookies`() {
            post("{}", "authorization" to "Bearer secret-key", "cookie" to "k=secret-key", path = "/orders/1")
            val request = sentToEndpoint(null)
            assertFalse((request.headers().toString() + request.contentUtf8()).contains("secret-key"))
        }
    }

    @Nested
    inner class Requests {
        @Test
        fun `an engine receives the exact version and the bounded output`() {
            post("""{"model":"a","prompt":"x"}""")
            val body = sentToEndpoint(AdapterVersion("a", 2)).contentUtf8()
            assertContains(body, "\"model\":\"a@2\"")
            assertContains(body, "\"max_tokens\":16")
        }

        @Test
        fun `the prompt is charged at least by its bytes`() {
            post("""{"model":"a","messages":[{"role":"user","content":"räksmörgås"}]}""")
            val work = assertIs<Operation.Completion>(arrived.single().first.operation)
            assertEquals("user".length + "räksmörgås".toByteArray().size + 8L, work.promptTokens)
        }

        @Test
        fun `a service call keeps its path and idempotency key`() {
            post("{}", "idempotency-key" to "k1", path = "/orders/1?x=2")
            assertEquals("k1", arrived.single().first.idempotencyKey)
            assertEquals("/orders/1?x=2", sentToEndpoint(null).path())
        }
    }
}
