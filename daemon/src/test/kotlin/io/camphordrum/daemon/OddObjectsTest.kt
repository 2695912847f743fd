package io.camphordrum.daemon

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.Server
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Verifies that odd entries in the platform's responses cost nothing but themselves. */
class OddObjectsTest {
    private var body = ""
    private val server = Server.builder()
        .http(0)
        .serviceUnder("/") { _, _ -> HttpResponse.of(HttpStatus.OK, MediaType.JSON_UTF_8, body) }
        .build()
        .also { it.start().join() }
    private val factory = ClientFactory.builder().build()
    private val events = CopyOnWriteArrayList<String>()
    private val store = HttpObjectStore(
        "http://127.0.0.1:${server.activeLocalPort()}",
        factory,
        timeoutMillis = 1_000,
        logEvent = { event, _ -> events += event },
    )

    @AfterEach
    fun stop() {
        server.stop().join()
        factory.closeAsync()
    }

    private fun watch(response: String): WatchResult {
        body = response
        val result = CompletableFuture<WatchResult>()
        store.watch("membership/", 0, 1_000, result::complete)
        return result.get(RESULT_SECONDS, TimeUnit.SECONDS)
    }

    private fun versions(response: String) = assertIs<WatchResult.Changed>(watch(response)).versions

    @Nested
    inner class Watches {
        // Guards against the loss of all changes of a response because of one odd object.
        @Test
        fun `an odd object does not affect the others`() {
            for (odd in listOf("7", "{}", """{"name":"b","version":"x"}""", """{"name":[],"version":2}""")) {
                val response = """{"version":5,"objects":[{"name":"a","version":1},$odd,{"name":"c","version":3}]}"""
                assertEquals(mapOf("a" to 1L, "c" to 3L), versions(response), odd)
            }
        }

        // Guards against a version that moves the watch past all later changes.
        @Test
        fun `a version beyond that of the response is odd`() {
            for (version in listOf("6", "9223372036854775807", "-1", "99999999999999999999")) {
                val response = """{"version":5,"objects":[{"name":"a","version":1},{"name":"b","version":$version}]}"""
                assertEquals(mapOf("a" to 1L), versions(response), version)
            }
        }

        // Guards against a stack overflow that skips the callback, so that the watch never polls again.
        @Test
        fun `a deeply nested response is unavailable`() {
            val deep = "[".repeat(DEPTH) + "]".repeat(DEPTH)
            assertIs<WatchResult.Unavailable>(watch("""{"version":5,"objects":$deep}"""))
        }
    }

    @Nested
    inner class Logs {
        // Guards against a log line for an odd object at every poll.
        @Test
        fun `an odd object is logged once`() {
            repeat(2) { watch("""{"version":5,"objects":[{"name":"a","version":1},{"name":"b","version":6}]}""") }
            assertEquals(listOf("object_unreadable"), events)
        }
    }

    @Nested
    inner class Instances {
        // Guards against the loss of the whole list because of one odd instance.
        @Test
        fun `an odd instance does not affect the others`() {
            body = """[7,{"id":"a","kind":"engine","dataCentre":"x","address":"127.0.0.1:1"},{"id":"b"}]"""
            val result = CompletableFuture<InstancesResult>()
            store.instances(result::complete)
            val listed = assertIs<InstancesResult.Listed>(result.get(RESULT_SECONDS, TimeUnit.SECONDS))
            assertEquals(listOf("a"), listed.instances.map { it.id })
            assertEquals(listOf("instance_unreadable", "instance_unreadable"), events)
        }
    }

    private companion object {
        const val RESULT_SECONDS = 5L
        const val DEPTH = 100_000
    }
}
