package io.camphordrum.core.request

import io.camphordrum.core.DispatchOrder
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Refusal
import io.camphordrum.core.once.ClaimKey
import io.camphordrum.core.once.RecordedAnswer
import io.camphordrum.core.residency.TicketReport
import io.camphordrum.core.residency.TicketRequest

/** Lists what [RequestFlow] wants done. */
public sealed interface RequestEffect {
    /** End the request with a refusal. */
    public data class Refuse(public val request: Long, public val refusal: Refusal) : RequestEffect

    /** End the request with a whole answer. */
    public data class Answer(public val request: Long, public val answer: RecordedAnswer) : RequestEffect

    /** Send the request to an endpoint and report the end to [RequestFlow.ended]. */
    public data class Dispatch(public val order: DispatchOrder) : RequestEffect

    /** Stop the dispatch that is running for the request; its end is reported as usual. */
    public data class CancelDispatch(public val request: Long) : RequestEffect

    /** Ask the owner of [endpoint] for a ticket. */
    public data class AskOwner(public val endpoint: EndpointId, public val ticket: TicketRequest) : RequestEffect

    /** Return a ticket to the owner of [endpoint]. */
    public data class FinishTicket(
        public val endpoint: EndpointId,
        public val ticket: Long,
        public val report: TicketReport,
    ) : RequestEffect

    /** Claim the idempotency key of the request and report the answer to [RequestFlow.claimed]. */
    public data class Claim(public val request: Long, public val key: ClaimKey, public val fingerprint: Long) :
        RequestEffect

    /** Give up the claim of a request that has not run. */
    public data class ReleaseClaim(public val request: Long, public val key: ClaimKey) : RequestEffect

    /** Record the answer of a claimed request. */
    public data class CompleteClaim(
        public val request: Long,
        public val key: ClaimKey,
        public val answer: RecordedAnswer,
    ) : RequestEffect
}

/** Tells what the claim of an idempotency key came to. */
public sealed interface ClaimAnswer {
    /** The request may run; nobody else may run it. */
    public data object Proceed : ClaimAnswer

    /** The request has run before; [answer] is what it answered. */
    public data class Replay(public val answer: RecordedAnswer) : ClaimAnswer

    /** The request must not run here. */
    public data class Refused(public val refusal: Refusal) : ClaimAnswer
}
