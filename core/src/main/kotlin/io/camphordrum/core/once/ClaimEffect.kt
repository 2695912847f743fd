package io.camphordrum.core.once

/** Names what [ClaimLedger] asks its caller to do. */
public sealed interface ClaimEffect {
    /** Answers the claim of one attempt; each claim gets exactly one. */
    public sealed interface Decision : ClaimEffect {
        /** The attempt that the decision is for. */
        public val attempt: AttemptId
    }

    /** Run the request, and report the end with [ClaimLedger.complete] or [ClaimLedger.release]. */
    public data class Proceed(override val attempt: AttemptId) : Decision

    /** Answer with the recorded [answer] of the earlier run. */
    public data class Replay(override val attempt: AttemptId, public val answer: RecordedAnswer) : Decision

    /** Answer 409 with code `answer_not_recorded`: the request has run, but its answer was too large to record. */
    public data class AnswerNotRecorded(override val attempt: AttemptId, public val answerHash: Long) : Decision

    /** Answer 409 with code `outcome_unknown` and `ran: unknown`: another attempt has or had the right to run. */
    public data class OutcomeUnknown(override val attempt: AttemptId) : Decision

    /** Answer 409 with code `key_reused`: the key belongs to a request with another fingerprint. */
    public data class Conflict(override val attempt: AttemptId) : Decision

    /** Answer 503 with `ran: no`: the store cannot be reached, or too many claims wait. */
    public data class RefuseNotRun(override val attempt: AttemptId, public val retryAfterNanos: Long) : Decision

    /** Read the object [id], and pass the result to [ClaimLedger.storeRead]. */
    public data class ReadShard(public val id: ClaimShardId) : ClaimEffect

    /** Write [value] if the object [id] still has [expectedVersion] (0: if it does not exist). */
    public data class WriteShard(
        public val id: ClaimShardId,
        public val value: ClaimShard,
        public val expectedVersion: Long,
    ) : ClaimEffect
}
