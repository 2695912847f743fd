package io.camphordrum.core.config

/** Follows the chain of change records from the newest one. */
internal class HistoryReader(private val context: SubmissionContext) {
    private val options = context.options
    private var running = 0

    fun read(now: Long, query: Long, limit: Int) {
        if (running >= MAX_QUERIES) return context.calls.emit(StoreEffect.History(query, null))
        running++
        context.loader.load(now) { _, success ->
            val first = context.state.root?.history
            when {
                !success -> finish(query, null)
                first == null -> finish(query, emptyList())
                else -> Walk(query, limit.coerceIn(1, options.historyRecords)).next(first)
            }
        }
    }

    private fun finish(query: Long, records: List<ChangeRecord>?) {
        running--
        context.calls.emit(StoreEffect.History(query, records))
    }

    private inner class Walk(private val query: Long, private val limit: Int) {
        private val records = ArrayList<ChangeRecord>()

        fun next(address: String) = fetch(address) { text ->
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
            if (previous == null || records.size >= limit) finish(query, records) else next(previous)
        }

        private fun readEdits(addresses: List<String>, sofar: List<Edit>, then: (List<Edit>) -> Unit) {
            val address = addresses.firstOrNull() ?: return then(sofar)
            fetch(address) { text ->
                val part = text?.let { context.loader.decode(EditsObject.serializer(), it) }
                if (part == null) finish(query, null) else readEdits(addresses.drop(1), sofar + part.edits, then)
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
