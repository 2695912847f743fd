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

/** Makes the tree, or one branch of it, what files declare. */
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
    private var declared: Declared? = null

    // The operator looked at the tree before; a change in between must be seen.
    override val repeatable: Boolean get() = false

    override fun reason(): String = "apply $path"

    override fun locate(error: TreeError): String = declared?.locate(error) ?: error.toString()

    override fun edits(tree: Tree): List<Edit> = when (val read = DeclarationReader(branch).read(Path.of(path))) {
        is DeclaredResult.Unreadable -> throw Fault(ExitCode.INVALID, read.messages.joinToString("\n"))
        is DeclaredResult.Read -> {
            declared = read.declared
            declaredEdits(tree, read.declared, exact)
        }
    }
}

/** Shows what `apply` would change. */
class DiffCommand(session: Session) :
    Command("diff", "Show what apply would change; ends with 1 when there is a difference", session) {
    private val path by argument(ArgType.String, "FILE|DIR", "Declaration in JSON with comments")
    private val branch by option(ArgType.String, "branch", "b", "The declaration is of this branch only").default("")
    private val exact by option(ArgType.Boolean, "exact", null, "As with apply").default(false)

    override fun run(): ExitCode = when (val read = DeclarationReader(branch).read(Path.of(path))) {
        is DeclaredResult.Unreadable -> console.fault(ExitCode.INVALID, read.messages.joinToString("\n"))
        is DeclaredResult.Read -> withTree { tree ->
            val edits = declaredEdits(tree, read.declared, exact)
            val diff = TreeDiff(tree, edits)
            console.answer(diff.json()) { if (edits.isEmpty()) "no difference" else diff.text() }
            if (edits.isEmpty()) ExitCode.DONE else ExitCode.DIFFERENT
        }
    }
}

/**
 * Returns the edits that make [tree] what is [declared].
 *
 * Keys are issued and drains are ordered by commands in between. Unless [exact] is set, a declaration that was written
 * before them therefore neither withdraws keys nor returns anything to service.
 */
internal fun declaredEdits(tree: Tree, declared: Declared, exact: Boolean): List<Edit> {
    val below = if (declared.scope.isEmpty()) "" else "${declared.scope}/"
    val edits = ArrayList<Edit>()
    for (section in Section.entries) {
        val kept = !exact && (section == Section.KEYS || section == Section.ENDPOINTS)
        tree.forEach(section) { path, _ ->
            if (path.startsWith(below) && path !in declared.entries && !kept) edits += Edit.Remove(path)
        }
    }
    for ((path, entry) in declared.entries) {
        val present = tree.entry(path)
        val wanted = if (exact) entry else keepDrain(entry, present)
        if (present != wanted) edits += Edit.Put(path, wanted)
    }
    return edits.sortedWith(compareBy<Edit> { TreePath.parse(it.path).section }.thenBy { it.path })
}

private fun keepDrain(entry: Entry, present: Entry?): Entry = when {
    entry is DataCentre && present is DataCentre -> entry.copy(state = present.state)
    entry is Endpoint && present is Endpoint -> present
    else -> entry
}
