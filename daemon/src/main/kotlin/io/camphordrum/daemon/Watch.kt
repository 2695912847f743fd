package io.camphordrum.daemon

/**
 * Watches the platform's objects below a prefix with one long poll at a time.
 *
 * All functions run on the platform thread. A poll whose answer is lost looks like one without changes, so its length
 * bounds the time until a change is noticed all the same. The platform counts each poll as one call.
 *
 * @param runOnPlatformThread enqueues a task for the platform thread.
 * @param enabled returns whether this daemon currently watches the prefix.
 * @param onChange receives the names of the objects that changed.
 * @param nextRetryNanos returns the time of the next attempt after a failed poll, in nanoseconds.
 */
internal class Watch(
    private val store: ObjectStore,
    private val prefix: String,
    private val runOnPlatformThread: (() -> Unit) -> Unit,
    private val enabled: () -> Boolean,
    private val onChange: (names: Set<String>) -> Unit,
    private val nextRetryNanos: () -> Long,
) {
    private var version = 0L
    private var polling = false
    private var earliestPollNanos = Long.MIN_VALUE

    /** Starts the next poll when it is due. */
    fun tick(now: Long) {
        if (polling || !enabled() || now < earliestPollNanos) return
        polling = true
        store.watch(prefix, version, POLL_TIMEOUT_MILLIS) { result -> runOnPlatformThread { onResult(result) } }
    }

    private fun onResult(result: WatchResult) {
        polling = false
        when (result) {
            is WatchResult.Changed -> {
                // The platform returns at once with an object that the watch cannot move past.
                if (result.oddCount > 0 && result.version <= version) earliestPollNanos = nextRetryNanos()
                version = maxOf(version, result.version)
                if (result.versions.isNotEmpty()) onChange(result.versions.keys)
            }
            is WatchResult.Unavailable -> earliestPollNanos = nextRetryNanos()
        }
    }

    private companion object {
        // With the time-out and the retry of a lost poll, a change is noticed within 18 s.
        const val POLL_TIMEOUT_MILLIS = 12_000L
    }
}
