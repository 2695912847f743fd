package io.camphordrum.standins

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

/** Tests the stand-ins themselves, because a wrong stand-in would invalidate the tests that use it. */
class StandInsTest {
    private val started = mutableListOf<StandIn>()

    private fun <T : StandIn> T.stoppedAfterTest(): T = also { started += it }

    @AfterEach
    fun stop() = started.forEach { it.stop() }

    private fun StandIn.call(
        method: HttpMethod,
        path: String,
        body: String = "",
        vararg headers: Pair<String, String>,
    ): AggregatedHttpResponse {
        val head = RequestHeaders.builder(method, path)
        for ((name, value) in headers) head.add(name, value)
        return WebClient.of(url).execute(head.build(), body).aggregate().join()
    }

    private fun AggregatedHttpResponse.json() = Json.parseToJsonElement(contentUtf8()).jsonObject

    @Nested
    inner class OfPlatform {
        private val platform = Platform().start().stoppedAfterTest()

        private fun put(name: String, version: Long, value: String) =
            platform.call(HttpMethod.PUT, "/objects/$name", value, "if-version" to "$version")

        @Test
        fun `a write with a stale version is rejected`() {
            val first = put("root/x", 0, "one").headers().get("x-version")!!.toLong()
            assertEquals(409, put("root/x", 0, "two").status().code())
            assertEquals(200, put("root/x", first, "three").status().code())
            assertEquals("three", platform.call(HttpMethod.GET, "/objects/root/x").contentUtf8())
        }

        @Test
        fun `a watch returns the next change under its prefix`() {
            val version = put("root", 0, "one").headers().get("x-version")
            val watch = WebClient.of(
                platform.url,
            ).get("/objects?prefix=root&watch=$version&timeoutMs=20000").aggregate()
            put("other", 0, "no")
            put("root", version!!.toLong(), "two")
            val changed = watch.join().json()["objects"]!!.jsonArray
            assertEquals(listOf("root"), changed.map { it.jsonObject["name"]!!.jsonPrimitive.content })
        }

        @Test
        fun `a write whose answer is lost takes effect`() {
            platform.call(HttpMethod.POST, "/control", """{"loseAnswers":1}""")
            val client = WebClient.builder(platform.url).responseTimeoutMillis(200).build()
            val head = RequestHeaders.of(HttpMethod.PUT, "/objects/root", "if-version", "0")
            assertFailsWith<Exception> { client.execute(head, "one").aggregate().join() }
            assertEquals("one", platform.call(HttpMethod.GET, "/objects/root").contentUtf8())
        }

        @Test
        fun `the instance list contains a change only after its lag`() {
            platform.call(HttpMethod.POST, "/control", """{"instances":[{"id":"e1"}]}""")
            assertContains(platform.call(HttpMethod.GET, "/instances").contentUtf8(), "e1")
            platform.call(HttpMethod.POST, "/control", """{"instances":[],"instanceLagMillis":600000}""")
            assertEquals("[]", platform.call(HttpMethod.GET, "/instances").contentUtf8())
        }
    }

    @Nested
    inner class OfEngine {
        private val engine =
            Engine(EngineOptions(slots = 1, loadMillis = 1, stepMillis = 1.0)).start().stoppedAfterTest()

        private fun load(name: String, fencing: Int) =
            engine.call(
                HttpMethod.POST,
                "/v1/load_lora_adapter",
                """{"lora_name":"$name"}""",
                "x-fencing" to "$fencing",
            )

        private fun complete(adapter: String, body: String) = engine.call(
            HttpMethod.POST,
            "/v1/completions",
            body,
            "x-adapter-version" to adapter,
            "x-dispatch-id" to "d1",
        )

        @Test
        fun `a request for an adapter that is not resident is rejected`() {
            assertEquals(404, complete("reports@7", "{}").status().code())
        }

        @Test
        fun `a stream has one numbered token per chunk and ends with DONE`() {
            load("reports@7", 1)
            val answer = complete("reports@7", """{"prompt":"p","max_tokens":3,"stream":true}""")
            val events = answer.contentUtf8().trim().split("\n\n")
            assertEquals(4, events.size)
            assertContains(events[0], "reports@7 d1 ")
            assertContains(events[2], "\"completion_tokens\":3")
            assertEquals("data: [DONE]", events[3])
            assertEquals("d1", answer.headers().get("x-dispatch-id"))
        }

        @Test
        fun `an order with a stale fencing token is rejected`() {
            assertEquals(200, load("a@1", 5).status().code())
            assertEquals(409, load("b@1", 4).status().code())
        }

        @Test
        fun `a load without a free slot is rejected`() {
            load("a@1", 1)
            assertEquals(400, load("b@1", 1).status().code())
        }

        @Test
        fun `an eviction under a running request is recorded`() {
            load("a@1", 1)
            val head = RequestHeaders.of(
                HttpMethod.POST,
                "/v1/completions",
                "x-adapter-version",
                "a@1",
                "x-dispatch-id",
                "d1",
            )
            val running = WebClient.of(engine.url).execute(head, """{"max_tokens":400}""").aggregate()
            while ("running 1" !in engine.call(HttpMethod.GET, "/metrics").contentUtf8()) Thread.onSpinWait()
            engine.call(HttpMethod.POST, "/v1/unload_lora_adapter", """{"lora_name":"a@1"}""", "x-fencing" to "1")
            running.join()
            assertEquals(1, engine.record()["violations"]!!.jsonArray.size)
        }

        @Test
        fun `a broken stream fails at the client`() {
            load("a@1", 1)
            engine.call(HttpMethod.POST, "/control", """{"breakAfterTokens":2}""")
            assertFailsWith<Exception> { complete("a@1", """{"max_tokens":9,"stream":true}""") }
            assertEquals(200, complete("a@1", """{"max_tokens":9,"stream":true}""").status().code())
        }

        @Test
        fun `a restart evicts all adapters and changes the incarnation`() {
            load("a@1", 1)
            val before = engine.call(HttpMethod.GET, "/metrics").contentUtf8()
            engine.call(HttpMethod.POST, "/control", """{"restart":true}""")
            val after = engine.call(HttpMethod.GET, "/metrics").contentUtf8()
            assertContains(before, "engine_lora_resident{adapter=\"a@1\"} 1")
            assertTrue("engine_lora_resident" !in after)
            assertTrue(before.lines()[2] != after.lines()[2])
        }
    }

    @Test
    fun `a service counts executions per key`() {
        val service = Service(delayMillis = 0).start().stoppedAfterTest()
        repeat(2) { service.call(HttpMethod.POST, "/orders/1", "{}", "idempotency-key" to "k") }
        assertEquals(
            2,
            service.call(HttpMethod.GET, "/control/record").json()["counts"]!!.jsonObject["k|{}"].toString().toInt(),
        )
    }
}
