package io.camphordrum.ctl

/**
 * Gives the commands what they need from outside.
 *
 * @property client makes the client of one daemon's operator address.
 * @property sleep pauses for a number of milliseconds.
 */
class Session(
    val console: Console,
    val environment: Map<String, String>,
    val client: (String) -> OperatorClient = ::OperatorClient,
    val epochMillis: () -> Long = System::currentTimeMillis,
    val sleep: (Long) -> Unit = Thread::sleep,
) {
    /** How the command ended. */
    var exit: ExitCode = ExitCode.DONE

    /** Whether a command has run. */
    var chosen: Boolean = false
}
