package io.camphordrum.core.request

import io.camphordrum.core.AccountId
import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.BaseModelId
import io.camphordrum.core.CallerRequest
import io.camphordrum.core.DispatchOrder
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Member
import io.camphordrum.core.config.EffectiveSettings
import io.camphordrum.core.residency.DenyReason
import io.camphordrum.core.residency.TicketRequest

/** The current step of a request. */
internal enum class Step { CLAIM, LIMIT, TICKET, RUN }

/** The resolution of a request at admission; it does not change with later revisions. */
internal class ResolvedRequest(
    val account: AccountId,
    val version: AdapterVersion?,
    val base: BaseModelId?,
    val pool: String?,
    val idempotent: Boolean,
    val maxTokens: Long?,
    val charge: Long,
    val settings: EffectiveSettings,
)

/** The state of one request from arrival to its final answer. */
internal class PendingRequest(val request: CallerRequest, val target: ResolvedRequest, val deadlineNanos: Long) {
    val id: Long get() = request.id

    var step: Step = Step.CLAIM

    /** True while the request holds the claim of its idempotency key and has not been dispatched. */
    var holdsClaim = false

    /** When the limit was charged; null while no charge is held. */
    var chargedAtNanos: Long? = null

    /** When the wait for the limit ends. */
    var limitDeadlineNanos = 0L

    /** When the current timer is due. */
    var timerNanos = 0L

    var candidates: List<EndpointId> = emptyList()
    var candidateIndex = 0

    /** True in the second pass over the candidates, in which a longer wait is accepted. */
    var secondPass = false

    /** When the search for a ticket ends. */
    var searchEndNanos = 0L

    /** True when the reason for a denial in this pass may be resolved soon, by a new owner or configuration. */
    var mayRecover = false

    /** The endpoint whose owner received the current ticket request. */
    var requestedEndpoint: EndpointId? = null

    /** Unique per ticket request, so that a late answer to an earlier one is recognised. */
    var ticketRequestId = 0L
    var requestedAtNanos = 0L
    var ticket: Long? = null
    var dispatch: String? = null
    var dispatches = 0
    var lastDenial: Denial = Denial()

    /** True when the request must not run more than once. */
    val atMostOnce: Boolean get() = !target.idempotent

    val idempotencyKey: String? get() = request.idempotencyKey?.takeIf { atMostOnce }

    /** Returns the ticket request; a long wait is accepted only in the second pass or from a single candidate. */
    fun ticketRequest(from: Member): TicketRequest {
        val settings = target.settings
        val maxWaitMillis = if (secondPass || candidates.size == 1) settings.queueMillis else settings.spillWaitMillis
        return TicketRequest(
            from = from,
            request = ticketRequestId,
            account = target.account,
            version = target.version,
            tokens = target.charge,
            deadlineNanos = deadlineNanos,
            priority = settings.priority,
            maxWaitNanos = maxWaitMillis * MILLI,
        )
    }

    /**
     * Returns the final charge: none before the first dispatch, and the full charge for a plain service or when the
     * usage is unknown (negative).
     */
    fun finalCharge(usedTokens: Long): Long = when {
        dispatches == 0 -> 0
        target.version == null || usedTokens < 0 -> target.charge
        else -> minOf(target.charge, usedTokens)
    }

    fun dispatchOrder(
        dispatch: String,
        endpoint: EndpointId,
        address: String,
        fencing: Long,
        timeoutMillis: Long,
    ) = DispatchOrder(
        request = id,
        dispatch = dispatch,
        endpoint = endpoint,
        address = address,
        version = target.version,
        fencing = fencing,
        priority = target.settings.priority,
        maxTokens = target.maxTokens,
        timeoutMillis = timeoutMillis,
    )
}

/** The last denial of an owner, for the refusal when no candidate remains. */
internal class Denial(val message: String = "no endpoint can take the request", val retryAfterNanos: Long = 0)

// Reasons that the next change of owner or configuration can resolve.
internal val RECOVERABLE = setOf(DenyReason.NO_LEASE, DenyReason.LEAVING)

internal const val MILLI = 1_000_000L
