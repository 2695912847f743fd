package io.camphordrum.ctl

import io.camphordrum.core.config.ApplyResult
import io.camphordrum.core.config.Tree
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default

/** Holds what all commands share: the server, the form of the output and the translation of failures. */
@OptIn(ExperimentalCli::class)
abstract class Command(name: String, description: String, protected val session: Session) :
    Subcommand(name, description) {
    private val output by option(ArgType.Choice<Output>(), "output", "o", "Form of the answer").default(Output.TEXT)
    private val server by option(
        ArgType.String,
        "server",
        "s",
        "Operator addresses, separated by commas; the first gets changes, --wait asks all (or CAMPHORDRUM_SERVER)",
    )

    protected val console: Console get() = session.console

    protected val clients: List<OperatorClient> by lazy {
        (server ?: session.environment["CAMPHORDRUM_SERVER"] ?: DEFAULT_SERVER).split(',').map {
            session.client(it.trim())
        }
    }

    protected val client: OperatorClient get() = clients.first()

    override fun execute() {
        session.chosen = true
        console.output = output
        session.exit = run()
    }

    /** Does the work and prints the answer. */
    protected abstract fun run(): ExitCode

    /** Reads the tree and goes on with [then]. */
    protected fun withTree(then: (Tree) -> ExitCode): ExitCode = when (val read = client.tree()) {
        is ClientResult.Success -> when (val built = Tree.of(read.value.revision, read.value.tree)) {
            is ApplyResult.Applied -> then(built.tree)
            is ApplyResult.Invalid -> console.fault(
                ExitCode.INVALID,
                "the daemon's tree is not valid for this version of the tool:\n" + built.errors.joinToString("\n"),
            )
            is ApplyResult.Stale -> console.fault(ExitCode.INVALID, "expected revision ${built.revision}")
        }
        else -> failed(read)
    }

    /** Prints why [result] is not a success. */
    protected fun failed(result: ClientResult<*>): ExitCode = when (result) {
        is ClientResult.Conflict -> conflict(result)
        is ClientResult.Refused -> console.fault(ExitCode.INVALID, result.message)
        is ClientResult.Unavailable -> console.fault(ExitCode.UNAVAILABLE, result.message)
        is ClientResult.Unknown -> console.fault(ExitCode.UNKNOWN, result.message)
        is ClientResult.Success -> ExitCode.DONE
    }

    private fun conflict(conflict: ClientResult.Conflict): ExitCode {
        val winner = conflict.winner
        val text = if (winner == null) {
            "another change came first; nothing was changed"
        } else {
            "another change came first; nothing was changed. The other change is\n" + recordText(winner, edits = true)
        }
        return console.fault(ExitCode.CONFLICT, text) {
            if (winner != null) put("winner", recordJson(winner))
        }
    }

    private companion object {
        const val DEFAULT_SERVER = "http://127.0.0.1:8091"
    }
}
