package io.camphordrum.ctl

/**
 * Holds the environment of one run of the tool and its result.
 *
 * @property clientFactory creates a client for the operator address of one daemon.
 * @property sleep suspends the calling thread for a number of milliseconds.
 */
class Session(
    val console: Console,
    val environment: Map<String, String>,
    val clientFactory: (String) -> OperatorClient = ::OperatorClient,
    val epochMillis: () -> Long = System::currentTimeMillis,
    val sleep: (Long) -> Unit = Thread::sleep,
) {
    /** Exit code of the executed command. */
    var exitCode: ExitCode = ExitCode.DONE

    /** Whether a command has been executed. */
    var commandExecuted: Boolean = false
}
