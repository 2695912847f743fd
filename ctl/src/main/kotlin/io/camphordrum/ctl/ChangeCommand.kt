package io.camphordrum.ctl

import io.camphordrum.core.config.ApplyResult
import io.camphordrum.core.config.Change
import io.camphordrum.core.config.Edit
import io.camphordrum.core.config.Entry
import io.camphordrum.core.config.Section
import io.camphordrum.core.config.Tree
import io.camphordrum.core.config.TreeError
import io.camphordrum.core.config.TreePath
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull
import kotlinx.serialization.json.put
import java.util.UUID

/** Implements a command that changes the tree, with author, reason, dry run and waiting for the revision. */
abstract class ChangeCommand(name: String, description: String, session: Session) :
    Command(name, description, session) {
    private val who by option(ArgType.String, "who", null, "Who makes the change (or CAMPHORDRUM_WHO, or USER)")
    private val why by option(ArgType.String, "why", null, "Why the change is made").default("")
    private val dryRun by option(ArgType.Boolean, "dry-run", null, "Show the difference, change nothing").default(false)
    private val wait by option(ArgType.Boolean, "wait", null, "Wait until the revision is in force").default(false)
    private val waitSeconds by option(ArgType.Int, "wait-seconds", null, "Longest wait").default(60)

    /** Returns the edits that this command makes to [tree]; throws [CommandException] if it cannot make them. */
    protected abstract fun edits(tree: Tree): List<Edit>

    /** Returns the reason that is recorded if the operator did not provide one. */
    protected open fun defaultReason(): String = ""

    /** Whether the edits are computed and submitted again on a newer tree after a conflict with another change. */
    protected open val retryOnConflict: Boolean get() = true

    /** Returns the text of [error], with its location in a declaration file if there is one. */
    protected open fun locate(error: TreeError): String = error.toString()

    /** Adds the result fields of this command; called after its change is accepted or its outcome is unknown. */
    protected open fun JsonObjectBuilder.addResultFields() = Unit

    /** Returns the fields of [addResultFields] as text, or an empty string. */
    protected open fun resultText(): String = ""

    /** Aborts the command with an exit code before anything is changed. */
    protected class CommandException(val exitCode: ExitCode, override val message: String) : Exception(message)

    override fun run(): ExitCode {
        var attempt = 1
        while (true) {
            var retry = false
            val code = withTree { tree ->
                val result = submitEdits(tree)
                retry = result is ClientResult.Conflict && retryOnConflict && attempt < MAX_ATTEMPTS
                if (retry) ExitCode.CONFLICT else report(result)
            }
            if (!retry) return code
            attempt++
        }
    }

    private var localExitCode: ExitCode = ExitCode.DONE

    // Returns null if nothing was submitted; [localExitCode] then holds the exit code of the command.
    private fun submitEdits(tree: Tree): ClientResult<Long>? {
        val author = who ?: session.environment["CAMPHORDRUM_WHO"] ?: session.environment["USER"].orEmpty()
        val edits = try {
            edits(tree)
        } catch (failure: CommandException) {
            return notSubmitted(console.printError(failure.exitCode, failure.message))
        }
        if (author.isBlank()) {
            return notSubmitted(console.printError(ExitCode.USAGE, "--who: expected a name, but there is none"))
        }
        if (edits.isEmpty()) return notSubmitted(reportUnchanged(tree))
        val id = UUID.randomUUID().toString()
        val change = Change(id, tree.revision, author, session.epochMillis(), why.ifEmpty { defaultReason() }, edits)
        val applyResult = tree.apply(change)
        if (applyResult is ApplyResult.Invalid) return notSubmitted(reportInvalid(applyResult.errors))
        return if (dryRun) notSubmitted(reportDifference(tree, edits)) else client.submit(change)
    }

    private fun notSubmitted(code: ExitCode): ClientResult<Long>? {
        localExitCode = code
        return null
    }

    private fun reportUnchanged(tree: Tree): ExitCode {
        val json = buildJsonObject {
            put("revision", tree.revision)
            put("changed", false)
        }
        console.printResult(json) { "nothing to change at revision ${tree.revision}" }
        return ExitCode.DONE
    }

    private fun reportInvalid(errors: List<TreeError>): ExitCode =
        console.printError(ExitCode.INVALID, errors.joinToString("\n") { locate(it) })

    private fun reportDifference(tree: Tree, edits: List<Edit>): ExitCode {
        val diff = TreeDiff(tree, edits)
        console.printResult(diff.json()) { diff.text() }
        return ExitCode.DIFFERENT
    }

    private fun report(result: ClientResult<Long>?): ExitCode = when (result) {
        null -> localExitCode
        is ClientResult.Success -> reportAccepted(result.value)
        is ClientResult.Unknown -> console.printError(
            ExitCode.UNKNOWN,
            listOf(result.message, resultText()).filter { it.isNotEmpty() }.joinToString("\n"),
        ) { addResultFields() }
        else -> reportFailure(result)
    }

    private fun reportAccepted(revision: Long): ExitCode {
        val inForce = wait && waitUntilInForce(revision)
        val json = buildJsonObject {
            put("revision", revision)
            put("changed", true)
            if (wait) put("inForce", inForce)
            addResultFields()
        }
        console.printResult(json) {
            val inForceText = if (!wait) {
                ""
            } else if (inForce) {
                " and in force"
            } else {
                ", but not in force after $waitSeconds s"
            }
            listOf("revision $revision is accepted$inForceText", resultText())
                .filter { it.isNotEmpty() }.joinToString("\n")
        }
        return if (wait && !inForce) ExitCode.NOT_YET else ExitCode.DONE
    }

    private fun waitUntilInForce(revision: Long): Boolean {
        repeat(waitSeconds * POLLS_PER_SECOND) {
            if (clients.all { isInForce(it, revision) }) return true
            session.sleep(1_000L / POLLS_PER_SECOND)
        }
        return false
    }

    private fun isInForce(client: OperatorClient, revision: Long): Boolean {
        val status = (client.status() as? ClientResult.Success)?.value ?: return false
        return (status["revision"]?.jsonPrimitive?.longOrNull ?: -1) >= revision
    }

    /** Returns the path of the entry [name] in any branch; throws [CommandException] if there is none. */
    protected fun findPath(tree: Tree, section: Section, name: String): String {
        var existing: String? = null
        tree.forEach(section) { path, _ -> if (TreePath.parse(path).name == name) existing = path }
        return existing
            ?: throw CommandException(ExitCode.NOT_FOUND, "expected '$name' in ${section.key}, but there is none")
    }

    /** Returns an edit that puts [entry], or an empty list if the tree already contains this value at [path]. */
    protected fun putIfChanged(tree: Tree, path: String, entry: Entry): List<Edit> =
        if (tree.entry(path) == entry) emptyList() else listOf(Edit.Put(path, entry))

    private companion object {
        const val MAX_ATTEMPTS = 5
        const val POLLS_PER_SECOND = 5
    }
}
