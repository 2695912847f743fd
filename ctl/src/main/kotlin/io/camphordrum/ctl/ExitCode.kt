package io.camphordrum.ctl

/**
 * Lists the exit codes of the tool; the argument parser itself exits with 127.
 *
 * @property number the exit status of the process.
 * @property meaning the description in the reference page.
 */
enum class ExitCode(val number: Int, val meaning: String) {
    DONE(0, "The command did what it was asked, or had nothing to do."),
    DIFFERENT(1, "`diff` or `--dry-run` found differences."),
    USAGE(2, "An argument, an option or an environment variable is missing or cannot be used."),
    INVALID(3, "The declaration or the change is not valid; nothing was changed."),
    CONFLICT(4, "Another operator's change came first; nothing was changed."),
    UNAVAILABLE(5, "The daemon or the platform cannot be reached; nothing was changed."),
    UNKNOWN(6, "The change may have taken effect; look at `history` before repeating the command."),
    NOT_YET(7, "The change is accepted, but `--wait` ended before it was in force."),
    NOT_FOUND(8, "What the command names does not exist."),
}
