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

/** Names the step a request is at. */
internal enum class Step { CLAIM, LIMIT, TICKET, RUN }

/** Holds what a request resolved to at admission; it never changes afterwards, whatever revisions follow. */
internal class Target(
    val account: AccountId,
    val version: AdapterVersion?,
    val base: BaseModelId?,
    val pool: String?,
    val idempotent: Boolean,
    val maxTokens: Long?,
    val charge: Long,
    val settings: EffectiveSettings,
)

/** Holds the state of one request between arrival and its final answer. */
internal class Pending(val request: CallerRequest, val target: Target, val deadlineNanos: Long) {
    val id: Long get() = request.id

    var step: Step = Step.CLAIM

    /** True while this request holds the claim of its idempotency key and has not been sent. */
    var claimed = false

    /** When the limit was charged; null while nothing is charged. */
    var chargedAtNanos: Long? = null

    /** When to stop waiting for the limit. */
    var limitUntilNanos = 0L

    /** When to look at the request again. */
    var wakeNanos = 0L

    var candidates: List<EndpointId> = emptyList()
    var candidate = 0

    /** True in the second round over the candidates, in which a longer wait is accepted. */
    var patient = false

    /** When to stop looking for a ticket. */
    var queueUntilNanos = 0L

    /** True when a denial of this round may be lifted soon, by a new owner or a new configuration. */
    var mayRecover = false
    var asked: EndpointId? = null

    /** Unique per ask, so that a late answer to an earlier ask is recognised. */
    var askId = 0L
    var askedAtNanos = 0L
    var ticket: Long? = null
    var dispatch: String? = null
    var dispatches = 0
    var denied: Denial = Denial()

    /** Returns whether the request must not reach an endpoint twice. */
    val atMostOnce: Boolean get() = !target.idempotent

    val idempotencyKey: String? get() = request.idempotencyKey?.takeIf { atMostOnce }

    /** Returns the ask for a ticket; only the second round over the candidates accepts a long wait. */
    fun ticketRequest(from: Member): TicketRequest {
        val settings = target.settings
        val waitMillis = if (patient || candidates.size == 1) settings.queueMillis else settings.spillWaitMillis
        return TicketRequest(
            from = from,
            request = askId,
            account = target.account,
            version = target.version,
            tokens = target.charge,
            deadlineNanos = deadlineNanos,
            priority = settings.priority,
            maxWaitNanos = waitMillis * MILLI,
        )
    }

    /** Returns what stays charged: all when the usage is not known (below 0), nothing before a dispatch. */
    fun keptCharge(usedTokens: Long): Long = when {
        dispatches == 0 -> 0
        target.version == null || usedTokens < 0 -> target.charge
        else -> minOf(target.charge, usedTokens)
    }

    fun order(dispatch: String, endpoint: EndpointId, address: String, fencing: Long, timeoutMillis: Long) =
        DispatchOrder(
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

/** Collects what owners answered, for the refusal when no candidate is left. */
internal class Denial(val message: String = "no endpoint can take the request", val retryAfterNanos: Long = 0)

// Denials that the next change of owner or of the configuration can lift.
internal val RECOVERABLE = setOf(DenyReason.NO_LEASE, DenyReason.LEAVING)

internal const val MILLI = 1_000_000L
