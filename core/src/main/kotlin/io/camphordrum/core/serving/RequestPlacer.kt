package io.camphordrum.core.serving

import io.camphordrum.core.EndpointId
import io.camphordrum.core.admission.AccountShares
import io.camphordrum.core.admission.AdmissionDecision
import io.camphordrum.core.admission.AdmissionPolicy
import io.camphordrum.core.admission.AdmissionRequest
import io.camphordrum.core.load.EndpointLoads
import kotlin.random.Random

/**
 * Places requests: asks [AdmissionPolicy] who is served and [EndpointSelector] where, and refuses requests for which no
 * endpoint is available.
 */
internal class RequestPlacer(
    private val context: ServingContext,
    private val loads: EndpointLoads,
    private val permits: PermitScheduler,
    private val prompts: PromptGuard,
    private val random: Random,
    loadMillis: () -> Double,
) {
    private val registry = context.registry
    private val selector = EndpointSelector(context, loads, loadMillis)
    private val shares = AccountShares()
    private val admission = AdmissionPolicy(shares)

    /** Records the tokens that all daemons have charged to accounts. */
    fun recordCharges(now: Long, charged: Map<String, Long>) {
        shares.update(now, charged) {
            val limited = context.config?.accounts.orEmpty().filter { it.tokensPerSecond > 0 }
            limited.associate { it.name to it.tokensPerSecond }
        }
    }

    /** Decides about [work]; see [ServingCore.place]. */
    fun place(now: Long, work: Work, tried: Set<EndpointId>, noLoad: Set<EndpointId>): Placement {
        if (prompts.block(work) != null) return refuse(RefuseReason.BLOCKED_PROMPT, BLOCKED_PROMPT_RETRY_MILLIS)
        val service = context.config?.services?.get(work.service)
            ?: return refuse(RefuseReason.NO_ENDPOINT, NO_ENDPOINT_RETRY_MILLIS)
        val candidates = selector.candidates(now, work, service, tried, noLoad)
        val decision = admission.decide(
            now,
            request(now, work),
            candidates::choose,
            { it.millis },
            { choice, rank -> choice.state.turnTokensAhead(rank) },
        )
        return when (decision) {
            is AdmissionDecision.Admit -> admit(work, decision.endpoint, decision.rank)
            is AdmissionDecision.Refuse -> Placement.Refuse(
                RefuseReason.BUSY,
                withJitter(decision.retryMillis),
                decision.endpoint.state.id,
                decision.endpoint.millis,
                decision.rank,
                decision.endpoint.state.turnTokensAhead(decision.rank),
            )
            AdmissionDecision.NoEndpoint -> refuseWithoutChoice(now, work, tried, noLoad)
        }
    }

    /** Returns the latest time of the turn of [work], admitted at [rank]. */
    fun turnUntilNanos(now: Long, work: Work, rank: Int): Long {
        // The prompt must still be read after the turn is granted.
        val readMillis = work.promptTokens / context.speed(work.service).tokensPerMilli
        return now + (admission.turnMillis(request(now, work), rank, readMillis) * OrderRights.NANOS_PER_MILLI).toLong()
    }

    private fun request(now: Long, work: Work) = AdmissionRequest(
        work.service,
        work.priority,
        work.account,
        work.lot,
        work.route.targetMillis.toDouble(),
        (now - work.arrivedNanos) / 1e6 + work.spentBeforeMillis,
        (work.deadlineNanos - now) / 1e6,
        returning = work.spentBeforeMillis > 0,
        ranked = work.base != null,
    )

    private fun admit(work: Work, choice: EndpointSelector.Choice, rank: Int): Placement =
        if (choice.load) {
            Placement.AwaitAdapter(choice.state.id, choice.millis)
        } else {
            val version = registry.expectedVersion(choice.state, work.base, work.adapter)
            Placement.Send(choice.state.id, choice.state.record.address, version, choice.millis, rank)
        }

    private fun refuseWithoutChoice(
        now: Long,
        work: Work,
        tried: Set<EndpointId>,
        noLoad: Set<EndpointId>,
    ): Placement {
        val first = registry.usable(work.service, emptySet()).minByOrNull { it.unavailableUntilNanos(now) }
        if (first != null && first.unavailableUntilNanos(now) > now) {
            val waitMillis = if (first.isAtLimit(now)) {
                permits.retryMillis(now, first)
            } else {
                (first.pausedUntilNanos - now) / OrderRights.NANOS_PER_MILLI + 1
            }
            return refuse(RefuseReason.BUSY, waitMillis)
        }
        val anyUsable = registry.usable(work.service, tried).isNotEmpty()
        val needsPlace = anyUsable && (noLoad.isNotEmpty() || work.adapter != null)
        val reason = if (needsPlace) RefuseReason.NO_PLACE else RefuseReason.NO_ENDPOINT
        return refuse(reason, if (anyUsable) NO_PLACE_RETRY_MILLIS else NO_ENDPOINT_RETRY_MILLIS)
    }

    private fun refuse(reason: RefuseReason, retryMillis: Long) = Placement.Refuse(reason, withJitter(retryMillis))

    // Callers refused together must not retry together.
    private fun withJitter(millis: Long): Long = millis + random.nextLong(millis / 2 + 1)

    private companion object {
        const val NO_ENDPOINT_RETRY_MILLIS = 600L
        const val NO_PLACE_RETRY_MILLIS = 250L

        // A block ends when an operator lifts it, not by itself.
        const val BLOCKED_PROMPT_RETRY_MILLIS = 60_000L
    }
}
