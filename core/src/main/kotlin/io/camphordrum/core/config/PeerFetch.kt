package io.camphordrum.core.config

import io.camphordrum.core.Member

/**
 * Tracks what is being fetched from one peer.
 *
 * @property base the tree whose chunks are not fetched; the tree in force may move on meanwhile.
 */
internal class PeerFetch(val from: Member, val base: Tree, val revision: Long, var deadline: Long) {
    /** Chunks of the revision; null while only changes were asked for. */
    var wanted: List<String>? = null
    var missing: MutableSet<String> = LinkedHashSet()
    var asked: Set<String> = emptySet()
    val texts = HashMap<String, String>()
}

/** Keeps the newest change records for peers that lag, within the bounds of [options]. */
internal class ChangeLog(private val options: SpreadOptions) {
    private val records = ArrayDeque<ChangeRecord>()
    private var bytes = 0

    /** Appends [added], which lead to [revision]; without them the log starts anew. */
    fun add(revision: Long, added: List<ChangeRecord>) {
        if (added.isEmpty() || (records.isNotEmpty() && records.last().revision + 1 != added.first().revision)) clear()
        for (record in added) {
            check(record.revision <= revision) { "expected a record up to $revision, but was ${record.revision}" }
            records.addLast(record)
            bytes += recordWeight(record)
        }
        while (records.size > options.logRecords ||
            bytes > options.logBytes
        ) {
            bytes -= recordWeight(records.removeFirst())
        }
    }

    /** Returns the records after [revision] that fit into one message, or none when they do not lead there. */
    fun after(revision: Long): List<ChangeRecord> {
        val first = records.firstOrNull()?.revision ?: return emptyList()
        if (revision + 1 < first || revision + 1 > records.last().revision) return emptyList()
        val out = ArrayList<ChangeRecord>()
        var size = 0
        for (index in (revision + 1 - first).toInt() until records.size) {
            size += recordWeight(records[index])
            if (size > options.messageBytes) break
            out += records[index]
        }
        return out
    }

    private fun clear() {
        records.clear()
        bytes = 0
    }
}
