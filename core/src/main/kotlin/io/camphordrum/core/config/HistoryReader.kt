package io.camphordrum.core.config

/** Reads the linked list of change records, starting with the newest. */
internal class HistoryReader(private val context: SubmissionContext) {
    private val options = context.options
    private var activeQueries = 0

    fun read(now: Long, query: Long, limit: Int) {
        if (activeQueries >= MAX_QUERIES) return context.calls.emit(StoreEffect.History(query, null))
        activeQueries++
        context.loader.load(now) { _, success ->
            val newest = context.state.root?.history
            when {
                !success -> finish(query, null)
                newest == null -> finish(query, emptyList())
                else -> Traversal(query, limit.coerceIn(1, options.maxHistoryRecords)).readFrom(newest)
            }
        }
    }

    private fun finish(query: Long, records: List<ChangeRecord>?) {
        activeQueries--
        context.calls.emit(StoreEffect.History(query, records))
    }

    private inner class Traversal(private val query: Long, private val limit: Int) {
        private val records = ArrayList<ChangeRecord>()

        fun readFrom(address: String) = fetch(address) { text ->
            val found = text?.let { context.loader.decode(HistoryObject.serializer(), it) }
            if (found == null) {
                finish(query, null)
            } else {
                readEdits(found.edits, emptyList()) { edits ->
                    readEdits(found.undo, emptyList()) { undo -> add(found, edits, undo) }
                }
            }
        }

        private fun add(found: HistoryObject, edits: List<Edit>, undo: List<Edit>) {
            val record = found.record
            records += if (found.edits.isEmpty()) {
                record
            } else {
                record.copy(change = record.change.copy(edits = edits), undo = undo)
            }
            val previous = found.previous
            if (previous == null || records.size >= limit) finish(query, records) else readFrom(previous)
        }

        private fun readEdits(addresses: List<String>, collected: List<Edit>, then: (List<Edit>) -> Unit) {
            val address = addresses.firstOrNull() ?: return then(collected)
            fetch(address) { text ->
                val part = text?.let { context.loader.decode(EditsObject.serializer(), it) }
                if (part == null) finish(query, null) else readEdits(addresses.drop(1), collected + part.edits, then)
            }
        }

        private fun fetch(address: String, then: (String?) -> Unit) {
            context.calls.read(options.prefix + address) { _, outcome ->
                then((outcome as? ReadOutcome.Found)?.value?.takeIf { TreeChunks.addressOf(it) == address })
            }
        }
    }

    private companion object {
        const val MAX_QUERIES = 4
    }
}
