package io.camphordrum.core.config

import io.camphordrum.core.WriteOutcome
import kotlinx.serialization.StringFormat

/**
 * Loads revisions from the platform's objects and moves the root when an operator submits a change.
 *
 * Every [StoreEffect.ReadObject] and [StoreEffect.WriteObject] must be answered; when no answer comes in time, a read
 * is [ReadOutcome.Unavailable] and a write that may have been sent is [WriteOutcome.Unknown].
 *
 * ```kotlin
 * val store = ConfigStore(Json)
 * run(store.load(clock.nanos()))                    // at start, and whenever the root's watch fires
 * run(store.submit(clock.nanos(), change))          // ends with StoreEffect.Submitted
 * ```
 *
 * @param format the form of stored objects; the same for the whole fleet.
 * @param seed seeds the jitter of retries.
 */
public class ConfigStore(format: StringFormat, private val options: StoreOptions = StoreOptions(), seed: Long = 0) {
    private val state = StoreState()
    private val calls = StoreCalls(options, seed)
    private val loader = RootLoader(format, options, calls, state)
    private val context = SubmissionContext(format, options, calls, state, loader)
    private val historyReader = HistoryReader(context)
    private var active: Submission? = null
    private val waiting = ArrayDeque<Pair<Change, Long>>()

    /** The newest revision known to be valid. */
    public val tree: Tree get() = state.tree

    /** Monotonic time at which the last read that confirmed or replaced [tree] was sent; null before the first. */
    public val confirmedNanos: Long? get() = state.confirmedNanos

    /** Reads the root and installs its revision when it is newer. */
    public fun load(now: Long): List<StoreEffect> {
        loader.load(now)
        return calls.take()
    }

    /** Submits [change]; the outcome follows as [StoreEffect.Submitted]. Changes are handled one after another. */
    public fun submit(now: Long, change: Change): List<StoreEffect> {
        if (waiting.size >= options.maxWaiting) {
            calls.emit(StoreEffect.Submitted(change.id, SubmitOutcome.Busy(options.retryNanos)))
        } else {
            waiting.addLast(change to now + options.submitNanos)
            startNext(now)
        }
        return calls.take()
    }

    private fun startNext(now: Long) {
        if (active != null) return
        val (change, deadline) = waiting.removeFirstOrNull() ?: return
        val submission = Submission(change, deadline, context) { at, outcome ->
            active = null
            calls.emit(StoreEffect.Submitted(change.id, outcome))
            startNext(at)
        }
        active = submission
        submission.start(now)
    }

    /** Takes over a [newer] revision that came from a peer; an older one is ignored. */
    public fun adopt(now: Long, newer: Tree): List<StoreEffect> {
        if (newer.revision > state.tree.revision) state.tree = newer
        startNext(now)
        return calls.take()
    }

    /** Reads the newest [limit] change records; the answer follows as [StoreEffect.History] with [query]. */
    public fun history(now: Long, query: Long, limit: Int): List<StoreEffect> {
        historyReader.read(now, query, limit)
        return calls.take()
    }

    /** Takes the outcome of [StoreEffect.ReadObject]; an answer to no open request is ignored. */
    public fun objectRead(now: Long, request: Long, outcome: ReadOutcome): List<StoreEffect> {
        calls.answered(now, request, outcome)
        return calls.take()
    }

    /** Takes the outcome of [StoreEffect.WriteObject]; an answer to no open request is ignored. */
    public fun objectWritten(now: Long, request: Long, outcome: WriteOutcome): List<StoreEffect> {
        calls.answered(now, request, outcome)
        return calls.take()
    }

    /** Retries what is due and ends changes whose time is over; call at least every 100 ms. */
    public fun tick(now: Long): List<StoreEffect> {
        calls.tick(now)
        active?.tick(now)
        return calls.take()
    }
}
