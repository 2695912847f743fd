package io.camphordrum.daemon

import com.linecorp.armeria.client.ClientFactory
import io.camphordrum.standins.Platform
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.util.concurrent.CompletableFuture
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Verifies how the platform client handles the platform's formats, failures and lost responses. */
class HttpObjectStoreTest {
    private val platform = Platform().start()
    private val factory = ClientFactory.builder().build()
    private val store = HttpObjectStore(platform.url, factory, timeoutMillis = 1_000)

    @AfterEach
    fun stop() {
        platform.stop()
        factory.closeAsync()
    }

    private fun control(message: String) = platform.control(Json.parseToJsonElement(message).jsonObject)

    private fun <T> awaitResult(call: ((T) -> Unit) -> Unit): T = CompletableFuture<T>().also {
        call(it::complete)
    }.join()

    private fun write(name: String, value: String, version: Long): WriteResult =
        awaitResult { store.write(name, value.toByteArray(), version, it) }

    private fun read(name: String): ReadResult = awaitResult { store.read(name, it) }

    private fun watch(prefix: String, version: Long, timeoutMillis: Long): WatchResult =
        awaitResult { store.watch(prefix, version, timeoutMillis, it) }

    @Nested
    inner class Objects {
        @Test
        fun `a written object is read back with its version`() {
            val version = assertIs<WriteResult.Applied>(write("membership/a", "one", 0)).version
            val found = assertIs<ReadResult.Found>(read("membership/a"))
            assertEquals(version, found.version)
            assertContentEquals("one".toByteArray(), found.value)
        }

        @Test
        fun `a write with a stale version is a conflict`() {
            write("x", "one", 0)
            assertEquals(WriteResult.Conflict, write("x", "two", 0))
        }

        @Test
        fun `a missing object is distinguished from an outage`() {
            assertEquals(ReadResult.Missing, read("x"))
            control("""{"outage":"refuse"}""")
            assertIs<ReadResult.Unavailable>(read("x"))
        }

        @Test
        fun `a lost response leaves the outcome unknown`() {
            control("""{"loseAnswers":1}""")
            assertIs<WriteResult.Unknown>(write("x", "one", 0))
        }
    }

    @Nested
    inner class Watches {
        @Test
        fun `a watch returns the changed objects and their versions`() {
            val version = assertIs<WriteResult.Applied>(write("membership/a", "one", 0)).version
            val changed = assertIs<WatchResult.Changed>(watch("membership/", 0, 1_000))
            assertEquals(mapOf("membership/a" to version), changed.versions)
        }

        @Test
        fun `a watch without changes returns an empty result`() {
            assertEquals(WatchResult.Changed(emptyMap()), watch("membership/", 0, 1))
        }
    }

    @Nested
    inner class Loads {
        @Test
        fun `load metrics contain the adapters that have requests`() {
            val text = """
                engine_incarnation 3
                engine_lora_slots 4
                engine_lora_resident{adapter="a@1"} 1
                engine_lora_requests{adapter="a@1"} 2
                engine_lora_resident{adapter="b@2"} 1
                engine_lora_requests{adapter="b@2"} 0
            """.trimIndent()
            val report = checkNotNull(parseLoadReport(text, 5))
            assertEquals(setOf("a@1", "b@2"), report.resident.map { it.toString() }.toSet())
            assertEquals(listOf("a@1"), report.busy?.map { it.toString() })
        }

        @Test
        fun `metrics without an incarnation yield no report`() {
            assertEquals(null, parseLoadReport("garbage", 5))
        }
    }
}
