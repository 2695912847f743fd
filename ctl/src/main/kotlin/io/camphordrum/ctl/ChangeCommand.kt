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

/** Holds what commands share that change the tree: who, why, dry run and waiting. */
abstract class ChangeCommand(name: String, description: String, session: Session) :
    Command(name, description, session) {
    private val who by option(ArgType.String, "who", null, "Who makes the change (or CAMPHORDRUM_WHO, or USER)")
    private val why by option(ArgType.String, "why", null, "Why the change is made").default("")
    private val dryRun by option(ArgType.Boolean, "dry-run", null, "Show the difference, change nothing").default(false)
    private val wait by option(ArgType.Boolean, "wait", null, "Wait until the revision is in force").default(false)
    private val waitSeconds by option(ArgType.Int, "wait-seconds", null, "Longest wait").default(60)

    /** Returns the edits that turn the tree into what is asked for, or fails with [Fault]. */
    protected abstract fun edits(tree: Tree): List<Edit>

    /** Returns the reason that is recorded when none is given. */
    protected open fun reason(): String = ""

    /** Tells whether the edits may be made again against a newer tree when another change came first. */
    protected open val repeatable: Boolean get() = true

    /** Returns [error] with the place in a file that it is about. */
    protected open fun locate(error: TreeError): String = error.toString()

    /** Adds what the command has to show, once its change is accepted or may have been. */
    protected open fun JsonObjectBuilder.more() = Unit

    /** Returns the text form of [more], or an empty text. */
    protected open fun moreText(): String = ""

    /** Ends a command before anything is changed. */
    protected class Fault(val code: ExitCode, override val message: String) : Exception(message)

    override fun run(): ExitCode {
        var attempt = 1
        while (true) {
            var again = false
            val code = withTree { tree ->
                val result = attempt(tree)
                again = result is ClientResult.Conflict && repeatable && attempt < ATTEMPTS
                if (again) ExitCode.CONFLICT else finish(result)
            }
            if (!again) return code
            attempt++
        }
    }

    private var shown: ExitCode = ExitCode.DONE

    // Returns null when there was nothing to submit; [shown] then tells how the command ended.
    private fun attempt(tree: Tree): ClientResult<Long>? {
        val author = who ?: session.environment["CAMPHORDRUM_WHO"] ?: session.environment["USER"].orEmpty()
        val edits = try {
            edits(tree)
        } catch (fault: Fault) {
            return shown(console.fault(fault.code, fault.message))
        }
        if (author.isBlank()) return shown(console.fault(ExitCode.USAGE, "--who: expected a name, but there is none"))
        if (edits.isEmpty()) return shown(unchanged(tree))
        val id = UUID.randomUUID().toString()
        val change = Change(id, tree.revision, author, session.epochMillis(), why.ifEmpty { reason() }, edits)
        val checked = tree.apply(change)
        if (checked is ApplyResult.Invalid) return shown(invalid(checked.errors))
        return if (dryRun) shown(difference(tree, edits)) else client.submit(change)
    }

    private fun shown(code: ExitCode): ClientResult<Long>? {
        shown = code
        return null
    }

    private fun unchanged(tree: Tree): ExitCode {
        val json = buildJsonObject {
            put("revision", tree.revision)
            put("changed", false)
        }
        console.answer(json) { "nothing to change at revision ${tree.revision}" }
        return ExitCode.DONE
    }

    private fun invalid(errors: List<TreeError>): ExitCode =
        console.fault(ExitCode.INVALID, errors.joinToString("\n") { locate(it) })

    private fun difference(tree: Tree, edits: List<Edit>): ExitCode {
        val diff = TreeDiff(tree, edits)
        console.answer(diff.json()) { diff.text() }
        return ExitCode.DIFFERENT
    }

    private fun finish(result: ClientResult<Long>?): ExitCode = when (result) {
        null -> shown
        is ClientResult.Success -> accepted(result.value)
        is ClientResult.Unknown -> console.fault(
            ExitCode.UNKNOWN,
            listOf(result.message, moreText()).filter { it.isNotEmpty() }.joinToString("\n"),
        ) { more() }
        else -> failed(result)
    }

    private fun accepted(revision: Long): ExitCode {
        val inForce = wait && waitFor(revision)
        val json = buildJsonObject {
            put("revision", revision)
            put("changed", true)
            if (wait) put("inForce", inForce)
            more()
        }
        console.answer(json) {
            val force = if (!wait) {
                ""
            } else if (inForce) {
                " and in force"
            } else {
                ", but not in force after $waitSeconds s"
            }
            listOf("revision $revision is accepted$force", moreText()).filter { it.isNotEmpty() }.joinToString("\n")
        }
        return if (wait && !inForce) ExitCode.NOT_YET else ExitCode.DONE
    }

    private fun waitFor(revision: Long): Boolean {
        repeat(waitSeconds * POLLS_PER_SECOND) {
            if (clients.all { inForce(it, revision) }) return true
            session.sleep(1_000L / POLLS_PER_SECOND)
        }
        return false
    }

    private fun inForce(client: OperatorClient, revision: Long): Boolean {
        val status = (client.status() as? ClientResult.Success)?.value ?: return false
        return (status["revision"]?.jsonPrimitive?.longOrNull ?: -1) >= revision
    }

    /** Returns where the entry called [name] stands, whatever its branch. */
    protected fun find(tree: Tree, section: Section, name: String): String {
        var found: String? = null
        tree.forEach(section) { path, _ -> if (TreePath.parse(path).name == name) found = path }
        return found ?: throw Fault(ExitCode.NOT_FOUND, "expected '$name' in ${section.key}, but there is none")
    }

    /** Returns the edit that puts [entry], or none when it stands there already. */
    protected fun putIfNew(tree: Tree, path: String, entry: Entry): List<Edit> =
        if (tree.entry(path) == entry) emptyList() else listOf(Edit.Put(path, entry))

    private companion object {
        const val ATTEMPTS = 5
        const val POLLS_PER_SECOND = 5
    }
}
