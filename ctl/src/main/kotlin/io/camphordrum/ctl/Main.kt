package io.camphordrum.ctl

import io.camphordrum.core.config.DataCentreState
import io.camphordrum.core.config.Section
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlin.system.exitProcess

/** Runs the operators' tool; see [ExitCode] for how it ends. */
fun main(args: Array<String>) {
    val session = Session(Console(System.out, System.err), System.getenv())
    exitProcess(run(session, args).number)
}

/** Runs the command that [args] names. */
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
        *steeringGroups(session),
    )
    if (args.isEmpty()) return session.console.fault(ExitCode.USAGE, "expected a command; see camphordrum --help")
    parser.parse(args)
    return session.exit
}

@OptIn(ExperimentalCli::class)
private fun entryGroups(session: Session): Array<Subcommand> =
    arrayOf(
        Group(
            "key",
            "Issue, withdraw and list keys",
            session,
            KeyIssueCommand(session),
            KeyWithdrawCommand(session),
            ListCommand(Section.KEYS, "keys", session),
        ),
        Group(
            "account",
            "Set, remove and list client accounts",
            session,
            AccountSetCommand(session),
            RemoveCommand(Section.ACCOUNTS, "account", session),
            ListCommand(Section.ACCOUNTS, "accounts", session),
        ),
        Group(
            "adapter",
            "Set, remove and list adapters",
            session,
            AdapterSetCommand(session),
            AdapterCurrentCommand(session),
            RemoveCommand(Section.ADAPTERS, "adapter", session),
            ListCommand(Section.ADAPTERS, "adapters", session),
        ),
        Group(
            "route",
            "Set, remove and list routes",
            session,
            RouteSetCommand(session),
            RemoveCommand(Section.ROUTES, "route", session),
            ListCommand(Section.ROUTES, "routes", session),
        ),
    )

@OptIn(ExperimentalCli::class)
private fun steeringGroups(session: Session): Array<Subcommand> =
    arrayOf(
        Group(
            "drain",
            "Take a data centre or an endpoint out of service",
            session,
            DataCentreCommand(DataCentreState.DRAINED, session),
            EndpointCommand(true, session),
        ),
        Group(
            "return",
            "Bring a data centre or an endpoint back",
            session,
            DataCentreCommand(DataCentreState.SERVING, session),
            EndpointCommand(false, session),
        ),
        Group(
            "instance",
            "State what happened to an instance",
            session,
            InstanceGoneCommand(session),
        ),
    )

@OptIn(ExperimentalCli::class)
private class Group(name: String, description: String, private val session: Session, vararg commands: Subcommand) :
    Subcommand(name, description) {
    private val names = commands.map { it.name }
    private val chosen: Boolean get() = session.chosen

    init {
        subcommands(*commands)
    }

    // The parser runs the group after its command, too.
    override fun execute() {
        if (chosen) return
        session.exit = session.console.fault(ExitCode.USAGE, "$name: expected one of $names, but there is none")
    }
}
