package io.camphordrum.daemon

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.DispatchEnd
import io.camphordrum.core.DispatchOrder
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Ran
import io.camphordrum.core.Refusal
import io.camphordrum.core.RefusalCode
import io.camphordrum.standins.Engine
import io.camphordrum.standins.EngineOptions
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import java.util.concurrent.CompletableFuture
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Verifies what a caller receives when an endpoint returns a wrong, a partial or no response. */
class EndpointClientTest {
    private val engine = Engine(options = EngineOptions(loadMillis = 1, stepMillis = 1.0)).start()
    private val factory = endpointClientFactory().connectTimeoutMillis(2_000).build()
    private val client = EndpointClient(factory)
    private val version = AdapterVersion("reports", 7)

    @BeforeEach
    fun loadAdapter() {
        val status = CompletableFuture<Int?>()
        client.sendOrder("127.0.0.1:${engine.port}", load = true, version, fencing = 1) { status.complete(it) }
        assertEquals(200, status.join())
    }

    @AfterEach
    fun stop() {
        engine.stop()
        factory.closeAsync()
    }

    private fun control(message: String) = engine.control(Json.parseToJsonElement(message).jsonObject)

    private fun exchange(streaming: Boolean) = Exchange(1, streaming) { order ->
        val body = """{"model":"${order.version}","prompt":"x","max_tokens":5,"stream":$streaming}"""
        val headers = RequestHeaders.builder(HttpMethod.POST, "/v1/completions").contentType(MediaType.JSON_UTF_8)
        HttpRequest.of(headers.build(), HttpData.ofUtf8(body))
    }

    private fun order(version: AdapterVersion = this.version, port: Int = engine.port) =
        DispatchOrder(1, "d-1", EndpointId("e1"), "127.0.0.1:$port", version, 1, 0, 5, 10_000)

    private fun dispatch(exchange: Exchange, order: DispatchOrder = order()): DispatchEnd {
        val end = CompletableFuture<DispatchEnd>()
        client.dispatch(order, exchange) { end.complete(it) }
        return end.join()
    }

    @Nested
    inner class Whole {
        @Test
        fun `a verified answer is complete and reports its usage`() {
            val end = assertIs<DispatchEnd.Completed>(dispatch(exchange(false)))
            assertTrue(end.usedTokens > 0)
            assertContains(checkNotNull(end.answer).body().decodeToString(), "d-1")
        }

        @Test
        fun `an answer from another adapter is a failure`() {
            control("""{"wrongAdapter":1}""")
            assertContains(assertIs<DispatchEnd.Failed>(dispatch(exchange(false))).reason, "expected adapter reports@7")
        }

        @Test
        fun `a body that is not JSON is a failure`() {
            control("""{"garbage":1}""")
            assertIs<DispatchEnd.Failed>(dispatch(exchange(false)))
        }

        @Test
        fun `an adapter that is not resident has not run`() {
            assertIs<DispatchEnd.NotRun>(dispatch(exchange(false), order(AdapterVersion("other", 1))))
        }

        @Test
        fun `a refused connection has not run`() {
            engine.stop()
            assertIs<DispatchEnd.NotRun>(dispatch(exchange(false), order(port = 1)))
        }
    }

    @Nested
    inner class Streams {
        @Test
        fun `a whole stream ends with DONE`() {
            val exchange = exchange(true)
            val response = exchange.response.aggregate()
            assertIs<DispatchEnd.Completed>(dispatch(exchange))
            assertContains(response.join().contentUtf8(), "[DONE]")
        }

        @Test
        fun `an interrupted stream ends with an error event and never with DONE`() {
            control("""{"breakAfterTokens":2}""")
            val exchange = exchange(true)
            val response = exchange.response.aggregate()
            val end = assertIs<DispatchEnd.Failed>(dispatch(exchange))
            assertTrue(end.reachedCaller)
            exchange.refuse(Refusal(RefusalCode.ENDPOINT_FAILED, end.reason, Ran.UNKNOWN))
            val received = response.join().contentUtf8()
            assertContains(received, "event: error")
            assertFalse(received.contains("[DONE]"))
        }

        @Test
        fun `no byte of a stream from another adapter reaches the caller`() {
            control("""{"wrongAdapter":1}""")
            val end = assertIs<DispatchEnd.Failed>(dispatch(exchange(true)))
            assertFalse(end.reachedCaller)
        }
    }
}
