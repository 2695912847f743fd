package io.camphordrum.core.config

import kotlinx.serialization.SerializationException
import kotlinx.serialization.StringFormat
import java.security.MessageDigest

/** Represents the result of building a tree from chunks. */
internal sealed interface AssemblyResult {
    data class Built(val tree: Tree) : AssemblyResult

    data class Failed(val reason: String) : AssemblyResult
}

/** Encodes trees as content-addressed chunks and rebuilds trees from them. */
internal class TreeChunks(private val format: StringFormat) {
    /** Returns the addresses of all chunks of [tree]; the address of a page is cached. */
    fun addresses(tree: Tree): List<String> = pages(tree).map { address(it) }

    /** Returns the chunks of [tree] whose addresses are not in [known], by address. */
    fun encode(tree: Tree, known: Set<String>): Map<String, String> {
        val out = LinkedHashMap<String, String>()
        for (page in pages(tree)) if (address(page) !in known) out[address(page)] = text(page)
        return out
    }

    /** Returns the chunk of [tree] at [address], or null when there is none. */
    fun chunk(tree: Tree, address: String): String? = pages(tree).firstOrNull { address(it) == address }?.let(::text)

    /**
     * Returns the tree of [revision], whose chunks are [chunkAddresses], built on [tree].
     *
     * @param texts chunks that [tree] lacks, by address; the addresses must have been verified.
     */
    fun assemble(tree: Tree, revision: Long, chunkAddresses: List<String>, texts: Map<String, String>): AssemblyResult {
        val retained = chunkAddresses.toSet()
        val oldEntries = HashMap<String, Entry>()
        for (page in pages(tree)) {
            if (address(page) !in retained) {
                for (i in page.keys.indices) oldEntries[page.keys[i]] = page.value(i)
            }
        }
        val knownAddresses = addresses(tree).toSet()
        val newEntries = HashMap<String, Entry>()
        for (address in chunkAddresses) {
            if (address in knownAddresses) continue
            val text = texts[address] ?: return AssemblyResult.Failed("expected chunk $address, but it is missing")
            val entries = decode(text) ?: return AssemblyResult.Failed("expected entries in chunk $address")
            for ((path, entry) in entries) {
                if (newEntries.put(path, entry) != null) {
                    return AssemblyResult.Failed("expected $path in one chunk, but in two")
                }
            }
        }
        val edits = oldEntries.keys.filter { it !in newEntries }.map { Edit.Remove(it) } +
            newEntries.filter { (path, entry) -> oldEntries[path] != entry }
                .map { (path, entry) -> Edit.Put(path, entry) }
        return when (val result = TreeUpdate(tree).apply(revision, edits)) {
            is ApplyResult.Applied -> AssemblyResult.Built(result.tree)
            is ApplyResult.Invalid -> AssemblyResult.Failed(result.errors.first().toString())
            is ApplyResult.Stale -> AssemblyResult.Failed("expected revision $revision")
        }
    }

    private fun decode(text: String): Map<String, Entry>? = try {
        format.decodeFromString(ChunkObject.serializer(), text).entries
    } catch (e: SerializationException) {
        null
    } catch (e: IllegalArgumentException) {
        null
    }

    private fun pages(tree: Tree): List<Page<Entry>> = tree.sections.values.flatMap { it.pages.asList() }

    private fun address(page: Page<Entry>): String =
        page.chunkAddress ?: addressOf(text(page)).also { page.chunkAddress = it }

    private fun text(page: Page<Entry>): String {
        val entries = LinkedHashMap<String, Entry>(page.keys.size * 2)
        for (i in page.keys.indices) entries[page.keys[i]] = page.value(i)
        return format.encodeToString(ChunkObject.serializer(), ChunkObject(entries))
    }

    companion object {
        /** Returns the address of [text]: its SHA-256 in hexadecimal. */
        fun addressOf(text: String): String = hex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))
    }
}

internal fun editWeight(edit: Edit): Int = EDIT_OVERHEAD_BYTES + when (edit) {
    is Edit.Put -> entryWeight(edit.path, edit.entry)
    is Edit.Remove -> edit.path.length
}

internal fun recordWeight(record: ChangeRecord): Int {
    val textLength = record.change.id.length + record.change.who.length + record.change.why.length
    return RECORD_OVERHEAD_BYTES + textLength * MAX_ESCAPED_CHAR_BYTES + record.change.edits.sumOf(::editWeight) +
        record.undo.sumOf(::editWeight)
}

private const val EDIT_OVERHEAD_BYTES = 60

private const val RECORD_OVERHEAD_BYTES = 200

// Length of the longest JSON escape of one character.
private const val MAX_ESCAPED_CHAR_BYTES = 6
