package io.camphordrum.ctl

import io.camphordrum.core.config.Edit
import io.camphordrum.core.config.Entry
import io.camphordrum.core.config.Tree
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject

/** Shows [edits] against [tree] in the form that operators read. */
class TreeDiff(private val tree: Tree, private val edits: List<Edit>) {
    /** Returns one line for each entry added (`+`) or removed (`-`), and one for each field changed (`~`). */
    fun text(): String {
        val lines = edits.flatMap { edit ->
            val before = tree.entry(edit.path)
            when (edit) {
                is Edit.Remove -> listOf("- ${edit.path}${before?.let { ": " + fields(it) }.orEmpty()}")
                is Edit.Put ->
                    if (before == null) listOf("+ ${edit.path}: ${fields(edit.entry)}") else changed(edit, before)
            }
        }
        return lines.joinToString("\n")
    }

    /** Returns the edits as JSON. */
    fun json(): JsonElement = lenient.encodeToJsonElement(ListSerializer(Edit.serializer()), edits)

    private fun changed(edit: Edit.Put, entry: Entry): List<String> {
        val before = objectOf(entry)
        val after = objectOf(edit.entry)
        val names = (before.keys + after.keys).filter { before[it] != after[it] }
        return listOf("~ ${edit.path}") + names.map { "    $it: ${before[it] ?: "none"} -> ${after[it] ?: "none"}" }
    }

    private fun fields(entry: Entry): String =
        objectOf(entry).entries.joinToString(", ") { (name, value) -> "$name $value" }.ifEmpty { "no values" }

    private fun objectOf(entry: Entry): JsonObject {
        val json = full.encodeToJsonElement(Entry.serializer(), entry).jsonObject
        return JsonObject(json - "type")
    }

    private companion object {
        // Defaults are shown where a value stands for itself; an unset setting is left out.
        val full = Json {
            encodeDefaults = true
            explicitNulls = false
        }
    }
}
