package io.camphordrum.ctl

import io.camphordrum.core.config.ApplyResult
import io.camphordrum.core.config.Tree
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default

/** Implements the common part of all commands: the server, the output format and the exit codes of failures. */
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
            session.clientFactory(it.trim())
        }
    }

    protected val client: OperatorClient get() = clients.first()

    override fun execute() {
        session.commandExecuted = true
        console.output = output
        session.exitCode = run()
    }

    /** Executes the command and prints its result. */
    protected abstract fun run(): ExitCode

    /** Reads the tree and calls [action] with it; prints an error if the tree cannot be read or is not valid. */
    protected fun withTree(action: (Tree) -> ExitCode): ExitCode = when (val result = client.tree()) {
        is ClientResult.Success -> when (val treeResult = Tree.of(result.value.revision, result.value.tree)) {
            is ApplyResult.Applied -> action(treeResult.tree)
            is ApplyResult.Invalid -> console.printError(
                ExitCode.INVALID,
                "the daemon's tree is not valid for this version of the tool:\n" + treeResult.errors.joinToString("\n"),
            )
            is ApplyResult.Stale -> console.printError(ExitCode.INVALID, "expected revision ${treeResult.revision}")
        }
        else -> reportFailure(result)
    }

    /** Prints the error of [result] and returns its exit code. */
    protected fun reportFailure(result: ClientResult<*>): ExitCode = when (result) {
        is ClientResult.Conflict -> reportConflict(result)
        is ClientResult.Refused -> console.printError(ExitCode.INVALID, result.message)
        is ClientResult.Unavailable -> console.printError(ExitCode.UNAVAILABLE, result.message)
        is ClientResult.Unknown -> console.printError(ExitCode.UNKNOWN, result.message)
        is ClientResult.Success -> ExitCode.DONE
    }

    private fun reportConflict(conflict: ClientResult.Conflict): ExitCode {
        val winner = conflict.winner
        val text = if (winner == null) {
            "another change came first; nothing was changed"
        } else {
            "another change came first; nothing was changed. The other change is\n" +
                recordText(winner, listEdits = true)
        }
        return console.printError(ExitCode.CONFLICT, text) {
            if (winner != null) put("winner", recordJson(winner))
        }
    }

    private companion object {
        const val DEFAULT_SERVER = "http://127.0.0.1:8091"
    }
}
