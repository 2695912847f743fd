package io.camphordrum.core.request

import io.camphordrum.core.CallerRequest
import io.camphordrum.core.DispatchEnd
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Member
import io.camphordrum.core.Refusal
import io.camphordrum.core.config.KeyHash
import io.camphordrum.core.config.Snapshot
import io.camphordrum.core.limits.ShareHolder
import io.camphordrum.core.once.ClaimKey
import io.camphordrum.core.residency.DenyReason
import io.camphordrum.core.residency.Router
import io.camphordrum.core.residency.TicketOutcome
import io.camphordrum.core.residency.TicketReport

/**
 * Processes each request from its arrival to its single final answer.
 *
 * A request passes these steps: resolve the name and the account, claim the idempotency key, charge the limit, obtain a
 * ticket, run. A refusal says "not run" only while no dispatch is ordered or the last one was [DispatchEnd.NotRun].
 *
 * ```kotlin
 * execute(flow.dispatchEnded(now, id, dispatch, DispatchEnd.Completed(42, answer, firstTokenNanos)))
 * ```
 *
 * @param snapshot the configuration in force, or null before the first is known.
 * @param stale whether the configuration was last confirmed longer ago than the given number of seconds.
 * @param address the address of an endpoint, or null when it is unknown.
 */
public class RequestFlow(
    private val self: Member,
    private val snapshot: () -> Snapshot?,
    stale: (now: Long, seconds: Long) -> Boolean,
    private val shares: ShareHolder,
    private val router: Router,
    private val address: (EndpointId) -> String?,
    private val settings: FlowSettings = FlowSettings(),
) {
    private val pendingById = HashMap<Long, PendingRequest>()
    private val timers = TimerQueue()
    private val retryBudget = RetryBudget()
    private val resolver = Resolver(stale)
    private val limitQueue = LimitQueue(shares::admit) { snapshot()?.limits()?.get(it) }
    private val ticketRequests = HashMap<Long, PendingRequest>()
    private val closedRequests = ClosedTicketRequests(settings.closedTicketRequests)
    private var lastTicketRequestId = 0L
    private var draining = false
    private lateinit var effects: MutableList<RequestEffect>

    public val openRequests: Int get() = pendingById.size

    public fun requestArrived(now: Long, request: CallerRequest): List<RequestEffect> = collect {
        retryBudget.recordRequest()
        val config = snapshot()
        val earlyRefusal = when {
            config == null -> unavailable("no configuration yet")
            draining -> unavailable("the instance is stopping")
            pendingById.size >= settings.maxRequests -> unavailable("too many requests in progress")
            else -> null
        }
        if (earlyRefusal != null || config == null) {
            effects += RequestEffect.Refuse(request.id, earlyRefusal ?: return@collect)
            return@collect
        }
        when (val resolution = resolver.resolve(now, config, request)) {
            is RequestResolution.Refused -> effects += RequestEffect.Refuse(request.id, resolution.refusal)
            is RequestResolution.Found -> startRequest(now, request, resolution.request)
        }
    }

    /** Handles the disconnect of a caller: a running request is cancelled, a waiting one is removed. */
    public fun callerDisconnected(now: Long, id: Long): List<RequestEffect> = collect {
        val pending = pendingById[id] ?: return@collect
        if (pending.step == Step.RUN) effects += RequestEffect.CancelDispatch(id) else release(now, pending)
    }

    /** Handles the answer to [RequestEffect.Claim]. */
    public fun claimAnswered(now: Long, id: Long, answer: ClaimAnswer): List<RequestEffect> = collect {
        val pending = pendingById[id]
        if (pending == null || pending.step != Step.CLAIM) return@collect
        when (answer) {
            ClaimAnswer.Proceed -> charge(now, pending.apply { holdsClaim = true })
            is ClaimAnswer.Replay -> {
                effects += RequestEffect.Answer(id, answer.answer)
                close(pending)
            }
            is ClaimAnswer.Refused -> refuse(now, pending, answer.refusal)
        }
    }

    /** Handles a grant for a ticket request; a ticket that is no longer needed is returned unused. */
    public fun ticketGranted(now: Long, ticketRequestId: Long, grant: TicketGrant): List<RequestEffect> = collect {
        val pending = ticketRequests[ticketRequestId]
        val endpoint = pending?.requestedEndpoint ?: closedRequests[ticketRequestId] ?: return@collect
        router.recordAnswer(now, endpoint, grant.waitNanos, grant.version)
        if (pending == null || pending.step != Step.TICKET) {
            // The owner repeats its answer to a repeated ticket request; the ticket in use must not be returned.
            if (pending?.ticket == grant.ticket) return@collect
            effects += RequestEffect.FinishTicket(endpoint, grant.ticket, TicketReport(TicketOutcome.NOT_RUN))
            return@collect
        }
        val expiresNanos = minOf(pending.deadlineNanos, pending.requestedAtNanos + grant.validNanos)
        val endpointAddress = address(endpoint)
        pending.ticket = grant.ticket
        when {
            hasWithdrawnKey(pending) -> refuse(now, pending, keyWithdrawn())
            // A later owner may evict the adapter once tickets of this owner can no longer be used to send a request.
            now - pending.requestedAtNanos > grant.dispatchWithinNanos -> nextCandidate(now, pending)
            endpointAddress == null || expiresNanos - now < settings.minRunNanos -> nextCandidate(now, pending)
            else -> dispatch(now, pending, endpoint, endpointAddress, grant, expiresNanos)
        }
    }

    public fun ticketDenied(now: Long, ticketRequestId: Long, denial: TicketDenial): List<RequestEffect> = collect {
        val pending = ticketRequests[ticketRequestId] ?: return@collect
        val endpoint = pending.requestedEndpoint ?: return@collect
        router.recordAnswer(now, endpoint, denial.waitNanos)
        if (pending.step != Step.TICKET) return@collect
        pending.lastDenial = Denial("$endpoint: ${denial.reason.name.lowercase()}", denial.retryAfterNanos)
        if (denial.reason in RECOVERABLE) pending.mayRecover = true
        if (denial.reason == DenyReason.DEADLINE && pending.candidateIndex + 1 >= pending.candidates.size) {
            refuse(now, pending, beforeDeadline(pending, denial.retryAfterNanos))
        } else {
            nextCandidate(now, pending)
        }
    }

    /** Handles the end of [dispatch]; the end of an earlier dispatch of the same request is ignored. */
    public fun dispatchEnded(now: Long, id: Long, dispatch: String, end: DispatchEnd): List<RequestEffect> = collect {
        val pending = pendingById[id]
        if (pending == null || pending.dispatch != dispatch) return@collect
        when (end) {
            is DispatchEnd.Completed -> onCompleted(now, pending, end)
            is DispatchEnd.NotRun -> onNotRun(now, pending, end)
            is DispatchEnd.Failed -> onFailed(now, pending, end)
            is DispatchEnd.Cancelled -> {
                finishTicket(pending, TicketReport(TicketOutcome.UNKNOWN, end.usedTokens))
                settleCharge(now, pending, end.usedTokens)
                close(pending)
            }
        }
    }

    /** Tries the next candidate of each request that waits for an endpoint for which [isUnreachable] holds. */
    public fun retryUnreachable(now: Long, isUnreachable: (EndpointId) -> Boolean): List<RequestEffect> = collect {
        for (pending in pendingById.values.toList()) {
            val endpoint = pending.requestedEndpoint ?: continue
            if (pending.step == Step.TICKET && isUnreachable(endpoint)) {
                pending.mayRecover = true
                nextCandidate(now, pending)
            }
        }
    }

    /** Refuses waiting requests whose key is no longer in force; running requests complete. */
    public fun configurationChanged(now: Long): List<RequestEffect> = collect {
        for (pending in pendingById.values.toList()) {
            if (pending.step != Step.RUN && hasWithdrawnKey(pending)) refuse(now, pending, keyWithdrawn())
        }
    }

    public fun drain() {
        draining = true
    }

    public fun tick(now: Long): List<RequestEffect> = collect {
        limitQueue.tick(now, { onCharged(now, it) }) { pending, retryAfterNanos ->
            refuse(now, pending, overLimit(pending.target, retryAfterNanos))
        }
        for (id in timers.due(now)) {
            val pending = pendingById[id] ?: continue
            if (now - pending.deadlineNanos >= 0) {
                expire(now, pending)
            } else if (now - pending.timerNanos >= 0) {
                onTimer(now, pending)
            }
        }
    }

    private fun startRequest(now: Long, request: CallerRequest, target: ResolvedRequest) {
        val deadlineMillis = request.deadlineMillis ?: target.settings.deadlineMillis
        val pending = PendingRequest(request, target, request.arrivedNanos + deadlineMillis * MILLI)
        pendingById[pending.id] = pending
        timers.add(pending.deadlineNanos, pending.id)
        val key = pending.idempotencyKey
        if (key == null) {
            charge(now, pending)
        } else {
            effects += RequestEffect.Claim(pending.id, claimKey(pending, key), request.fingerprint)
        }
    }

    private fun charge(now: Long, pending: PendingRequest) {
        pending.step = Step.LIMIT
        pending.limitDeadlineNanos = minOf(pending.deadlineNanos, now + pending.target.settings.limitWaitMillis * MILLI)
        when (val result = limitQueue.add(now, pending)) {
            ChargeResult.Charged -> onCharged(now, pending)
            ChargeResult.Queued -> Unit
            is ChargeResult.Refused -> refuse(now, pending, overLimit(pending.target, result.retryAfterNanos))
        }
    }

    private fun onCharged(now: Long, pending: PendingRequest) {
        pending.chargedAtNanos = now
        pending.searchEndNanos = minOf(pending.deadlineNanos, now + pending.target.settings.queueMillis * MILLI)
        startTicketSearch(now, pending)
    }

    private fun startTicketSearch(now: Long, pending: PendingRequest) {
        pending.step = Step.TICKET
        pending.candidates = selectCandidates(now, pending)
        pending.candidateIndex = 0
        pending.secondPass = false
        pending.mayRecover = pending.candidates.isEmpty()
        val endpoint = pending.candidates.firstOrNull()
        if (endpoint == null) refuseOrRetryLater(now, pending) else requestTicket(now, pending, endpoint)
    }

    private fun selectCandidates(now: Long, pending: PendingRequest): List<EndpointId> {
        val version = pending.target.version
        val base = pending.target.base
        if (version != null && base != null) return router.choose(now, version, base)
        return router.choose(now, pending.target.pool.orEmpty(), pending.id)
    }

    private fun requestTicket(now: Long, pending: PendingRequest, endpoint: EndpointId) {
        closeTicketRequest(pending)
        pending.requestedEndpoint = endpoint
        pending.ticketRequestId = ++lastTicketRequestId
        pending.requestedAtNanos = now
        ticketRequests[pending.ticketRequestId] = pending
        sendTicketRequest(pending, endpoint)
        setTimer(pending, now + settings.ticketRequestRetryNanos)
    }

    private fun sendTicketRequest(pending: PendingRequest, endpoint: EndpointId) {
        effects += RequestEffect.RequestTicket(endpoint, pending.ticketRequest(self))
    }

    private fun nextCandidate(now: Long, pending: PendingRequest) {
        finishTicket(pending, TicketReport(TicketOutcome.NOT_RUN))
        pending.candidateIndex++
        if (pending.candidateIndex >= pending.candidates.size && !pending.secondPass && pending.candidates.size > 1) {
            pending.secondPass = true
            pending.candidateIndex = 0
            // The answers of the first pass have updated the waits, so the new ranking is by the shortest wait.
            pending.candidates = selectCandidates(now, pending)
        }
        val endpoint = pending.candidates.getOrNull(pending.candidateIndex)
        if (endpoint != null) requestTicket(now, pending, endpoint) else refuseOrRetryLater(now, pending)
    }

    // Owners change within seconds after a failure; until its search ends, a request waits for that and starts over.
    private fun refuseOrRetryLater(now: Long, pending: PendingRequest) {
        if (!pending.mayRecover || now - pending.searchEndNanos >= 0) return refuse(now, pending, unavailable(pending))
        closeTicketRequest(pending)
        pending.requestedEndpoint = null
        setTimer(pending, now + settings.candidateRetryNanos)
    }

    private fun dispatch(
        now: Long,
        pending: PendingRequest,
        endpoint: EndpointId,
        address: String,
        grant: TicketGrant,
        expiresNanos: Long,
    ) {
        pending.step = Step.RUN
        pending.dispatches++
        // A claim can no longer be released after a dispatch.
        pending.holdsClaim = false
        val id = "${self.instance}-${self.incarnation}-${pending.id}-${pending.dispatches}"
        pending.dispatch = id
        val timeoutMillis = maxOf(1, (expiresNanos - now) / MILLI)
        effects += RequestEffect.Dispatch(pending.dispatchOrder(id, endpoint, address, grant.fencing, timeoutMillis))
        setTimer(pending, expiresNanos)
    }

    private fun onCompleted(now: Long, pending: PendingRequest, end: DispatchEnd.Completed) {
        finishTicket(pending, TicketReport(TicketOutcome.COMPLETED, maxOf(0, end.usedTokens), end.firstTokenNanos))
        settleCharge(now, pending, end.usedTokens)
        val answer = end.answer
        if (answer != null) {
            effects += RequestEffect.Answer(pending.id, answer)
            pending.idempotencyKey?.let {
                effects += RequestEffect.CompleteClaim(pending.id, claimKey(pending, it), answer)
            }
        }
        close(pending)
    }

    private fun onNotRun(now: Long, pending: PendingRequest, end: DispatchEnd.NotRun) {
        pending.dispatch = null
        pending.step = Step.TICKET
        pending.holdsClaim = pending.idempotencyKey != null
        pending.lastDenial = Denial(end.reason, settings.candidateRetryNanos)
        pending.mayRecover = true
        if (pending.dispatches < settings.maxDispatches) {
            nextCandidate(now, pending)
        } else {
            refuse(now, pending, unavailable(pending))
        }
    }

    private fun onFailed(now: Long, pending: PendingRequest, end: DispatchEnd.Failed) {
        finishTicket(pending, TicketReport(TicketOutcome.UNKNOWN, end.usedTokens))
        val mayRetry = !pending.atMostOnce && !end.reachedCaller && pending.dispatches < settings.maxDispatches
        if (mayRetry && now - pending.deadlineNanos < 0 && retryBudget.tryAcquire()) {
            pending.dispatch = null
            pending.step = Step.TICKET
            return nextCandidate(now, pending)
        }
        settleCharge(now, pending, DispatchEnd.UNKNOWN_USAGE)
        effects += RequestEffect.Refuse(pending.id, endpointFailed(end.reason))
        close(pending)
    }

    private fun onTimer(now: Long, pending: PendingRequest) {
        when (pending.step) {
            Step.TICKET -> {
                // The ticket request or its answer may be lost; the owner gives the same answer to a repeated one.
                val endpoint = pending.requestedEndpoint ?: return startTicketSearch(now, pending)
                sendTicketRequest(pending, endpoint)
                setTimer(pending, now + settings.ticketRequestRetryNanos)
            }
            Step.RUN -> expire(now, pending)
            Step.CLAIM, Step.LIMIT -> Unit
        }
    }

    private fun expire(now: Long, pending: PendingRequest) {
        if (pending.step != Step.RUN) return refuse(now, pending, beforeDeadline(pending, 0))
        effects += RequestEffect.CancelDispatch(pending.id)
        finishTicket(pending, TicketReport(TicketOutcome.UNKNOWN))
        settleCharge(now, pending, DispatchEnd.UNKNOWN_USAGE)
        effects += RequestEffect.Refuse(pending.id, deadlineWhileRunning())
        close(pending)
    }

    private fun hasWithdrawnKey(pending: PendingRequest): Boolean {
        val hash = pending.request.keyHash ?: return false
        return snapshot()?.account(KeyHash(hash)) == null
    }

    // Every exit from a step before the run gives back what the request holds: its ticket, charge and claim.
    private fun refuse(now: Long, pending: PendingRequest, refusal: Refusal) {
        effects += RequestEffect.Refuse(pending.id, refusal)
        release(now, pending)
    }

    private fun release(now: Long, pending: PendingRequest) {
        finishTicket(pending, TicketReport(TicketOutcome.NOT_RUN))
        settleCharge(now, pending, 0)
        if (pending.holdsClaim) {
            pending.idempotencyKey?.let { effects += RequestEffect.ReleaseClaim(pending.id, claimKey(pending, it)) }
        }
        close(pending)
    }

    private fun finishTicket(pending: PendingRequest, report: TicketReport) {
        val endpoint = pending.requestedEndpoint ?: return
        val ticket = pending.ticket ?: return
        pending.ticket = null
        effects += RequestEffect.FinishTicket(endpoint, ticket, report)
    }

    private fun settleCharge(now: Long, pending: PendingRequest, usedTokens: Long) {
        val atNanos = pending.chargedAtNanos ?: return
        pending.chargedAtNanos = null
        shares.settle(now, pending.target.account, pending.target.charge, pending.finalCharge(usedTokens), atNanos)
    }

    private fun close(pending: PendingRequest) {
        pendingById.remove(pending.id)
        if (pending.step == Step.LIMIT) limitQueue.remove(pending)
        closeTicketRequest(pending)
        effects += RequestEffect.Close(pending.id)
    }

    private fun closeTicketRequest(pending: PendingRequest) {
        val endpoint = pending.requestedEndpoint ?: return
        if (ticketRequests.remove(pending.ticketRequestId) != null) closedRequests[pending.ticketRequestId] = endpoint
    }

    private fun setTimer(pending: PendingRequest, dueNanos: Long) {
        pending.timerNanos = dueNanos
        timers.add(dueNanos, pending.id)
    }

    private fun claimKey(pending: PendingRequest, key: String) = ClaimKey(pending.target.account, key)

    private inline fun collect(block: () -> Unit): List<RequestEffect> {
        effects = ArrayList()
        block()
        return effects
    }
}
