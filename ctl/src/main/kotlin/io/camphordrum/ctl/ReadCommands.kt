package io.camphordrum.ctl

import io.camphordrum.core.config.ApplyResult
import io.camphordrum.core.config.Change
import io.camphordrum.core.config.ChangeRecord
import io.camphordrum.core.config.Declaration
import io.camphordrum.core.config.Edit
import io.camphordrum.core.config.Entry
import io.camphordrum.core.config.Explanation
import io.camphordrum.core.config.Tree
import io.camphordrum.core.config.TreeDocument
import io.camphordrum.core.config.TreePath
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.optional
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.nio.file.Path

/** Prints the tree, a branch or an entry in the form that `apply` reads. */
class GetCommand(session: Session) : Command("get", "Print the tree, a branch or an entry", session) {
    private val path by argument(ArgType.String, "PATH", "For example drafting/adapters/reports").optional()

    override fun run(): ExitCode = when (val read = client.tree()) {
        is ClientResult.Success -> show(read.value)
        else -> failed(read)
    }

    private fun show(document: TreeDocument): ExitCode {
        val place = TreePath.parseInput(path.orEmpty())
        val branch = place.branch.split('/').filter { it.isNotEmpty() }
            .fold<String, Declaration?>(document.tree) { at, name -> at?.branches?.get(name) }
        val json = when {
            branch == null -> null
            place.section == null -> lenient.encodeToJsonElement(Declaration.serializer(), branch)
            else -> branch.entries()[TreePath("", place.section, place.name).toString()]
                ?.let { lenient.encodeToJsonElement(Entry.serializer(), it) }
        } ?: return console.fault(ExitCode.NOT_FOUND, "$place: expected an entry or a branch, but there is none")
        val all = buildJsonObject {
            put("revision", document.revision)
            put("path", place.toString())
            put("value", json)
        }
        console.answer(all) { pretty.encodeToString(JsonElement.serializer(), json) }
        return ExitCode.DONE
    }
}

/** Lists the newest changes. */
class HistoryCommand(session: Session) : Command("history", "List the newest changes", session) {
    private val limit by option(ArgType.Int, "limit", "n", "Most changes to list").default(20)
    private val edits by option(ArgType.Boolean, "edits", null, "Also list the paths that were edited").default(false)

    override fun run(): ExitCode = when (val read = client.history(limit)) {
        is ClientResult.Success -> {
            val json = lenient.encodeToJsonElement(ListSerializer(ChangeRecord.serializer()), read.value)
            console.answer(json) { read.value.joinToString("\n") { recordText(it, edits) } }
            ExitCode.DONE
        }
        else -> failed(read)
    }
}

/** Prints the status of the daemon. */
class StatusCommand(session: Session) : Command("status", "Print the status of the daemon", session) {
    override fun run(): ExitCode = when (val read = client.status()) {
        is ClientResult.Success -> {
            console.answer(read.value) {
                read.value.entries.joinToString("\n") { (name, value) ->
                    "$name: ${if (value is JsonPrimitive) value.content else value}"
                }
            }
            ExitCode.DONE
        }
        else -> failed(read)
    }
}

/** Tells which branch each setting in force at a path comes from. */
class ExplainCommand(session: Session) :
    Command("explain", "Tell which branch each setting at a path comes from", session) {
    private val path by argument(ArgType.String, "PATH", "For example drafting/adapters/reports")

    override fun run(): ExitCode = when (val read = client.explain(path)) {
        is ClientResult.Success -> {
            val found = read.value
            console.answer(lenient.encodeToJsonElement(Explanation.serializer(), found)) {
                found.settings.joinToString("\n") { "${it.name} ${it.value} (${it.from})" }
            }
            ExitCode.DONE
        }
        else -> failed(read)
    }
}

/** Checks a declaration of the whole tree without a connection. */
class CheckCommand(session: Session) : Command("check", "Check a declaration without a connection", session) {
    private val path by argument(ArgType.String, "FILE|DIR", "Declaration in JSON with comments")

    override fun run(): ExitCode = when (val read = DeclarationReader().read(Path.of(path))) {
        is DeclaredResult.Unreadable -> console.fault(ExitCode.INVALID, read.messages.joinToString("\n"))
        is DeclaredResult.Read -> check(read.declared)
    }

    private fun check(declared: Declared): ExitCode {
        val puts = declared.entries.map { (path, entry) -> Edit.Put(path, entry) }
        if (puts.isNotEmpty()) {
            val result = Tree.empty().apply(Change("check", 0, "check", 0, "", puts))
            if (result is ApplyResult.Invalid) {
                return console.fault(ExitCode.INVALID, result.errors.joinToString("\n") { declared.locate(it) })
            }
        }
        console.answer(buildJsonObject { put("entries", puts.size) }) { "${puts.size} entries, no faults" }
        return ExitCode.DONE
    }
}
