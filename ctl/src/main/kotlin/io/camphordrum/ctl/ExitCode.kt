package io.camphordrum.ctl

/** Tells a script how a command ended; the parser of arguments ends with 127 on its own. */
enum class ExitCode(val number: Int) {
    /** The command did what it was asked, or had nothing to do. */
    DONE(0),

    /** `diff` or `apply --dry-run` found differences. */
    DIFFERENT(1),

    /** An argument or an option is missing or cannot be used. */
    USAGE(2),

    /** The declaration or the change is not valid; nothing was changed. */
    INVALID(3),

    /** Another operator's change came first; nothing was changed. */
    CONFLICT(4),

    /** The daemon or the platform cannot be reached; nothing was changed. */
    UNAVAILABLE(5),

    /** The change may have taken effect; run the command again. */
    UNKNOWN(6),

    /** The change is accepted, but `--wait` ended before it was in force. */
    NOT_YET(7),

    /** What the command names does not exist. */
    NOT_FOUND(8),
}
