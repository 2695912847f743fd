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

    override fun run(): ExitCode = when (val result = client.tree()) {
        is ClientResult.Success -> printEntry(result.value)
        else -> reportFailure(result)
    }

    private fun printEntry(document: TreeDocument): ExitCode {
        val treePath = TreePath.parseInput(path.orEmpty())
        val branch = treePath.branch.split('/').filter { it.isNotEmpty() }
            .fold<String, Declaration?>(document.tree) { parent, name -> parent?.branches?.get(name) }
        val json = when {
            branch == null -> null
            treePath.section == null -> lenientJson.encodeToJsonElement(Declaration.serializer(), branch)
            else -> branch.entries()[TreePath("", treePath.section, treePath.name).toString()]
                ?.let { lenientJson.encodeToJsonElement(Entry.serializer(), it) }
        }
            ?: return console.printError(
                ExitCode.NOT_FOUND,
                "$treePath: expected an entry or a branch, but there is none",
            )
        val output = buildJsonObject {
            put("revision", document.revision)
            put("path", treePath.toString())
            put("value", json)
        }
        console.printResult(output) { prettyJson.encodeToString(JsonElement.serializer(), json) }
        return ExitCode.DONE
    }
}

/** Lists the newest changes. */
class HistoryCommand(session: Session) : Command("history", "List the newest changes", session) {
    private val limit by option(ArgType.Int, "limit", "n", "Most changes to list").default(20)
    private val edits by option(ArgType.Boolean, "edits", null, "Also list the paths that were edited").default(false)

    override fun run(): ExitCode = when (val result = client.history(limit)) {
        is ClientResult.Success -> {
            val json = lenientJson.encodeToJsonElement(ListSerializer(ChangeRecord.serializer()), result.value)
            console.printResult(json) { result.value.joinToString("\n") { recordText(it, edits) } }
            ExitCode.DONE
        }
        else -> reportFailure(result)
    }
}

/** Prints the status of the daemon. */
class StatusCommand(session: Session) : Command("status", "Print the status of the daemon", session) {
    override fun run(): ExitCode = when (val result = client.status()) {
        is ClientResult.Success -> {
            console.printResult(result.value) {
                result.value.entries.joinToString("\n") { (name, value) ->
                    "$name: ${if (value is JsonPrimitive) value.content else value}"
                }
            }
            ExitCode.DONE
        }
        else -> reportFailure(result)
    }
}

/** Prints the settings in force at a path and the branch that each one comes from. */
class ExplainCommand(session: Session) :
    Command("explain", "Tell which branch each setting at a path comes from", session) {
    private val path by argument(ArgType.String, "PATH", "For example drafting/adapters/reports")

    override fun run(): ExitCode = when (val result = client.explain(path)) {
        is ClientResult.Success -> {
            val explanation = result.value
            console.printResult(lenientJson.encodeToJsonElement(Explanation.serializer(), explanation)) {
                explanation.settings.joinToString("\n") { "${it.name} ${it.value} (${it.from})" }
            }
            ExitCode.DONE
        }
        else -> reportFailure(result)
    }
}

/** Validates a declaration of the whole tree without connecting to a daemon. */
class CheckCommand(session: Session) : Command("check", "Check a declaration without a connection", session) {
    private val path by argument(ArgType.String, "FILE|DIR", "Declaration in JSON with comments")

    override fun run(): ExitCode = when (val result = DeclarationReader().read(Path.of(path))) {
        is DeclarationResult.Unreadable -> console.printError(ExitCode.INVALID, result.messages.joinToString("\n"))
        is DeclarationResult.Read -> check(result.entries)
    }

    private fun check(declaredEntries: DeclaredEntries): ExitCode {
        val puts = declaredEntries.entries.map { (path, entry) -> Edit.Put(path, entry) }
        if (puts.isNotEmpty()) {
            val result = Tree.empty().apply(Change("check", 0, "check", 0, "", puts))
            if (result is ApplyResult.Invalid) {
                return console.printError(
                    ExitCode.INVALID,
                    result.errors.joinToString("\n") { declaredEntries.locate(it) },
                )
            }
        }
        console.printResult(buildJsonObject { put("entries", puts.size) }) { "${puts.size} entries, no faults" }
        return ExitCode.DONE
    }
}
