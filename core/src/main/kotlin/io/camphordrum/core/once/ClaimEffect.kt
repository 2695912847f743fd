package io.camphordrum.core.once

/** Describes an action that [ClaimLedger] requires of its caller. */
public sealed interface ClaimEffect {
    /** Decides the claim of one attempt; each claim gets exactly one decision. */
    public sealed interface Decision : ClaimEffect {
        /** The attempt that the decision is for. */
        public val attempt: AttemptId
    }

    /** Runs the request; the caller reports its end with [ClaimLedger.complete] or [ClaimLedger.release]. */
    public data class Proceed(override val attempt: AttemptId) : Decision

    /** Answers with the recorded [answer] of the earlier run. */
    public data class Replay(override val attempt: AttemptId, public val answer: RecordedAnswer) : Decision

    /** Answers 409 with code `answer_not_recorded`: the request has run, but its answer was too large to record. */
    public data class AnswerNotRecorded(override val attempt: AttemptId, public val answerHash: Long) : Decision

    /** Answers 409 with code `outcome_unknown` and `ran: unknown`: another attempt has or had the right to run. */
    public data class OutcomeUnknown(override val attempt: AttemptId) : Decision

    /** Answers 409 with code `idempotency_key_reused`: the key belongs to a request with another fingerprint. */
    public data class Conflict(override val attempt: AttemptId) : Decision

    /** Answers 503 with `ran: no`: the store is unreachable, or too many claims wait. */
    public data class RefuseNotRun(override val attempt: AttemptId, public val retryAfterNanos: Long) : Decision

    /** Reads the object [id]; the caller passes the result to [ClaimLedger.storeRead]. */
    public data class ReadShard(public val id: ClaimShardId) : ClaimEffect

    /** Writes [value] if the object [id] still has [expectedVersion]; 0 means that it must not exist. */
    public data class WriteShard(
        public val id: ClaimShardId,
        public val value: ClaimShard,
        public val expectedVersion: Long,
    ) : ClaimEffect
}
