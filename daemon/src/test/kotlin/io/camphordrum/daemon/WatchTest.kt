package io.camphordrum.daemon

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Verifies when a watch polls and from which version. */
class WatchTest {
    private val polledVersions = ArrayList<Long>()
    private val pollMillis = ArrayList<Long>()
    private var result: WatchResult = WatchResult.Changed(emptyMap())
    private val store = object : ObjectStore {
        override fun watch(prefix: String, version: Long, timeoutMillis: Long, onResult: (WatchResult) -> Unit) {
            polledVersions += version
            pollMillis += timeoutMillis
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

    @Nested
    inner class LostAnswers {
        // Guards against a change that comes into force half a minute late because the answer to one poll was lost.
        @Test
        fun `a lost answer delays a change by less than the time within which it is in force`() {
            watch.tick(0)
            assertTrue(pollMillis.single() + TIMEOUT_MILLIS + MAX_RETRY_MILLIS < IN_FORCE_MILLIS, "$pollMillis")
        }
    }

    private companion object {
        // Default time-out of a call, and the longest delay before the next poll.
        const val TIMEOUT_MILLIS = 2_000L
        const val MAX_RETRY_MILLIS = 1_500L

        // Time within which a change is in force at the planned size.
        const val IN_FORCE_MILLIS = 18_000L
        const val RETRY_NANOS = 1_000_000_000L
    }
}
