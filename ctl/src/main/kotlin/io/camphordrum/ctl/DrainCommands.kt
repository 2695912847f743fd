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

/** Takes a data centre out of service, or brings it back. */
class DataCentreCommand(private val state: DataCentreState, session: Session) :
    ChangeCommand("data-centre", "${verb(state == DataCentreState.DRAINED)} a data centre", session) {
    private val id by argument(ArgType.String, "NAME", "Name of the data centre")

    override fun reason(): String = "${verb(state == DataCentreState.DRAINED)} data centre $id".lowercase()

    override fun edits(tree: Tree): List<Edit> {
        val path = find(tree, Section.DATA_CENTRES, id)
        return putIfNew(tree, path, (tree.entry(path) as DataCentre).copy(state = state))
    }
}

/** Takes an endpoint out of service, or brings it back. */
class EndpointCommand(private val leaving: Boolean, session: Session) :
    ChangeCommand("endpoint", "${verb(leaving)} an endpoint", session) {
    private val id by argument(ArgType.String, "NAME", "Name of the endpoint in the platform's list")

    override fun reason(): String = "${verb(leaving)} endpoint $id".lowercase()

    // Endpoints come and go with the platform's list; only those that leave need an entry.
    override fun edits(tree: Tree): List<Edit> {
        val path = TreePath("", Section.ENDPOINTS, id).toString()
        return when {
            leaving -> putIfNew(tree, path, Endpoint(leaving = true))
            tree.entry(path) == null -> emptyList()
            else -> listOf(Edit.Remove(path))
        }
    }
}

/** States that an instance has ended for good; a wrong statement may give its rights away while it still runs. */
class InstanceGoneCommand(session: Session) :
    Command("gone", "State that an instance has ended for good", session) {
    private val id by argument(ArgType.String, "NAME", "Name of the instance")

    override fun run(): ExitCode = when (val result = client.gone(id)) {
        is ClientResult.Success -> {
            console.answer(buildJsonObject { put("gone", id) }) { "instance $id is stated to be gone" }
            ExitCode.DONE
        }
        else -> failed(result)
    }
}

private fun verb(drain: Boolean): String = if (drain) "Drain" else "Return"
