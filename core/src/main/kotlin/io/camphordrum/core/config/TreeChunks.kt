package io.camphordrum.core.config

import kotlinx.serialization.SerializationException
import kotlinx.serialization.StringFormat
import java.security.MessageDigest

/** Tells how building a tree from chunks ended. */
internal sealed interface Assembly {
    data class Built(val tree: Tree) : Assembly

    data class Failed(val reason: String) : Assembly
}

/** Turns trees into chunks and back. */
internal class TreeChunks(private val format: StringFormat) {
    /** Returns the addresses of all chunks of [tree]; pages that were addressed before are not encoded again. */
    fun addresses(tree: Tree): List<String> = pages(tree).map { address(it) }

    /** Returns the chunks of [tree] whose addresses are not in [known], by address. */
    fun encode(tree: Tree, known: Set<String>): Map<String, String> {
        val out = LinkedHashMap<String, String>()
        for (page in pages(tree)) if (address(page) !in known) out[address(page)] = text(page)
        return out
    }

    /** Returns the chunk of [tree] at [address], or null when the tree has none there. */
    fun chunk(tree: Tree, address: String): String? = pages(tree).firstOrNull { address(it) == address }?.let(::text)

    /**
     * Returns [tree] moved to [revision], whose chunks are [wanted].
     *
     * @param texts chunks that [tree] does not have, by address; their addresses have been checked.
     */
    fun assemble(tree: Tree, revision: Long, wanted: List<String>, texts: Map<String, String>): Assembly {
        val keep = wanted.toSet()
        val before = HashMap<String, Entry>()
        for (page in pages(tree)) {
            if (address(page) !in keep) for (i in page.keys.indices) before[page.keys[i]] = page.value(i)
        }
        val have = addresses(tree).toSet()
        val after = HashMap<String, Entry>()
        for (address in wanted) {
            if (address in have) continue
            val text = texts[address] ?: return Assembly.Failed("expected chunk $address, but it is missing")
            val entries = decode(text) ?: return Assembly.Failed("expected entries in chunk $address")
            for ((path, entry) in entries) {
                if (after.put(path, entry) != null) return Assembly.Failed("expected $path in one chunk, but in two")
            }
        }
        val edits = before.keys.filter { it !in after }.map { Edit.Remove(it) } +
            after.filter { (path, entry) -> before[path] != entry }.map { (path, entry) -> Edit.Put(path, entry) }
        return when (val result = TreeUpdate(tree).apply(revision, edits)) {
            is ApplyResult.Applied -> Assembly.Built(result.tree)
            is ApplyResult.Invalid -> Assembly.Failed(result.errors.first().toString())
            is ApplyResult.Stale -> Assembly.Failed("expected revision $revision")
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

    private fun address(page: Page<Entry>): String = page.chunk ?: addressOf(text(page)).also { page.chunk = it }

    private fun text(page: Page<Entry>): String {
        val entries = LinkedHashMap<String, Entry>(page.keys.size * 2)
        for (i in page.keys.indices) entries[page.keys[i]] = page.value(i)
        return format.encodeToString(ChunkObject.serializer(), ChunkObject(entries))
    }

    companion object {
        /** Returns the address of [text]: its SHA-256 as hexadecimal digits. */
        fun addressOf(text: String): String = hex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))
    }
}

internal fun editWeight(edit: Edit): Int = EDIT_BYTES + when (edit) {
    is Edit.Put -> entryWeight(edit.path, edit.entry)
    is Edit.Remove -> edit.path.length
}

internal fun recordWeight(record: ChangeRecord): Int {
    val texts = record.change.id.length + record.change.who.length + record.change.why.length
    return RECORD_BYTES + texts * ESCAPED_BYTES + record.change.edits.sumOf(::editWeight) +
        record.undo.sumOf(::editWeight)
}

private const val EDIT_BYTES = 60

private const val RECORD_BYTES = 200

// The longest form of one character in JSON.
private const val ESCAPED_BYTES = 6
