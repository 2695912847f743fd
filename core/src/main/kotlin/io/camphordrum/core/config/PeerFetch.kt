package io.camphordrum.core.config

import io.camphordrum.core.Member

/**
 * Tracks the fetch of one revision from one peer.
 *
 * @property base tree whose chunks are reused; the tree in force may be replaced during the fetch.
 */
internal class PeerFetch(val peer: Member, val base: Tree, val revision: Long, var deadlineNanos: Long) {
    /** Addresses of all chunks of the revision; null while only changes are requested. */
    var chunkAddresses: List<String>? = null
    var missingChunks: MutableSet<String> = LinkedHashSet()
    var requestedChunks: Set<String> = emptySet()
    val texts = HashMap<String, String>()
}

/** Keeps the newest change records for peers that are behind, within the limits of [options]. */
internal class ChangeLog(private val options: GossipOptions) {
    private val records = ArrayDeque<ChangeRecord>()
    private var bytes = 0

    /** Appends [added], the records up to [revision]; an empty list or a gap clears the log first. */
    fun add(revision: Long, added: List<ChangeRecord>) {
        if (added.isEmpty() || (records.isNotEmpty() && records.last().revision + 1 != added.first().revision)) clear()
        for (record in added) {
            check(record.revision <= revision) { "expected a record up to $revision, but was ${record.revision}" }
            records.addLast(record)
            bytes += recordWeight(record)
        }
        while (records.size > options.maxLogRecords ||
            bytes > options.maxLogBytes
        ) {
            bytes -= recordWeight(records.removeFirst())
        }
    }

    /** Returns the records after [revision] that fit into one message, or none when the log does not cover it. */
    fun after(revision: Long): List<ChangeRecord> {
        val first = records.firstOrNull()?.revision ?: return emptyList()
        if (revision + 1 < first || revision + 1 > records.last().revision) return emptyList()
        val selected = ArrayList<ChangeRecord>()
        var selectedBytes = 0
        for (index in (revision + 1 - first).toInt() until records.size) {
            selectedBytes += recordWeight(records[index])
            if (selectedBytes > options.maxMessageBytes) break
            selected += records[index]
        }
        return selected
    }

    private fun clear() {
        records.clear()
        bytes = 0
    }
}
