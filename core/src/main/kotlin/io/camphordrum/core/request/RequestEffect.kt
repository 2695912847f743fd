package io.camphordrum.core.request

import io.camphordrum.core.DispatchOrder
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Refusal
import io.camphordrum.core.once.ClaimKey
import io.camphordrum.core.once.RecordedAnswer
import io.camphordrum.core.residency.TicketReport
import io.camphordrum.core.residency.TicketRequest

/** The effects that a [RequestFlow] requests. */
public sealed interface RequestEffect {
    /** End the request with a refusal. */
    public data class Refuse(public val request: Long, public val refusal: Refusal) : RequestEffect

    /** End the request with a complete answer. */
    public data class Answer(public val request: Long, public val answer: RecordedAnswer) : RequestEffect

    /** Release the state of the request; this is the last effect for it. */
    public data class Close(public val request: Long) : RequestEffect

    /** Send the request to an endpoint and report its end to [RequestFlow.dispatchEnded]. */
    public data class Dispatch(public val order: DispatchOrder) : RequestEffect

    /** Cancel the running dispatch of the request; its end is reported as usual. */
    public data class CancelDispatch(public val request: Long) : RequestEffect

    /** Request a ticket from the owner of [endpoint]. */
    public data class RequestTicket(public val endpoint: EndpointId, public val request: TicketRequest) : RequestEffect

    /** Return a ticket to the owner of [endpoint]. */
    public data class FinishTicket(
        public val endpoint: EndpointId,
        public val ticket: Long,
        public val report: TicketReport,
    ) : RequestEffect

    /** Claim the idempotency key of the request and report the answer to [RequestFlow.claimAnswered]. */
    public data class Claim(public val request: Long, public val key: ClaimKey, public val fingerprint: Long) :
        RequestEffect

    /** Release the claim of a request that has not run. */
    public data class ReleaseClaim(public val request: Long, public val key: ClaimKey) : RequestEffect

    /** Record the answer of a claimed request. */
    public data class CompleteClaim(
        public val request: Long,
        public val key: ClaimKey,
        public val answer: RecordedAnswer,
    ) : RequestEffect
}

/** The answer to the claim of an idempotency key. */
public sealed interface ClaimAnswer {
    /** The request may run; no other request with its key may run. */
    public data object Proceed : ClaimAnswer

    /** The request has run before and returned [answer]. */
    public data class Replay(public val answer: RecordedAnswer) : ClaimAnswer

    /** The request must not run here. */
    public data class Refused(public val refusal: Refusal) : ClaimAnswer
}
