package io.camphordrum.ctl

import io.camphordrum.core.config.ChangeRecord
import io.camphordrum.core.config.Edit
import io.camphordrum.core.config.Section
import io.camphordrum.core.config.Tree
import io.camphordrum.core.config.TreePath
import kotlinx.cli.ArgType
import kotlinx.cli.default

/** Makes the tree what it was at an earlier revision, by a new change. */
class RollbackCommand(session: Session) :
    ChangeCommand("rollback", "Make the tree what it was at a revision, by a new change", session) {
    private val revision by argument(ArgType.Int, "REVISION", "The revision to go back to")
    private val withKeys by option(
        ArgType.Boolean,
        "with-keys",
        null,
        "Also go back on keys: withdrawn keys work again, issued ones stop",
    ).default(false)

    override val repeatable: Boolean get() = false

    override fun reason(): String = "rollback to $revision"

    override fun edits(tree: Tree): List<Edit> {
        val back = tree.revision - revision
        if (revision < 0 || back < 0) {
            throw Fault(ExitCode.USAGE, "REVISION: expected 0 to ${tree.revision}, but was $revision")
        }
        if (back == 0L) return emptyList()
        if (back > MAX_RECORDS) {
            throw Fault(ExitCode.USAGE, "REVISION: expected at most $MAX_RECORDS changes back, but it is $back back")
        }
        return when (val read = client.history(back.toInt() + 1)) {
            is ClientResult.Success -> undo(tree, read.value)
            is ClientResult.Unavailable -> throw Fault(ExitCode.UNAVAILABLE, read.message)
            else -> throw Fault(ExitCode.INVALID, "expected the history of $back changes, but $read")
        }
    }

    private fun undo(tree: Tree, records: List<ChangeRecord>): List<Edit> {
        val needed = records.filter { it.revision in revision + 1L..tree.revision }.sortedByDescending { it.revision }
        if (needed.size.toLong() != tree.revision - revision) {
            val expected = "expected the records of revisions ${revision + 1} to ${tree.revision}"
            throw Fault(ExitCode.INVALID, "$expected, but there are ${needed.size}")
        }
        // Of several edits of a path, the one from the oldest change tells the value to go back to.
        val edits = LinkedHashMap<String, Edit>()
        for (record in needed) for (edit in record.undo) edits[edit.path] = edit
        return edits.values.filter { edit ->
            val keeps = !withKeys && TreePath.parse(edit.path).section == Section.KEYS
            val there = tree.entry(edit.path)
            !keeps && (if (edit is Edit.Put) there != edit.entry else there != null)
        }
    }

    private companion object {
        const val MAX_RECORDS = 255L
    }
}
