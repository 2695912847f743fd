package io.camphordrum.daemon

import com.linecorp.armeria.client.ClientFactory
import io.camphordrum.standins.Platform
import org.junit.jupiter.api.AfterEach
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Guards the form of the platform's answers that daemons read. */
class HttpObjectStoreTest {
    private val platform = Platform().start()
    private val factory = ClientFactory.builder().build()
    private val store = HttpObjectStore(platform.url, factory, 10_000)

    @AfterEach
    fun stop() {
        platform.stop()
        factory.closeAsync()
    }

    /** Guards against a watch whose answer cannot be read, so that changes reach a daemon late or never. */
    @Test
    fun `a watch tells which objects changed and their versions`() {
        val written = CompletableFuture<WriteEnd>()
        store.write("config/root", "one".toByteArray(), 0) { written.complete(it) }
        val version = assertIs<WriteEnd.Applied>(written.get(1, TimeUnit.MINUTES)).version
        val watched = CompletableFuture<WatchOutcome>()
        store.watch("config/root", 0, 30_000) { watched.complete(it) }
        val changed = assertIs<WatchOutcome.Changed>(watched.get(1, TimeUnit.MINUTES))
        assertEquals(mapOf("config/root" to version), changed.versions)
    }
}
