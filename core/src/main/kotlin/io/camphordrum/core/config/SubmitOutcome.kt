package io.camphordrum.core.config

/** Tells how submitting a change ended. */
public sealed interface SubmitOutcome {
    /** The change is durable as [revision]. */
    public data class Accepted(public val revision: Long) : SubmitOutcome

    /** Another change came first; [winner] is the newest accepted one. */
    public data class Conflict(public val winner: ChangeRecord) : SubmitOutcome

    /** The change is not valid; nothing was written. */
    public data class Invalid(public val errors: List<TreeError>) : SubmitOutcome

    /**
     * Whether the change took effect cannot be told now. Submitting it again with the same id settles it, as long as
     * the root still names the changes of that time; see [StoreOptions.recentChanges].
     */
    public data object Unknown : SubmitOutcome

    /** The platform cannot be reached; this submission did not take effect. */
    public data class Unavailable(public val retryAfterNanos: Long) : SubmitOutcome

    /** Too many changes are waiting; the change did not take effect. */
    public data class Busy(public val retryAfterNanos: Long) : SubmitOutcome
}
