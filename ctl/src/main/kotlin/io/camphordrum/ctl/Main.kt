package io.camphordrum.ctl

import io.camphordrum.core.config.DataCentreState
import io.camphordrum.core.config.Section
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlin.system.exitProcess

/** Runs the command-line tool of the operators and exits with the number of an [ExitCode]. */
fun main(args: Array<String>) {
    val session = Session(Console(System.out, System.err), System.getenv())
    exitProcess(run(session, args).number)
}

/** Parses [args], executes the command that they name and returns its exit code. */
@OptIn(ExperimentalCli::class)
fun run(session: Session, args: Array<String>): ExitCode {
    val parser = ArgParser("camphordrum")
    parser.subcommands(
        ApplyCommand(session),
        DiffCommand(session),
        CheckCommand(session),
        GetCommand(session),
        HistoryCommand(session),
        RollbackCommand(session),
        StatusCommand(session),
        ExplainCommand(session),
        ReferenceCommand(session),
        *entryGroups(session),
        *operationGroups(session),
    )
    if (args.isEmpty()) return session.console.printError(ExitCode.USAGE, "expected a command; see camphordrum --help")
    parser.parse(args)
    return session.exitCode
}

@OptIn(ExperimentalCli::class)
private fun entryGroups(session: Session): Array<Subcommand> =
    arrayOf(
        CommandGroup(
            "key",
            "Issue, withdraw and list keys",
            session,
            KeyIssueCommand(session),
            KeyWithdrawCommand(session),
            ListCommand(Section.KEYS, "keys", session),
        ),
        CommandGroup(
            "account",
            "Set, remove and list client accounts",
            session,
            AccountSetCommand(session),
            RemoveCommand(Section.ACCOUNTS, "account", session),
            ListCommand(Section.ACCOUNTS, "accounts", session),
        ),
        CommandGroup(
            "adapter",
            "Set, remove and list adapters",
            session,
            AdapterSetCommand(session),
            AdapterCurrentCommand(session),
            RemoveCommand(Section.ADAPTERS, "adapter", session),
            ListCommand(Section.ADAPTERS, "adapters", session),
        ),
        CommandGroup(
            "route",
            "Set, remove and list routes",
            session,
            RouteSetCommand(session),
            RemoveCommand(Section.ROUTES, "route", session),
            ListCommand(Section.ROUTES, "routes", session),
        ),
    )

@OptIn(ExperimentalCli::class)
private fun operationGroups(session: Session): Array<Subcommand> =
    arrayOf(
        CommandGroup(
            "drain",
            "Take a data centre or an endpoint out of service",
            session,
            DataCentreCommand(DataCentreState.DRAINED, session),
            EndpointCommand(true, session),
        ),
        CommandGroup(
            "return",
            "Bring a data centre or an endpoint back",
            session,
            DataCentreCommand(DataCentreState.SERVING, session),
            EndpointCommand(false, session),
        ),
        CommandGroup(
            "instance",
            "State what happened to an instance",
            session,
            InstanceGoneCommand(session),
        ),
    )

@OptIn(ExperimentalCli::class)
private class CommandGroup(
    name: String,
    description: String,
    private val session: Session,
    vararg commands: Subcommand,
) : Subcommand(name, description) {
    private val commandNames = commands.map { it.name }
    private val commandExecuted: Boolean get() = session.commandExecuted

    init {
        subcommands(*commands)
    }

    // The parser also executes the group after the command that it contains.
    override fun execute() {
        if (commandExecuted) return
        session.exitCode =
            session.console.printError(ExitCode.USAGE, "$name: expected one of $commandNames, but there is none")
    }
}
