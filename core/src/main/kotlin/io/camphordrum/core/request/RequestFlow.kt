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
 * Takes each request from its arrival to its one final answer.
 *
 * A request passes these steps: resolve the name and the account, claim the idempotency key, charge the limit, obtain
 * a ticket, run. Every path out of a step returns what the earlier steps hold. A refusal says "not run" only while no
 * dispatch has been ordered, or when the endpoint client knows that no byte was sent.
 *
 * ```kotlin
 * execute(flow.arrive(now, request))
 * execute(flow.ended(now, id, dispatch, DispatchEnd.Completed(42, answer, firstTokenNanos)))
 * ```
 *
 * @param snapshot the configuration in force, or null before the first is known.
 * @param stale whether the configuration was last confirmed longer ago than the given number of seconds.
 * @param address where an endpoint is reached, or null when it is unknown.
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
    private val pending = HashMap<Long, Pending>()
    private val deadlines = Deadlines()
    private val budget = RetryBudget()
    private val resolver = Resolver(stale)
    private val limits = LimitQueue(shares::admit) { snapshot()?.limits()?.get(it) }
    private val asks = HashMap<Long, Pending>()
    private val closedAsks = ClosedAsks(settings.closedAsks)
    private var nextAsk = 0L
    private var draining = false
    private lateinit var out: MutableList<RequestEffect>

    /** Requests that have no final answer yet. */
    public val open: Int get() = pending.size

    /** Takes a new request. */
    public fun arrive(now: Long, request: CallerRequest): List<RequestEffect> = collect {
        budget.arrived()
        val config = snapshot()
        val early = when {
            config == null -> unavailable("no configuration yet")
            draining -> unavailable("the instance is stopping")
            pending.size >= settings.maxRequests -> unavailable("too many requests in progress")
            else -> null
        }
        if (early != null || config == null) {
            out += RequestEffect.Refuse(request.id, early ?: return@collect)
            return@collect
        }
        when (val resolved = resolver.resolve(now, config, request)) {
            is Resolved.Bad -> out += RequestEffect.Refuse(request.id, resolved.refusal)
            is Resolved.Ok -> begin(now, request, resolved.target)
        }
    }

    /** Tells that the caller has gone; what runs is cancelled, what waits is dropped. */
    public fun cancelled(now: Long, id: Long): List<RequestEffect> = collect {
        val p = pending[id] ?: return@collect
        if (p.step == Step.RUN) {
            out += RequestEffect.CancelDispatch(id)
        } else {
            drop(now, p)
        }
    }

    /** Takes the answer to [RequestEffect.Claim]. */
    public fun claimed(now: Long, id: Long, answer: ClaimAnswer): List<RequestEffect> = collect {
        val p = pending[id]
        if (p == null || p.step != Step.CLAIM) return@collect
        when (answer) {
            ClaimAnswer.Proceed -> charge(now, p.apply { claimed = true })
            is ClaimAnswer.Replay -> {
                out += RequestEffect.Answer(id, answer.answer)
                remove(p)
            }
            is ClaimAnswer.Refused -> refuse(now, p, answer.refusal)
        }
    }

    /** Takes a grant for the ask [ask]; a ticket that is no longer wanted goes back unused. */
    public fun granted(now: Long, ask: Long, grant: TicketGrant): List<RequestEffect> = collect {
        val p = asks[ask]
        val endpoint = p?.asked ?: closedAsks[ask] ?: return@collect
        router.recordAnswer(now, endpoint, grant.waitNanos, grant.version)
        if (p == null || p.step != Step.TICKET) {
            // The owner repeats its answer to a repeated ask; the ticket in use must not be returned.
            if (p?.ticket == grant.ticket) return@collect
            out += RequestEffect.FinishTicket(endpoint, grant.ticket, TicketReport(TicketOutcome.NOT_RUN))
            return@collect
        }
        val until = minOf(p.deadlineNanos, p.askedAtNanos + grant.validNanos)
        val target = address(endpoint)
        p.ticket = grant.ticket
        when {
            withdrawn(p) -> refuse(now, p, keyWithdrawn())
            // A later owner may evict the adapter once tickets of this owner can no longer be used to begin.
            now - p.askedAtNanos > grant.startNanos -> nextCandidate(now, p)
            target == null || until - now < settings.shortestRunNanos -> nextCandidate(now, p)
            else -> dispatch(now, p, endpoint, target, grant, until)
        }
    }

    /** Takes a denial for the ask [ask]. */
    public fun denied(now: Long, ask: Long, denial: TicketDenial): List<RequestEffect> = collect {
        val p = asks[ask] ?: return@collect
        val endpoint = p.asked ?: return@collect
        router.recordAnswer(now, endpoint, denial.waitNanos)
        if (p.step != Step.TICKET) return@collect
        p.denied = Denial("$endpoint: ${denial.reason.name.lowercase()}", denial.retryAfterNanos)
        if (denial.reason in RECOVERABLE) p.mayRecover = true
        if (denial.reason == DenyReason.DEADLINE && p.candidate + 1 >= p.candidates.size) {
            refuse(now, p, beforeDeadline(p, denial.retryAfterNanos))
        } else {
            nextCandidate(now, p)
        }
    }

    /** Takes the end of [dispatch]; the end of an earlier dispatch of the same request is ignored. */
    public fun ended(now: Long, id: Long, dispatch: String, end: DispatchEnd): List<RequestEffect> = collect {
        val p = pending[id]
        if (p == null || p.dispatch != dispatch) return@collect
        when (end) {
            is DispatchEnd.Completed -> completed(now, p, end)
            is DispatchEnd.NotRun -> notRun(now, p, end)
            is DispatchEnd.Failed -> failed(now, p, end)
            is DispatchEnd.Cancelled -> {
                finishTicket(p, TicketReport(TicketOutcome.UNKNOWN, end.usedTokens))
                settle(now, p, end.usedTokens)
                remove(p)
            }
        }
    }

    /** Moves on where an owner has changed or vanished; [changed] tells which endpoints that concerns. */
    public fun ownersChanged(now: Long, changed: (EndpointId) -> Boolean): List<RequestEffect> = collect {
        for (p in pending.values.toList()) {
            val asked = p.asked ?: continue
            if (p.step == Step.TICKET && changed(asked)) {
                p.mayRecover = true
                nextCandidate(now, p)
            }
        }
    }

    /** Refuses waiting requests whose key is no longer in force; running ones complete. */
    public fun reconfigured(now: Long): List<RequestEffect> = collect {
        for (p in pending.values.toList()) {
            if (p.step != Step.RUN && withdrawn(p)) {
                refuse(now, p, keyWithdrawn())
            }
        }
    }

    /** Takes no new requests from now on. */
    public fun drain() {
        draining = true
    }

    /** Does what is due at [now]. */
    public fun tick(now: Long): List<RequestEffect> = collect {
        limits.tick(now, { charged(now, it) }) { p, retry -> refuse(now, p, overLimit(p.target, retry)) }
        for (id in deadlines.due(now)) {
            val p = pending[id] ?: continue
            if (now - p.deadlineNanos >= 0) {
                expire(now, p)
            } else if (now - p.wakeNanos >= 0) {
                wake(now, p)
            }
        }
    }

    private fun begin(now: Long, request: CallerRequest, target: Target) {
        val millis = request.deadlineMillis ?: target.settings.deadlineMillis
        val p = Pending(request, target, request.arrivedNanos + millis * MILLI)
        pending[p.id] = p
        deadlines.add(p.deadlineNanos, p.id)
        val key = p.idempotencyKey
        if (key == null) charge(now, p) else out += RequestEffect.Claim(p.id, claimKey(p, key), request.fingerprint)
    }

    private fun charge(now: Long, p: Pending) {
        p.step = Step.LIMIT
        p.limitUntilNanos = minOf(p.deadlineNanos, now + p.target.settings.limitWaitMillis * MILLI)
        when (val answer = limits.add(now, p)) {
            LimitAnswer.Charged -> charged(now, p)
            LimitAnswer.Queued -> Unit
            is LimitAnswer.Refused -> refuse(now, p, overLimit(p.target, answer.retryAfterNanos))
        }
    }

    private fun charged(now: Long, p: Pending) {
        p.chargedAtNanos = now
        p.queueUntilNanos = minOf(p.deadlineNanos, now + p.target.settings.queueMillis * MILLI)
        findTicket(now, p)
    }

    private fun findTicket(now: Long, p: Pending) {
        p.step = Step.TICKET
        p.candidates = candidates(now, p)
        p.candidate = 0
        p.patient = false
        p.mayRecover = p.candidates.isEmpty()
        val first = p.candidates.firstOrNull()
        if (first == null) giveUpOrWait(now, p) else ask(now, p, first)
    }

    private fun candidates(now: Long, p: Pending): List<EndpointId> {
        val version = p.target.version
        val base = p.target.base
        if (version != null && base != null) return router.choose(now, version, base)
        return router.choose(now, p.target.pool.orEmpty(), p.id)
    }

    private fun ask(now: Long, p: Pending, endpoint: EndpointId) {
        closeAsk(p)
        p.asked = endpoint
        p.askId = ++nextAsk
        p.askedAtNanos = now
        asks[p.askId] = p
        sendAsk(p, endpoint)
        wakeAt(p, now + settings.askRepeatNanos)
    }

    private fun sendAsk(p: Pending, endpoint: EndpointId) {
        out += RequestEffect.AskOwner(endpoint, p.ticketRequest(self))
    }

    private fun nextCandidate(now: Long, p: Pending) {
        finishTicket(p, TicketReport(TicketOutcome.NOT_RUN))
        p.candidate++
        if (p.candidate >= p.candidates.size && !p.patient && p.candidates.size > 1) {
            p.patient = true
            p.candidate = 0
            // The answers of the first round have told the waits, so the order is now by the shortest.
            p.candidates = candidates(now, p)
        }
        val next = p.candidates.getOrNull(p.candidate)
        if (next != null) ask(now, p, next) else giveUpOrWait(now, p)
    }

    // Owners change within seconds after a failure; a request inside its queue time waits for that and starts over.
    private fun giveUpOrWait(now: Long, p: Pending) {
        if (!p.mayRecover || now - p.queueUntilNanos >= 0) return refuse(now, p, unavailable(p))
        closeAsk(p)
        p.asked = null
        wakeAt(p, now + settings.searchAgainNanos)
    }

    private fun dispatch(
        now: Long,
        p: Pending,
        endpoint: EndpointId,
        address: String,
        grant: TicketGrant,
        untilNanos: Long,
    ) {
        p.step = Step.RUN
        p.dispatches++
        // A claim that has been used can no longer be given up.
        p.claimed = false
        val id = "${self.instance}-${self.incarnation}-${p.id}-${p.dispatches}"
        p.dispatch = id
        val millis = maxOf(1, (untilNanos - now) / MILLI)
        out += RequestEffect.Dispatch(p.order(id, endpoint, address, grant.fencing, millis))
        wakeAt(p, untilNanos)
    }

    private fun completed(now: Long, p: Pending, end: DispatchEnd.Completed) {
        finishTicket(p, TicketReport(TicketOutcome.COMPLETED, maxOf(0, end.usedTokens), end.firstTokenNanos))
        settle(now, p, end.usedTokens)
        val answer = end.answer
        if (answer != null) {
            out += RequestEffect.Answer(p.id, answer)
            p.idempotencyKey?.let { out += RequestEffect.CompleteClaim(p.id, claimKey(p, it), answer) }
        }
        remove(p)
    }

    private fun notRun(now: Long, p: Pending, end: DispatchEnd.NotRun) {
        p.dispatch = null
        p.step = Step.TICKET
        p.claimed = p.idempotencyKey != null
        p.denied = Denial(end.reason, settings.searchAgainNanos)
        p.mayRecover = true
        if (p.dispatches < settings.maxDispatches) nextCandidate(now, p) else refuse(now, p, unavailable(p))
    }

    private fun failed(now: Long, p: Pending, end: DispatchEnd.Failed) {
        finishTicket(p, TicketReport(TicketOutcome.UNKNOWN, end.usedTokens))
        val again = !p.atMostOnce && !end.reachedCaller && p.dispatches < settings.maxDispatches
        if (again && now - p.deadlineNanos < 0 && budget.take()) {
            p.dispatch = null
            p.step = Step.TICKET
            return nextCandidate(now, p)
        }
        settle(now, p, DispatchEnd.UNKNOWN_USAGE)
        out += RequestEffect.Refuse(p.id, endpointFailed(end.reason))
        remove(p)
    }

    private fun wake(now: Long, p: Pending) {
        when (p.step) {
            Step.TICKET -> {
                // The ask or its answer may have been lost; the owner answers a repeated ask in the same way.
                val asked = p.asked ?: return findTicket(now, p)
                sendAsk(p, asked)
                wakeAt(p, now + settings.askRepeatNanos)
            }
            Step.RUN -> expire(now, p)
            Step.CLAIM, Step.LIMIT -> Unit
        }
    }

    private fun expire(now: Long, p: Pending) {
        if (p.step != Step.RUN) return refuse(now, p, beforeDeadline(p, 0))
        out += RequestEffect.CancelDispatch(p.id)
        finishTicket(p, TicketReport(TicketOutcome.UNKNOWN))
        settle(now, p, DispatchEnd.UNKNOWN_USAGE)
        out += RequestEffect.Refuse(p.id, deadlineWhileRunning())
        remove(p)
    }

    private fun withdrawn(p: Pending): Boolean {
        val hash = p.request.keyHash ?: return false
        return snapshot()?.account(KeyHash(hash)) == null
    }

    /** Ends a request that has not run; everything that it holds is returned. */
    private fun refuse(now: Long, p: Pending, refusal: Refusal) {
        out += RequestEffect.Refuse(p.id, refusal)
        drop(now, p)
    }

    private fun drop(now: Long, p: Pending) {
        finishTicket(p, TicketReport(TicketOutcome.NOT_RUN))
        settle(now, p, 0)
        if (p.claimed) p.idempotencyKey?.let { out += RequestEffect.ReleaseClaim(p.id, claimKey(p, it)) }
        remove(p)
    }

    private fun finishTicket(p: Pending, report: TicketReport) {
        val endpoint = p.asked ?: return
        val ticket = p.ticket ?: return
        p.ticket = null
        out += RequestEffect.FinishTicket(endpoint, ticket, report)
    }

    private fun settle(now: Long, p: Pending, usedTokens: Long) {
        val at = p.chargedAtNanos ?: return
        p.chargedAtNanos = null
        shares.settle(now, p.target.account, p.target.charge, p.keptCharge(usedTokens), at)
    }

    private fun remove(p: Pending) {
        pending.remove(p.id)
        if (p.step == Step.LIMIT) limits.remove(p)
        closeAsk(p)
        out += RequestEffect.Close(p.id)
    }

    private fun closeAsk(p: Pending) {
        val asked = p.asked ?: return
        if (asks.remove(p.askId) != null) closedAsks[p.askId] = asked
    }

    private fun wakeAt(p: Pending, at: Long) {
        p.wakeNanos = at
        deadlines.add(at, p.id)
    }

    private fun claimKey(p: Pending, key: String) = ClaimKey(p.target.account, key)

    private inline fun collect(step: () -> Unit): List<RequestEffect> {
        out = ArrayList()
        step()
        return out
    }
}
