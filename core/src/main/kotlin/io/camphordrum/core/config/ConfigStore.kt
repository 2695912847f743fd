package io.camphordrum.core.config

import io.camphordrum.core.WriteOutcome
import kotlinx.serialization.StringFormat

/**
 * Loads revisions from the platform's objects and updates the root object when an operator submits a change.
 *
 * Every [StoreEffect.ReadObject] and [StoreEffect.WriteObject] must be answered; after a timeout, answer a read
 * with [ReadOutcome.Unavailable] and a write that may have been sent with [WriteOutcome.Unknown].
 *
 * ```kotlin
 * val store = ConfigStore(Json)
 * run(store.load(clock.nanos()))                    // at start, and whenever the watch of the root reports a change
 * run(store.submit(clock.nanos(), change))          // ends with StoreEffect.Submitted
 * ```
 *
 * @param format serial format of stored objects; must be the same in the whole fleet.
 * @param seed seed of the retry jitter.
 */
public class ConfigStore(format: StringFormat, private val options: StoreOptions = StoreOptions(), seed: Long = 0) {
    private val state = StoreState()
    private val calls = StoreCalls(options, seed)
    private val loader = RootLoader(format, options, calls, state)
    private val context = SubmissionContext(format, options, calls, state, loader)
    private val historyReader = HistoryReader(context)
    private var active: Submission? = null
    private val queued = ArrayDeque<Pair<Change, Long>>()

    /** The newest known valid revision. */
    public val tree: Tree get() = state.tree

    /** Monotonic time at which the last read or write that confirmed or replaced [tree] was sent; null before it. */
    public val confirmedNanos: Long? get() = state.confirmedNanos

    /** Reads the root and installs its revision when it is newer. */
    public fun load(now: Long): List<StoreEffect> {
        loader.load(now)
        return calls.flushEffects()
    }

    /** Submits [change]; the outcome follows as [StoreEffect.Submitted]. Changes are processed one at a time. */
    public fun submit(now: Long, change: Change): List<StoreEffect> {
        if (queued.size >= options.maxQueuedChanges) {
            calls.emit(StoreEffect.Submitted(change.id, SubmitOutcome.Busy(options.retryNanos)))
        } else {
            queued.addLast(change to now + options.submitTimeoutNanos)
            startNext(now)
        }
        return calls.flushEffects()
    }

    private fun startNext(now: Long) {
        if (active != null) return
        val (change, deadlineNanos) = queued.removeFirstOrNull() ?: return
        val submission = Submission(change, deadlineNanos, context) { at, outcome ->
            active = null
            calls.emit(StoreEffect.Submitted(change.id, outcome))
            startNext(at)
        }
        active = submission
        submission.start(now)
    }

    /** Adopts a [newer] revision received from a peer; an older one is ignored. */
    public fun adopt(now: Long, newer: Tree): List<StoreEffect> {
        if (newer.revision > state.tree.revision) state.tree = newer
        startNext(now)
        return calls.flushEffects()
    }

    /** Reads the newest [limit] change records; the answer follows as [StoreEffect.History] with [query]. */
    public fun history(now: Long, query: Long, limit: Int): List<StoreEffect> {
        historyReader.read(now, query, limit)
        return calls.flushEffects()
    }

    /** Handles the outcome of [StoreEffect.ReadObject]; one without an open request is ignored. */
    public fun objectRead(now: Long, request: Long, outcome: ReadOutcome): List<StoreEffect> {
        calls.completeRead(now, request, outcome)
        return calls.flushEffects()
    }

    /** Handles the outcome of [StoreEffect.WriteObject]; one without an open request is ignored. */
    public fun objectWritten(now: Long, request: Long, outcome: WriteOutcome): List<StoreEffect> {
        calls.completeWrite(now, request, outcome)
        return calls.flushEffects()
    }

    /** Runs the retries that are due and ends a change whose deadline passed; call at least every 100 ms. */
    public fun tick(now: Long): List<StoreEffect> {
        calls.tick(now)
        active?.tick(now)
        return calls.flushEffects()
    }
}
