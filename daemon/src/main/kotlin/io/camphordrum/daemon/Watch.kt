package io.camphordrum.daemon

/**
 * Keeps one watch on the platform's objects below a prefix.
 *
 * All functions run on the platform thread. A watch waits up to 30 s at the platform, which counts it as one call.
 *
 * @param onThread hands a step to the platform thread.
 * @param wanted whether this daemon watches at the moment.
 * @param changed takes the names of the objects that changed.
 * @param retryAt returns when to try again after a failed call.
 */
internal class Watch(
    private val store: ObjectStore,
    private val prefix: String,
    private val onThread: (() -> Unit) -> Unit,
    private val wanted: () -> Boolean,
    private val changed: (names: Set<String>) -> Unit,
    private val retryAt: () -> Long,
) {
    private var version = 0L
    private var waiting = false
    private var nextNanos = Long.MIN_VALUE

    /** Starts the next call when it is due. */
    fun tick(now: Long) {
        if (waiting || !wanted() || now < nextNanos) return
        waiting = true
        store.watch(prefix, version, WAIT_MILLIS) { outcome -> onThread { ended(outcome) } }
    }

    private fun ended(outcome: WatchOutcome) {
        waiting = false
        when (outcome) {
            is WatchOutcome.Changed -> {
                if (outcome.versions.isEmpty()) return
                version = maxOf(version, outcome.versions.values.max())
                changed(outcome.versions.keys)
            }
            is WatchOutcome.Unavailable -> nextNanos = retryAt()
        }
    }

    private companion object {
        const val WAIT_MILLIS = 30_000L
    }
}
