package io.camphordrum.core

import io.camphordrum.core.once.ClaimEffect
import io.camphordrum.core.request.ClaimAnswer

/** Converts a decision of the claim ledger to the answer for the request. */
internal fun claimAnswer(decision: ClaimEffect.Decision): ClaimAnswer = when (decision) {
    is ClaimEffect.Proceed -> ClaimAnswer.Proceed
    is ClaimEffect.Replay -> ClaimAnswer.Replay(decision.answer)
    is ClaimEffect.AnswerNotRecorded -> refusedAsUnknown(
        RefusalCode.ANSWER_NOT_RECORDED,
        "the request has run before, and its answer was too large to record",
    )
    is ClaimEffect.OutcomeUnknown -> refusedAsUnknown(
        RefusalCode.OUTCOME_UNKNOWN,
        "an earlier request with this idempotency key is running, or its outcome is not known",
    )
    is ClaimEffect.Conflict -> ClaimAnswer.Refused(
        Refusal(RefusalCode.KEY_REUSED, "this idempotency key belongs to a request with other content"),
    )
    is ClaimEffect.RefuseNotRun -> {
        val millis = (decision.retryAfterNanos + 999_999) / 1_000_000
        val message = "the claim of the idempotency key could not be recorded"
        ClaimAnswer.Refused(Refusal(RefusalCode.UNAVAILABLE, message, retryAfterMillis = millis))
    }
}

private fun refusedAsUnknown(code: RefusalCode, message: String) =
    ClaimAnswer.Refused(Refusal(code, message, Ran.UNKNOWN))
