package io.camphordrum.ctl

import io.camphordrum.core.config.ChangeRecord
import io.camphordrum.core.config.Edit
import kotlinx.serialization.json.JsonElement
import java.time.Instant

internal fun recordText(record: ChangeRecord, listEdits: Boolean): String {
    val change = record.change
    val why = change.why.ifEmpty { "no reason given" }
    val headline = "revision ${record.revision} by ${change.who} at ${Instant.ofEpochMilli(change.epochMillis)}: $why"
    if (!listEdits) return "$headline (${change.edits.size} edits)"
    val listed = change.edits.take(MAX_LISTED_EDITS).map {
        if (it is Edit.Put) "  put ${it.path}" else "  remove ${it.path}"
    }
    val omitted = change.edits.size - listed.size
    return (listOf(headline) + listed + listOfNotNull("  and $omitted more".takeIf { omitted > 0 })).joinToString("\n")
}

internal fun recordJson(record: ChangeRecord): JsonElement =
    lenientJson.encodeToJsonElement(ChangeRecord.serializer(), record)

private const val MAX_LISTED_EDITS = 20
