package io.camphordrum.core.config

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.StringFormat

/** Holds what is known of the durable state: the newest valid tree and the root it came from. */
internal class StoreState {
    var tree: Tree = Tree.empty()
    var confirmedNanos: Long? = null

    /** The last root read or written; null while none is known or exists. */
    var root: RootObject? = null

    /** Version of [root]; 0 when there is no root object, null when it has not been read. */
    var rootVersion: Long? = null

    /** Tells whether a conditional update of the root can be built on [tree]. */
    val settled: Boolean get() = rootVersion != null && (root?.revision ?: 0L) == tree.revision
}

/** Reads the root and the chunks that the current tree does not have. */
internal class RootLoader(
    private val format: StringFormat,
    private val options: StoreOptions,
    private val calls: StoreCalls,
    private val state: StoreState,
) {
    private val chunks = TreeChunks(format)
    private var running: List<(Long, Boolean) -> Unit>? = null
    private var waiting = ArrayList<(Long, Boolean) -> Unit>()
    private var failures = 0
    private var retryPlanned = false

    /** Starts a read of the root after this call; [then] learns whether it succeeded. */
    fun load(now: Long, then: (Long, Boolean) -> Unit) {
        waiting += then
        if (running == null) start(now)
    }

    /** Starts a read of the root unless one that has not started yet is already planned. */
    fun load(now: Long) {
        if (waiting.isEmpty()) load(now) { _, _ -> }
    }

    private fun start(now: Long) {
        running = waiting
        waiting = ArrayList()
        calls.read(options.rootName) { answeredAt, outcome ->
            when (outcome) {
                is ReadOutcome.Found -> rootRead(now, answeredAt, outcome)
                ReadOutcome.Missing -> rootMissing(now, answeredAt)
                ReadOutcome.Unavailable -> finish(answeredAt, false)
            }
        }
    }

    private fun rootMissing(sentAt: Long, now: Long) {
        if (state.tree.revision >
            0
        ) {
            return unreadable(now, 0, "expected the object ${options.rootName}, but it is missing")
        }
        state.rootVersion = 0
        state.confirmedNanos = sentAt
        finish(now, true)
    }

    private fun rootRead(sentAt: Long, now: Long, found: ReadOutcome.Found) {
        val root = decode(RootObject.serializer(), found.value)
            ?: return unreadable(now, -1, "expected a root object at version ${found.version}")
        val ahead = root.revision - state.tree.revision
        when {
            // A peer may already have brought a newer revision than this read saw.
            ahead < 0 -> finish(now, true)
            ahead == 0L -> settle(sentAt, now, root, found.version)
            else -> newerRoot(sentAt, now, root, found.version)
        }
    }

    private fun newerRoot(sentAt: Long, now: Long, root: RootObject, version: Long) {
        val next = (state.tree.apply(root.record.change) as? ApplyResult.Applied)?.tree
        if (next != null && next.revision == root.revision && chunks.addresses(next) == root.chunks) {
            install(next, listOf(root.record))
            return settle(sentAt, now, root, version)
        }
        val base = state.tree
        val have = chunks.addresses(base).toSet()
        val missing = root.chunks.filterTo(LinkedHashSet()) { it !in have }
        readChunks(now, missing) { readAt, texts, fault ->
            when {
                // A peer brought this revision, or a newer one, while the chunks were read.
                state.tree.revision > root.revision -> finish(readAt, true)
                state.tree.revision == root.revision -> settle(sentAt, readAt, root, version)
                fault != null -> unreadable(readAt, root.revision, fault)
                texts == null -> finish(readAt, false)
                else -> when (val built = chunks.assemble(base, root.revision, root.chunks, texts)) {
                    is Assembly.Failed -> unreadable(readAt, root.revision, built.reason)
                    is Assembly.Built -> {
                        install(built.tree, emptyList())
                        settle(sentAt, readAt, root, version)
                    }
                }
            }
        }
    }

    private fun install(tree: Tree, records: List<ChangeRecord>) {
        state.tree = tree
        calls.emit(StoreEffect.Installed(tree, records))
    }

    private fun settle(sentAt: Long, now: Long, root: RootObject, version: Long) {
        state.root = root
        state.rootVersion = version
        state.confirmedNanos = maxOf(sentAt, state.confirmedNanos ?: sentAt)
        finish(now, true)
    }

    // Calls then with all texts, or with the first fault, or with neither when the platform does not answer.
    private fun readChunks(now: Long, missing: Set<String>, then: (Long, Map<String, String>?, String?) -> Unit) {
        if (missing.isEmpty()) return then(now, emptyMap(), null)
        val texts = HashMap<String, String>()
        var left = missing.size
        var fault: String? = null
        for (address in missing) {
            calls.read(options.prefix + address) { readAt, outcome ->
                when {
                    outcome !is ReadOutcome.Found ->
                        if (outcome == ReadOutcome.Missing) fault = "expected chunk $address, but it is missing"
                    TreeChunks.addressOf(outcome.value) != address ->
                        fault = "expected the SHA-256 $address, but was ${TreeChunks.addressOf(outcome.value)}"
                    else -> texts[address] = outcome.value
                }
                if (--left == 0) then(readAt, texts.takeIf { it.size == missing.size }, fault)
            }
        }
    }

    private fun unreadable(now: Long, revision: Long, reason: String) {
        calls.emit(StoreEffect.Unreadable(revision, reason))
        finish(now, false)
    }

    private fun finish(now: Long, success: Boolean) {
        val callers = running.orEmpty()
        running = null
        failures = if (success) 0 else failures + 1
        if (!success && !retryPlanned) {
            retryPlanned = true
            calls.later(now, failures) {
                retryPlanned = false
                load(it)
            }
        }
        for (then in callers) then(now, success)
        if (running == null && waiting.isNotEmpty()) start(now)
    }

    fun <T> decode(type: DeserializationStrategy<T>, text: String): T? = try {
        format.decodeFromString(type, text)
    } catch (e: SerializationException) {
        null
    } catch (e: IllegalArgumentException) {
        null
    }
}
