package io.camphordrum.ctl

import io.camphordrum.core.config.DataCentre
import io.camphordrum.core.config.DataCentreState
import io.camphordrum.core.config.Edit
import io.camphordrum.core.config.Endpoint
import io.camphordrum.core.config.Section
import io.camphordrum.core.config.Tree
import io.camphordrum.core.config.TreePath
import kotlinx.cli.ArgType
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Drains a data centre or returns it to service. */
class DataCentreCommand(private val state: DataCentreState, session: Session) :
    ChangeCommand("data-centre", "${verb(state == DataCentreState.DRAINED)} a data centre", session) {
    private val id by argument(ArgType.String, "NAME", "Name of the data centre")

    override fun defaultReason(): String = "${verb(state == DataCentreState.DRAINED)} data centre $id".lowercase()

    override fun edits(tree: Tree): List<Edit> {
        val path = findPath(tree, Section.DATA_CENTRES, id)
        return putIfChanged(tree, path, (tree.entry(path) as DataCentre).copy(state = state))
    }
}

/** Drains an endpoint or returns it to service. */
class EndpointCommand(private val leaving: Boolean, session: Session) :
    ChangeCommand("endpoint", "${verb(leaving)} an endpoint", session) {
    private val id by argument(ArgType.String, "NAME", "Name of the endpoint in the platform's list")

    override fun defaultReason(): String = "${verb(leaving)} endpoint $id".lowercase()

    // The platform lists the endpoints; the tree has entries only for those that are leaving.
    override fun edits(tree: Tree): List<Edit> {
        val path = TreePath("", Section.ENDPOINTS, id).toString()
        return when {
            leaving -> putIfChanged(tree, path, Endpoint(leaving = true))
            tree.entry(path) == null -> emptyList()
            else -> listOf(Edit.Remove(path))
        }
    }
}

/**
 * Declares that an instance has terminated permanently.
 *
 * If the instance still runs, its rights may be granted to another one although it still uses them.
 */
class InstanceGoneCommand(session: Session) :
    Command("gone", "State that an instance has ended for good", session) {
    private val id by argument(ArgType.String, "NAME", "Name of the instance")

    override fun run(): ExitCode = when (val result = client.declareGone(id)) {
        is ClientResult.Success -> {
            console.printResult(buildJsonObject { put("gone", id) }) { "instance $id is stated to be gone" }
            ExitCode.DONE
        }
        else -> reportFailure(result)
    }
}

private fun verb(drain: Boolean): String = if (drain) "Drain" else "Return"
