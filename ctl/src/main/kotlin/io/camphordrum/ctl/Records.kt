package io.camphordrum.ctl

import io.camphordrum.core.config.ChangeRecord
import io.camphordrum.core.config.Edit
import kotlinx.serialization.json.JsonElement
import java.time.Instant

internal fun recordText(record: ChangeRecord, edits: Boolean): String {
    val change = record.change
    val why = change.why.ifEmpty { "no reason given" }
    val head = "revision ${record.revision} by ${change.who} at ${Instant.ofEpochMilli(change.epochMillis)}: $why"
    if (!edits) return "$head (${change.edits.size} edits)"
    val shown = change.edits.take(MAX_SHOWN).map { if (it is Edit.Put) "  put ${it.path}" else "  remove ${it.path}" }
    val left = change.edits.size - shown.size
    return (listOf(head) + shown + listOfNotNull("  and $left more".takeIf { left > 0 })).joinToString("\n")
}

internal fun recordJson(record: ChangeRecord): JsonElement =
    lenient.encodeToJsonElement(ChangeRecord.serializer(), record)

private const val MAX_SHOWN = 20
