package io.camphordrum.ctl

import io.camphordrum.core.config.Edit
import io.camphordrum.core.config.Entry
import io.camphordrum.core.config.Tree
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject

/** Formats the differences that [edits] make to [tree]. */
class TreeDiff(private val tree: Tree, private val edits: List<Edit>) {
    /** Returns one line for each entry added (`+`) or removed (`-`), and one for each field changed (`~`). */
    fun text(): String {
        val lines = edits.flatMap { edit ->
            val before = tree.entry(edit.path)
            when (edit) {
                is Edit.Remove -> listOf("- ${edit.path}${before?.let { ": " + fieldsText(it) }.orEmpty()}")
                is Edit.Put ->
                    if (before == null) {
                        listOf("+ ${edit.path}: ${fieldsText(edit.entry)}")
                    } else {
                        changedLines(edit, before)
                    }
            }
        }
        return lines.joinToString("\n")
    }

    /** Returns the edits as JSON. */
    fun json(): JsonElement = lenientJson.encodeToJsonElement(ListSerializer(Edit.serializer()), edits)

    private fun changedLines(edit: Edit.Put, entry: Entry): List<String> {
        val before = fieldsOf(entry)
        val after = fieldsOf(edit.entry)
        val names = (before.keys + after.keys).filter { before[it] != after[it] }
        return listOf("~ ${edit.path}") + names.map { "    $it: ${before[it] ?: "none"} -> ${after[it] ?: "none"}" }
    }

    private fun fieldsText(entry: Entry): String =
        fieldsOf(entry).entries.joinToString(", ") { (name, value) -> "$name $value" }.ifEmpty { "no values" }

    private fun fieldsOf(entry: Entry): JsonObject {
        val json = jsonWithDefaults.encodeToJsonElement(Entry.serializer(), entry).jsonObject
        return JsonObject(json - "type")
    }

    private companion object {
        // Includes default values, but omits settings that are not set.
        val jsonWithDefaults = Json {
            encodeDefaults = true
            explicitNulls = false
        }
    }
}
