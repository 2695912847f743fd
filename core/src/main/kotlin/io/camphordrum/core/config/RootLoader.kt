package io.camphordrum.core.config

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.StringFormat

/** Holds the locally known durable state: the newest valid tree and the root object. */
internal class StoreState {
    var tree: Tree = Tree.empty()
    var confirmedNanos: Long? = null

    /** The root last read or written; null while none is known or none exists. */
    var root: RootObject? = null

    /** Version of [root]; 0 when no root object exists, null when it has not been read. */
    var rootVersion: Long? = null

    /** Whether [root] matches [tree], so that a conditional update of the root can be based on it. */
    val canBuildOnTree: Boolean get() = rootVersion != null && (root?.revision ?: 0L) == tree.revision
}

/** Reads the root object and the chunks that the current tree lacks. */
internal class RootLoader(
    private val format: StringFormat,
    private val options: StoreOptions,
    private val calls: StoreCalls,
    private val state: StoreState,
) {
    private val chunks = TreeChunks(format)
    private var activeCallbacks: List<(Long, Boolean) -> Unit>? = null
    private var queuedCallbacks = ArrayList<(Long, Boolean) -> Unit>()
    private var failures = 0
    private var retryScheduled = false

    /** Starts a read of the root after this call; [then] receives whether it succeeded. */
    fun load(now: Long, then: (Long, Boolean) -> Unit) {
        queuedCallbacks += then
        if (activeCallbacks == null) start(now)
    }

    /** Reads the root, unless a read that has not started yet is already queued. */
    fun load(now: Long) {
        if (queuedCallbacks.isEmpty()) load(now) { _, _ -> }
    }

    private fun start(now: Long) {
        activeCallbacks = queuedCallbacks
        queuedCallbacks = ArrayList()
        calls.read(options.rootName) { answeredAt, outcome ->
            when (outcome) {
                is ReadOutcome.Found -> onRootRead(now, answeredAt, outcome)
                ReadOutcome.Missing -> onRootMissing(now, answeredAt)
                ReadOutcome.Unavailable -> finish(answeredAt, false)
            }
        }
    }

    private fun onRootMissing(sentAt: Long, now: Long) {
        if (state.tree.revision >
            0
        ) {
            return reportUnreadable(now, 0, "expected the object ${options.rootName}, but it is missing")
        }
        state.rootVersion = 0
        state.confirmedNanos = sentAt
        finish(now, true)
    }

    private fun onRootRead(sentAt: Long, now: Long, found: ReadOutcome.Found) {
        val root = decode(RootObject.serializer(), found.value)
            ?: return reportUnreadable(now, -1, "expected a root object at version ${found.version}")
        val revisionsAhead = root.revision - state.tree.revision
        when {
            // A newer revision may already have arrived from a peer.
            revisionsAhead < 0 -> finish(now, true)
            revisionsAhead == 0L -> confirmRoot(sentAt, now, root, found.version)
            else -> loadNewerRoot(sentAt, now, root, found.version)
        }
    }

    private fun loadNewerRoot(sentAt: Long, now: Long, root: RootObject, version: Long) {
        val next = (state.tree.apply(root.record.change) as? ApplyResult.Applied)?.tree
        if (next != null && next.revision == root.revision && chunks.addresses(next) == root.chunks) {
            install(next, listOf(root.record))
            return confirmRoot(sentAt, now, root, version)
        }
        val base = state.tree
        val knownAddresses = chunks.addresses(base).toSet()
        val missingChunks = root.chunks.filterTo(LinkedHashSet()) { it !in knownAddresses }
        readChunks(now, missingChunks) { readAt, texts, error ->
            when {
                // This revision or a newer one arrived from a peer while the chunks were read.
                state.tree.revision > root.revision -> finish(readAt, true)
                state.tree.revision == root.revision -> confirmRoot(sentAt, readAt, root, version)
                error != null -> reportUnreadable(readAt, root.revision, error)
                texts == null -> finish(readAt, false)
                else -> when (val built = chunks.assemble(base, root.revision, root.chunks, texts)) {
                    is AssemblyResult.Failed -> reportUnreadable(readAt, root.revision, built.reason)
                    is AssemblyResult.Built -> {
                        install(built.tree, emptyList())
                        confirmRoot(sentAt, readAt, root, version)
                    }
                }
            }
        }
    }

    private fun install(tree: Tree, records: List<ChangeRecord>) {
        state.tree = tree
        calls.emit(StoreEffect.Installed(tree, records))
    }

    private fun confirmRoot(sentAt: Long, now: Long, root: RootObject, version: Long) {
        state.root = root
        state.rootVersion = version
        state.confirmedNanos = maxOf(sentAt, state.confirmedNanos ?: sentAt)
        finish(now, true)
    }

    // Calls then with all chunks by address, with an error if a chunk is missing or corrupt, or with neither when the
    // platform is unavailable.
    private fun readChunks(now: Long, missingChunks: Set<String>, then: (Long, Map<String, String>?, String?) -> Unit) {
        if (missingChunks.isEmpty()) return then(now, emptyMap(), null)
        val texts = HashMap<String, String>()
        var remainingReads = missingChunks.size
        var error: String? = null
        for (address in missingChunks) {
            calls.read(options.prefix + address) { readAt, outcome ->
                when {
                    outcome !is ReadOutcome.Found ->
                        if (outcome == ReadOutcome.Missing) error = "expected chunk $address, but it is missing"
                    TreeChunks.addressOf(outcome.value) != address ->
                        error = "expected the SHA-256 $address, but was ${TreeChunks.addressOf(outcome.value)}"
                    else -> texts[address] = outcome.value
                }
                if (--remainingReads == 0) then(readAt, texts.takeIf { it.size == missingChunks.size }, error)
            }
        }
    }

    private fun reportUnreadable(now: Long, revision: Long, reason: String) {
        calls.emit(StoreEffect.Unreadable(revision, reason))
        finish(now, false)
    }

    private fun finish(now: Long, success: Boolean) {
        val callbacks = activeCallbacks.orEmpty()
        activeCallbacks = null
        failures = if (success) 0 else failures + 1
        if (!success && !retryScheduled) {
            retryScheduled = true
            calls.scheduleRetry(now, failures) {
                retryScheduled = false
                load(it)
            }
        }
        for (then in callbacks) then(now, success)
        if (activeCallbacks == null && queuedCallbacks.isNotEmpty()) start(now)
    }

    fun <T> decode(type: DeserializationStrategy<T>, text: String): T? = try {
        format.decodeFromString(type, text)
    } catch (e: SerializationException) {
        null
    } catch (e: IllegalArgumentException) {
        null
    }
}
