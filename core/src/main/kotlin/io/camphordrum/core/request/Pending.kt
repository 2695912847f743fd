package io.camphordrum.core.request

import io.camphordrum.core.AccountId
import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.BaseModelId
import io.camphordrum.core.CallerRequest
import io.camphordrum.core.EndpointId
import io.camphordrum.core.config.EffectiveSettings

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
}

/** Collects what owners answered, for the refusal when no candidate is left. */
internal class Denial(val message: String = "no endpoint can take the request", val retryAfterNanos: Long = 0)
