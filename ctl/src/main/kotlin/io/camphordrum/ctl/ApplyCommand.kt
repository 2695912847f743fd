package io.camphordrum.ctl

import io.camphordrum.core.config.DataCentre
import io.camphordrum.core.config.Edit
import io.camphordrum.core.config.Endpoint
import io.camphordrum.core.config.Entry
import io.camphordrum.core.config.Section
import io.camphordrum.core.config.Tree
import io.camphordrum.core.config.TreeError
import io.camphordrum.core.config.TreePath
import kotlinx.cli.ArgType
import kotlinx.cli.default
import java.nio.file.Path

/** Changes the tree, or one branch of it, to the state that a file or a directory declares. */
class ApplyCommand(session: Session) :
    ChangeCommand("apply", "Make the tree what a file or a directory declares", session) {
    private val path by argument(ArgType.String, "FILE|DIR", "Declaration in JSON with comments")
    private val branch by option(ArgType.String, "branch", "b", "The declaration is of this branch only").default("")
    private val exact by option(
        ArgType.Boolean,
        "exact",
        null,
        "Also remove undeclared keys and endpoints, and set the declared drains",
    ).default(false)
    private var declaredEntries: DeclaredEntries? = null

    // The operator reviewed the tree earlier; a change made since must be reported and not overwritten.
    override val retryOnConflict: Boolean get() = false

    override fun defaultReason(): String = "apply $path"

    override fun locate(error: TreeError): String = declaredEntries?.locate(error) ?: error.toString()

    override fun edits(tree: Tree): List<Edit> = when (val result = DeclarationReader(branch).read(Path.of(path))) {
        is DeclarationResult.Unreadable -> throw CommandException(ExitCode.INVALID, result.messages.joinToString("\n"))
        is DeclarationResult.Read -> {
            declaredEntries = result.entries
            declaredEdits(tree, result.entries, exact)
        }
    }
}

/** Prints the edits that `apply` would make. */
class DiffCommand(session: Session) :
    Command("diff", "Show what apply would change; ends with 1 when there is a difference", session) {
    private val path by argument(ArgType.String, "FILE|DIR", "Declaration in JSON with comments")
    private val branch by option(ArgType.String, "branch", "b", "The declaration is of this branch only").default("")
    private val exact by option(ArgType.Boolean, "exact", null, "As with apply").default(false)

    override fun run(): ExitCode = when (val result = DeclarationReader(branch).read(Path.of(path))) {
        is DeclarationResult.Unreadable -> console.printError(ExitCode.INVALID, result.messages.joinToString("\n"))
        is DeclarationResult.Read -> withTree { tree ->
            val edits = declaredEdits(tree, result.entries, exact)
            val diff = TreeDiff(tree, edits)
            console.printResult(diff.json()) { if (edits.isEmpty()) "no difference" else diff.text() }
            if (edits.isEmpty()) ExitCode.DONE else ExitCode.DIFFERENT
        }
    }
}

/**
 * Returns the edits that change [tree] to the state of [declaredEntries].
 *
 * Other commands issue keys and start drains between two applications of a declaration. Unless [exact] is set, applying
 * a declaration therefore neither withdraws undeclared keys nor returns a drained data centre or endpoint to service.
 */
internal fun declaredEdits(tree: Tree, declaredEntries: DeclaredEntries, exact: Boolean): List<Edit> {
    val prefix = if (declaredEntries.scope.isEmpty()) "" else "${declaredEntries.scope}/"
    val edits = ArrayList<Edit>()
    for (section in Section.entries) {
        val keepUndeclared = !exact && (section == Section.KEYS || section == Section.ENDPOINTS)
        tree.forEach(section) { path, _ ->
            if (path.startsWith(prefix) && path !in declaredEntries.entries && !keepUndeclared) {
                edits += Edit.Remove(path)
            }
        }
    }
    for ((path, entry) in declaredEntries.entries) {
        val existing = tree.entry(path)
        val target = if (exact) entry else keepDrain(entry, existing)
        if (existing != target) edits += Edit.Put(path, target)
    }
    return edits.sortedWith(compareBy<Edit> { TreePath.parse(it.path).section }.thenBy { it.path })
}

private fun keepDrain(entry: Entry, existing: Entry?): Entry = when {
    entry is DataCentre && existing is DataCentre -> entry.copy(state = existing.state)
    entry is Endpoint && existing is Endpoint -> existing
    else -> entry
}
