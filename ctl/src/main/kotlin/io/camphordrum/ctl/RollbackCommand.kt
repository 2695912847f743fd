package io.camphordrum.ctl

import io.camphordrum.core.config.ChangeRecord
import io.camphordrum.core.config.Edit
import io.camphordrum.core.config.Section
import io.camphordrum.core.config.Tree
import io.camphordrum.core.config.TreePath
import kotlinx.cli.ArgType
import kotlinx.cli.default

/** Restores the tree of an earlier revision by submitting a new change. */
class RollbackCommand(session: Session) :
    ChangeCommand("rollback", "Make the tree what it was at a revision, by a new change", session) {
    private val revision by argument(ArgType.Int, "REVISION", "The revision to go back to")
    private val withKeys by option(
        ArgType.Boolean,
        "with-keys",
        null,
        "Also go back on keys: withdrawn keys work again, issued ones stop",
    ).default(false)

    override val retryOnConflict: Boolean get() = false

    override fun defaultReason(): String = "rollback to $revision"

    override fun edits(tree: Tree): List<Edit> {
        val changesToUndo = tree.revision - revision
        if (revision < 0 || changesToUndo < 0) {
            throw CommandException(ExitCode.USAGE, "REVISION: expected 0 to ${tree.revision}, but was $revision")
        }
        if (changesToUndo == 0L) return emptyList()
        if (changesToUndo > MAX_UNDONE_CHANGES) {
            throw CommandException(
                ExitCode.USAGE,
                "REVISION: expected at most $MAX_UNDONE_CHANGES changes to undo, but was $changesToUndo",
            )
        }
        return when (val result = client.history(changesToUndo.toInt() + 1)) {
            is ClientResult.Success -> undoEdits(tree, result.value)
            is ClientResult.Unavailable -> throw CommandException(ExitCode.UNAVAILABLE, result.message)
            else -> throw CommandException(
                ExitCode.INVALID,
                "cannot read the history of $changesToUndo changes: $result",
            )
        }
    }

    private fun undoEdits(tree: Tree, records: List<ChangeRecord>): List<Edit> {
        val recordsToUndo = records.filter { it.revision in revision + 1L..tree.revision }
            .sortedByDescending { it.revision }
        if (recordsToUndo.size.toLong() != tree.revision - revision) {
            val expected = "expected the records of revisions ${revision + 1} to ${tree.revision}"
            throw CommandException(ExitCode.INVALID, "$expected, but ${recordsToUndo.size} exist")
        }
        // If several changes edited a path, the undo edit of the oldest one restores its earlier value.
        val edits = LinkedHashMap<String, Edit>()
        for (record in recordsToUndo) for (edit in record.undo) edits[edit.path] = edit
        return edits.values.filter { edit ->
            val keepKey = !withKeys && TreePath.parse(edit.path).section == Section.KEYS
            val existing = tree.entry(edit.path)
            !keepKey && (if (edit is Edit.Put) existing != edit.entry else existing != null)
        }
    }

    private companion object {
        const val MAX_UNDONE_CHANGES = 255L
    }
}
