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

/** Guards the platform client against the platform's forms, failures and lost answers. */
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

    private fun <T> result(call: ((T) -> Unit) -> Unit): T = CompletableFuture<T>().also { call(it::complete) }.join()

    private fun write(name: String, value: String, version: Long): WriteEnd =
        result { store.write(name, value.toByteArray(), version, it) }

    private fun read(name: String): ReadOutcome = result { store.read(name, it) }

    private fun watch(prefix: String, version: Long, millis: Long): WatchOutcome =
        result { store.watch(prefix, version, millis, it) }

    @Nested
    inner class Objects {
        @Test
        fun `a written object is read back with its version`() {
            val version = assertIs<WriteEnd.Applied>(write("membership/a", "one", 0)).version
            val found = assertIs<ReadOutcome.Found>(read("membership/a"))
            assertEquals(version, found.version)
            assertContentEquals("one".toByteArray(), found.value)
        }

        @Test
        fun `a write on an old version is a conflict`() {
            write("x", "one", 0)
            assertEquals(WriteEnd.Conflict, write("x", "two", 0))
        }

        @Test
        fun `a missing object is told apart from an outage`() {
            assertEquals(ReadOutcome.Missing, read("x"))
            control("""{"outage":"refuse"}""")
            assertIs<ReadOutcome.Unavailable>(read("x"))
        }

        @Test
        fun `a lost answer leaves the outcome unknown`() {
            control("""{"loseAnswers":1}""")
            assertIs<WriteEnd.Unknown>(write("x", "one", 0))
        }
    }

    @Nested
    inner class Watches {
        @Test
        fun `a watch tells which objects changed and their versions`() {
            val version = assertIs<WriteEnd.Applied>(write("membership/a", "one", 0)).version
            val changed = assertIs<WatchOutcome.Changed>(watch("membership/", 0, 1_000))
            assertEquals(mapOf("membership/a" to version), changed.versions)
        }

        @Test
        fun `a watch without changes ends empty`() {
            assertEquals(WatchOutcome.Changed(emptyMap()), watch("membership/", 0, 1))
        }
    }

    @Nested
    inner class Loads {
        @Test
        fun `a load page tells which adapters have requests`() {
            val text = """
                engine_incarnation 3
                engine_lora_slots 4
                engine_lora_resident{adapter="a@1"} 1
                engine_lora_requests{adapter="a@1"} 2
                engine_lora_resident{adapter="b@2"} 1
                engine_lora_requests{adapter="b@2"} 0
            """.trimIndent()
            val report = checkNotNull(parseLoad(text, 5))
            assertEquals(setOf("a@1", "b@2"), report.resident.map { it.toString() }.toSet())
            assertEquals(listOf("a@1"), report.busy?.map { it.toString() })
        }

        @Test
        fun `a page without an incarnation is no report`() {
            assertEquals(null, parseLoad("garbage", 5))
        }
    }
}
