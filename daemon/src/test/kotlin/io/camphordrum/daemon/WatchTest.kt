package io.camphordrum.daemon

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

/** Verifies when a watch polls and from which version. */
class WatchTest {
    private val polledVersions = ArrayList<Long>()
    private var result: WatchResult = WatchResult.Changed(emptyMap())
    private val store = object : ObjectStore {
        override fun watch(prefix: String, version: Long, timeoutMillis: Long, onResult: (WatchResult) -> Unit) {
            polledVersions += version
            onResult(result)
        }

        override fun read(name: String, onResult: (ReadResult) -> Unit) = error("not used")

        override fun write(name: String, value: ByteArray, version: Long, onResult: (WriteResult) -> Unit) =
            error("not used")

        override fun instances(onResult: (InstancesResult) -> Unit) = error("not used")
    }
    private val watch = Watch(store, "a/", { it() }, { true }, {}, { RETRY_NANOS })

    @Nested
    inner class OddObjects {
        // Guards against a poll at every tick while the platform keeps returning the same odd object.
        @Test
        fun `a result without progress delays the next poll`() {
            result = WatchResult.Changed(emptyMap(), version = 0, oddCount = 1)
            watch.tick(0)
            watch.tick(1)
            watch.tick(RETRY_NANOS)
            assertEquals(listOf(0L, 0L), polledVersions)
        }

        // Guards against an odd object that is returned again and again although its version is known.
        @Test
        fun `the watch moves past an odd object with a version`() {
            result = WatchResult.Changed(emptyMap(), version = 3, oddCount = 1)
            watch.tick(0)
            watch.tick(1)
            assertEquals(listOf(0L, 3L), polledVersions)
        }
    }

    private companion object {
        const val RETRY_NANOS = 1_000_000_000L
    }
}
