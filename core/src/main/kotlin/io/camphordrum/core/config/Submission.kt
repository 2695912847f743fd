package io.camphordrum.core.config

import io.camphordrum.core.WriteOutcome
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.StringFormat

/** Validates, writes and commits one change; calls [onOutcome] once with the outcome. */
internal class Submission(
    private val change: Change,
    private val deadlineNanos: Long,
    private val context: SubmissionContext,
    private val onOutcome: (Long, SubmitOutcome) -> Unit,
) {
    private val state = context.state
    private val options = context.options
    private val format = context.format
    private val chunks = TreeChunks(format)
    private var finished = false
    private var failures = 0

    // True while an update of the root may take effect, or may have taken effect, without a confirmation.
    private var uncertain = false

    fun start(now: Long) {
        val upToDate = state.canBuildOnTree && change.base <= state.tree.revision
        if (upToDate) decide(now) else loadThen(now, ::decide)
    }

    /** Ends the submission when its deadline has passed. */
    fun tick(now: Long) {
        if (now >= deadlineNanos) finishUndecided(now)
    }

    private fun finishUndecided(now: Long) =
        finish(now, if (uncertain) SubmitOutcome.Unknown else SubmitOutcome.Unavailable(options.retryNanos))

    private fun finish(now: Long, outcome: SubmitOutcome) {
        if (finished) return
        finished = true
        onOutcome(now, outcome)
    }

    private fun loadThen(now: Long, then: (Long) -> Unit) {
        context.loader.load(now) { loadedAt, success ->
            when {
                finished -> Unit
                success && state.canBuildOnTree -> then(loadedAt)
                else -> retry(loadedAt) { loadThen(it, then) }
            }
        }
    }

    private fun retry(now: Long, action: (Long) -> Unit) {
        failures++
        context.calls.scheduleRetry(now, failures) { if (!finished) action(it) }
    }

    private fun decide(now: Long) {
        val accepted = state.root?.recent?.firstOrNull { it.id == change.id }
        if (accepted != null) return finish(now, SubmitOutcome.Accepted(accepted.revision))
        val tree = state.tree
        when (val result = tree.apply(change)) {
            is ApplyResult.Invalid -> finish(now, SubmitOutcome.Invalid(result.errors))
            is ApplyResult.Stale -> finishStale(now)
            is ApplyResult.Applied -> writeObjects(tree, result.tree)
        }
    }

    private fun finishStale(now: Long) {
        val root = state.root
        when {
            root != null && change.base < root.revision -> finish(now, conflictOutcome(root))
            else -> {
                val error = TreeError("change/base", "at most revision ${state.tree.revision}", "${change.base}")
                finish(now, SubmitOutcome.Invalid(listOf(error)))
            }
        }
    }

    // The revision after the base belongs to another change, unless the root no longer lists that revision: then an
    // uncertain update of this change may have produced it.
    private fun conflictOutcome(root: RootObject): SubmitOutcome {
        val winnerKnown = root.recent.any { it.revision == change.base + 1 }
        return if (winnerKnown || !uncertain) SubmitOutcome.Conflict(root.record) else SubmitOutcome.Unknown
    }

    private fun writeObjects(before: Tree, after: Tree) {
        val record = ChangeRecord(after.revision, change, after.diff(before))
        val objects = LinkedHashMap(chunks.encode(after, chunks.addresses(before).toSet()))
        val inline = recordWeight(record) <= options.maxInlineBytes
        val storedRecord = if (inline) record else ChangeRecord(record.revision, change.copy(edits = emptyList()))
        val history = HistoryObject(
            record = storedRecord,
            edits = if (inline) emptyList() else addEditsObjects(change.edits, objects),
            undo = if (inline) emptyList() else addEditsObjects(record.undo, objects),
            previous = state.root?.history,
        )
        val root = RootObject(
            revision = after.revision,
            chunks = chunks.addresses(after),
            record = storedRecord,
            history = addObject(HistoryObject.serializer(), history, objects),
            recent = (state.root?.recent.orEmpty() + RecentChange(change.id, after.revision))
                .takeLast(options.recentChanges),
        )
        val update = RootUpdate(root, after, record, checkNotNull(state.rootVersion))
        var remainingObjects = objects.size
        for ((address, text) in objects) {
            writeObject(address, text) { writtenAt -> if (--remainingObjects == 0) writeRoot(writtenAt, update) }
        }
    }

    private fun <T> addObject(type: SerializationStrategy<T>, value: T, objects: MutableMap<String, String>): String {
        val text = format.encodeToString(type, value)
        return TreeChunks.addressOf(text).also { objects[it] = text }
    }

    private fun addEditsObjects(edits: List<Edit>, objects: MutableMap<String, String>): List<String> {
        val parts = ArrayList<List<Edit>>()
        var part = ArrayList<Edit>()
        var bytes = 0
        for (edit in edits) {
            if (bytes + editWeight(edit) > MAX_EDITS_OBJECT_BYTES && part.isNotEmpty()) {
                parts += part
                part = ArrayList()
                bytes = 0
            }
            part += edit
            bytes += editWeight(edit)
        }
        if (part.isNotEmpty()) parts += part
        return parts.map { addObject(EditsObject.serializer(), EditsObject(it), objects) }
    }

    // A conflict means that the object exists with this content, because its name is the hash of the content.
    private fun writeObject(address: String, text: String, then: (Long) -> Unit) {
        if (finished) return
        context.calls.write(options.prefix + address, text, 0) { writtenAt, outcome ->
            when {
                finished -> Unit
                outcome is WriteOutcome.Applied || outcome == WriteOutcome.Conflict -> then(writtenAt)
                else -> retry(writtenAt) { writeObject(address, text, then) }
            }
        }
    }

    private class RootUpdate(val root: RootObject, val tree: Tree, val record: ChangeRecord, val ifVersion: Long)

    private fun writeRoot(now: Long, update: RootUpdate) {
        val wasUncertain = uncertain
        uncertain = true
        val text = format.encodeToString(RootObject.serializer(), update.root)
        context.calls.write(options.rootName, text, update.ifVersion) { writtenAt, outcome ->
            when {
                // The operator already received the outcome Unknown; a read shows whether the change took effect.
                finished -> context.loader.load(writtenAt)
                outcome is WriteOutcome.Applied -> finishAccepted(now, writtenAt, update, outcome.version)
                outcome == WriteOutcome.Unavailable -> {
                    uncertain = wasUncertain
                    retry(writtenAt) { writeRoot(it, update) }
                }
                else -> loadThen(writtenAt) { resolveRootWrite(it, update) }
            }
        }
    }

    private fun finishAccepted(sentAt: Long, now: Long, update: RootUpdate, version: Long) {
        state.root = update.root
        state.rootVersion = version
        state.confirmedNanos = sentAt
        if (update.tree.revision > state.tree.revision) {
            state.tree = update.tree
            context.calls.emit(StoreEffect.Installed(update.tree, listOf(update.record)))
        }
        finish(now, SubmitOutcome.Accepted(update.tree.revision))
    }

    // Called just after a read of the root. Every update increments the version of the root, so an update with an
    // older version can no longer take effect; one with the current version still can, and is sent again.
    private fun resolveRootWrite(now: Long, update: RootUpdate) {
        val root = state.root
        val accepted = root?.recent?.firstOrNull { it.id == change.id }
        when {
            accepted != null -> finish(now, SubmitOutcome.Accepted(accepted.revision))
            state.rootVersion == update.ifVersion -> retry(now) { writeRoot(it, update) }
            root == null -> finishUndecided(now)
            else -> finish(now, conflictOutcome(root))
        }
    }

    private companion object {
        const val MAX_EDITS_OBJECT_BYTES = 128 * 1_024
    }
}

/** Holds the collaborators that a submission shares with the rest of its store. */
internal class SubmissionContext(
    val format: StringFormat,
    val options: StoreOptions,
    val calls: StoreCalls,
    val state: StoreState,
    val loader: RootLoader,
)
