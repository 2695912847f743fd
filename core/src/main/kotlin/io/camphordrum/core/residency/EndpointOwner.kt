package io.camphordrum.core.residency

import io.camphordrum.core.AccountId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Member

/**
 * Grants tickets for one endpoint and decides which adapters are resident there.
 *
 * Every function takes `now` in monotonic nanoseconds and returns the effects to execute. The daemon creates an owner
 * when a generation assigns the endpoint to it, and calls [updateGeneration] while later generations keep the
 * assignment. Ticket and order numbers are derived from the fencing token, so an owner is created at most once in a
 * generation.
 *
 * ```kotlin
 * val owner = EndpointOwner(id, generation.number, now, fenced = true, membership::leaseValid, { budget.admit(it) })
 * val effects = owner.requestTicket(now, TicketRequest(member, 1, account, version, tokens = 900, deadlineNanos))
 * ```
 *
 * @param fencing the fencing token: the number of the generation.
 * @param startNanos when this owner was assigned the endpoint.
 * @param fenced whether the endpoint rejects orders with an old fencing token.
 * @param leaseValid whether the lease is valid; checked right before every grant and order.
 * @param acquireLoadUnit acquires one unit of the load budget, or returns false; it is called again at the next event.
 * @param weight the configured rate of a client account, which is its weight in the fair queue.
 * @param supportsAdapters false for a plain service, which has tickets and fair queueing but no loads.
 * @param firstOwner true when the endpoint cannot have had an owner before, so that no takeover delay applies.
 */
public class EndpointOwner(
    public val endpoint: EndpointId,
    fencing: Long,
    startNanos: Long,
    fenced: Boolean,
    private val leaseValid: (now: Long) -> Boolean,
    acquireLoadUnit: (now: Long) -> Boolean,
    weight: (AccountId) -> Long = { 1 },
    private val supportsAdapters: Boolean = true,
    firstOwner: Boolean = false,
    private val settings: OwnerSettings = OwnerSettings(),
) {
    private val queue = FairQueue(settings, weight)
    private val grantedTickets = Tickets(settings)
    private val slots = Slots()
    private val slowStart = SlowStart(settings)
    private val estimates = Estimates(settings)
    private val takeover = Takeover(startNanos, settings, fenced, firstOwner)
    private val loader = Loader(endpoint, settings, queue, slots, grantedTickets, takeover, estimates, acquireLoadUnit)
    private val digestWriter = DigestWriter(endpoint)
    private var lastNumber = fencing shl GENERATION_SHIFT
    private var lastReport: LoadReport? = null
    private var reportStateNanos = Long.MIN_VALUE / 2
    private var leaving = false
    private var superseded = false

    /** The fencing token of the current generation, used for grants and orders. */
    public var fencing: Long = fencing
        private set

    /** True when no ticket and no order is outstanding; after [leave] the endpoint can then be stopped. */
    public val idle: Boolean get() = grantedTickets.size == 0 && loader.idle

    /** The number of queued requests. */
    public val waiting: Int get() = queue.size

    /** The number of tickets not yet released, including those whose holders are lost. */
    public val ticketCount: Int get() = grantedTickets.size

    /** The current limit of concurrent requests. */
    public val concurrencyLimit: Int get() = slowStart.limit

    /** Handles a request for a ticket; a repeated request receives the same ticket while it is valid. */
    public fun requestTicket(now: Long, request: TicketRequest): List<OwnerEffect> {
        if (request in queue) return emptyList()
        grantedTickets[request]?.takeIf { it.expiresNanos > now }?.let { return listOf(grant(now, it)) }
        val waitNanos = expectedWaitNanos(request)
        val effects = ArrayList<OwnerEffect>()
        val reason = denyReason(now, request, waitNanos)
        if (reason != null) {
            effects += deny(request, reason, waitNanos, retryAfterNanos(now, request, reason, waitNanos))
            return effects
        }
        val added = queue.add(now, request) { effects += deny(now, it, DenyReason.QUEUE_FULL) }
        if (!added) effects += deny(request, DenyReason.QUEUE_FULL, waitNanos, waitNanos)
        return effects + advance(now)
    }

    /** Handles the return of a ticket; an unknown ticket is ignored. */
    public fun finish(now: Long, ticketId: Long, report: TicketReport): List<OwnerEffect> {
        val ticket = grantedTickets.find(ticketId) ?: return emptyList()
        ticket.request.version?.let { slots[it] }?.lastFinishNanos = now
        queue.refund(ticket.request.account, ticket.request.tokens - report.usedTokens)
        slowStart.requestFinished(
            now,
            ticket.grantedNanos,
            report,
            underLoad = usedConcurrency() * 2 >= slowStart.limit,
        )
        if (report.outcome == TicketOutcome.COMPLETED) estimates.recordService(now - ticket.grantedNanos)
        if (report.outcome == TicketOutcome.UNKNOWN) {
            ticket.expiresNanos = minOf(ticket.expiresNanos, now)
        } else {
            grantedTickets.remove(now, ticketId)
        }
        return advance(now)
    }

    /** Applies a load report of the endpoint; a report that is not newer than the last one is ignored. */
    public fun receiveReport(now: Long, report: LoadReport): List<OwnerEffect> {
        val previous = lastReport
        if (previous != null && report.sampledNanos <= previous.sampledNanos) return emptyList()
        val stateNanos = report.sampledNanos - settings.reportLagNanos
        val restarted = previous != null && report.incarnation != previous.incarnation
        if (restarted) slots.resetAfterRestart(now, stateNanos)
        val lostAll = slots.applyReport(stateNanos, report, unknownUse = !takeover.coversUnknownTickets(stateNanos))
        lastReport = report
        reportStateNanos = stateNanos
        if (restarted || lostAll) slowStart.reset(now)
        if (previous == null) slowStart.raiseTo(report.running)
        if (takeover.coversUnknownTickets(stateNanos)) {
            slots.all.filter { report.showsIdle(it.version) }.forEach { it.unknownUse = false }
        }
        grantedTickets.releaseIdle(now, stateNanos, report)
        return advance(now)
    }

    /** Applies the outcome of an order; an unknown order is ignored. */
    public fun closeOrder(now: Long, order: Long, outcome: OrderOutcome): List<OwnerEffect> {
        if (!loader.closeOrder(now, order, outcome, fencing)) superseded = true
        return advance(now)
    }

    /** Handles timeouts; must be called at least every 100 ms. */
    public fun tick(now: Long): List<OwnerEffect> {
        loader.expire(now)
        if (!supportsAdapters) removeExpired(now)
        val pastDeadline = queue.removeIf { now + estimates.shortestServiceNanos > it.request.deadlineNanos }
        val loadFailed = queue.removeIf { loadDenialNanos(now, it.request) != null }
        return pastDeadline.map { deny(now, it, DenyReason.DEADLINE) } +
            loadFailed.map { deny(now, it, DenyReason.LOAD_FAILED) } + advance(now)
    }

    /** Continues ownership in a newer generation; requests of members that are not in [live] are removed. */
    public fun updateGeneration(now: Long, fencing: Long, live: Set<Member>): List<OwnerEffect> {
        if (fencing <= this.fencing) return emptyList()
        this.fencing = fencing
        lastNumber = maxOf(lastNumber, fencing shl GENERATION_SHIFT)
        superseded = false
        queue.removeIf { it.request.from !in live }
        return advance(now)
    }

    /** Denies all queued and later requests; running requests complete. */
    public fun leave(now: Long): List<OwnerEffect> {
        leaving = true
        return advance(now)
    }

    /** Accepts requests again after [leave]; tickets not yet released are kept. */
    public fun resume() {
        leaving = false
    }

    /** Returns the expected wait of a request of [account] for a resident adapter, in nanoseconds. */
    public fun waitNanos(now: Long, account: AccountId? = null): Long = queueWaitNanos(account) + takeoverWaitNanos(now)

    /** Returns the changes since the last digest, or null when there are none. */
    public fun nextDigest(now: Long): ResidencyMessage.Digest? =
        digestWriter.next(now, fencing, slots.resident(), waitNanos(now))

    private fun denyReason(now: Long, request: TicketRequest, waitNanos: Long): DenyReason? = when {
        supportsAdapters != (request.version != null) -> DenyReason.UNSUITABLE
        leaving -> DenyReason.LEAVING
        grantedTickets[request] != null -> DenyReason.DEADLINE
        superseded || !leaseValid(now) -> DenyReason.NO_LEASE
        loadDenialNanos(now, request) != null -> DenyReason.LOAD_FAILED
        now + waitNanos + takeoverWaitNanos(now) + estimates.shortestServiceNanos > request.deadlineNanos ->
            DenyReason.DEADLINE
        waitNanos + takeoverWaitNanos(now) > request.maxWaitNanos -> DenyReason.WAIT_TOO_LONG
        else -> null
    }

    // Grants the tickets and issues the orders that the last event made possible.
    private fun advance(now: Long): List<OwnerEffect> {
        val valid = leaseValid(now)
        if (!valid) {
            takeover.extendAfterLeaseLoss(now)
            slots.all.forEach { it.unknownUse = true }
        }
        if (leaving) return queue.removeIf { true }.map { deny(now, it, DenyReason.LEAVING) }
        if (!valid || superseded) return queue.removeIf { true }.map { deny(now, it, DenyReason.NO_LEASE) }
        val effects = ArrayList<OwnerEffect>()
        grantReady(now, effects)
        val last = lastReport
        if (supportsAdapters && last != null && queue.size + slots.count(SlotState.CLOSING) > 0) {
            effects += loader.issueOrders(
                now,
                PlanContext(fencing, last, reportStateNanos, unticketedRequests() > 0, ::nextNumber),
            )
        }
        return effects
    }

    private fun grantReady(now: Long, effects: MutableList<OwnerEffect>) {
        if (supportsAdapters && (lastReport == null || !takeover.oldOrdersExpired(now))) return
        while (queue.size > 0 && usedConcurrency() < slowStart.limit && !grantedTickets.full) {
            val entry = queue.next { isGrantable(now, it) } ?: return
            val request = entry.request
            val expiresNanos = minOf(request.deadlineNanos, now + settings.ticketLifeNanos)
            val ticket = Ticket(nextNumber(), request, entry.arrivedNanos, now, expiresNanos)
            grantedTickets.add(ticket)
            request.version?.let { slots[it] }?.recordUse(now, request.tokens)
            effects += grant(now, ticket)
        }
    }

    private fun isGrantable(now: Long, entry: QueuedRequest): Boolean {
        val version = entry.request.version
        val resident = version == null || slots[version]?.state == SlotState.RESIDENT
        return resident && entry.request.deadlineNanos > now && grantedTickets[entry.request] == null
    }

    // A ticket of a plain service protects no adapter, so it is removed when it expires; the service may publish no
    // load report that would release it.
    private fun removeExpired(now: Long) {
        for (ticket in grantedTickets.expired(now)) {
            grantedTickets.remove(now, ticket.id)
            slowStart.requestFinished(now, ticket.grantedNanos, TicketReport(TicketOutcome.FAILED), underLoad = true)
        }
    }

    // Returns the number of requests at the endpoint that no known ticket accounts for.
    private fun unticketedRequests(): Int {
        val last = lastReport ?: return 0
        return maxOf(0, last.running + last.waiting - grantedTickets.countRunningSince(reportStateNanos))
    }

    private fun usedConcurrency(): Int = grantedTickets.countUnexpired(reportStateNanos) + unticketedRequests()

    private fun nextNumber(): Long = ++lastNumber

    private fun grant(now: Long, ticket: Ticket): OwnerEffect.Grant = OwnerEffect.Grant(
        ticket.request.from,
        ticket.request.request,
        ticket.id,
        endpoint,
        ticket.request.version,
        fencing,
        ticket.expiresNanos,
        ticket.grantedNanos + settings.dispatchTimeoutNanos - ticket.arrivedNanos,
        ticket.expiresNanos - ticket.arrivedNanos,
        waitNanos(now, ticket.request.account),
    )

    private fun deny(now: Long, entry: QueuedRequest, reason: DenyReason): OwnerEffect.Deny {
        val waitNanos = expectedWaitNanos(entry.request)
        return deny(entry.request, reason, waitNanos, retryAfterNanos(now, entry.request, reason, waitNanos))
    }

    private fun deny(
        request: TicketRequest,
        reason: DenyReason,
        waitNanos: Long,
        retryAfterNanos: Long,
    ): OwnerEffect.Deny =
        OwnerEffect.Deny(
            request.from,
            request.request,
            reason,
            maxOf(retryAfterNanos, MIN_RETRY_AFTER_NANOS),
            waitNanos,
        )

    private fun retryAfterNanos(now: Long, request: TicketRequest, reason: DenyReason, waitNanos: Long): Long =
        when (reason) {
            DenyReason.LOAD_FAILED -> loadDenialNanos(now, request) ?: waitNanos
            DenyReason.NO_LEASE -> settings.previousLeaseNanos
            else -> waitNanos + takeoverWaitNanos(now)
        }

    private fun loadDenialNanos(now: Long, request: TicketRequest): Long? =
        request.version?.let { loader.failures.remainingDenialNanos(now, it) }

    private fun takeoverWaitNanos(now: Long): Long = if (supportsAdapters) takeover.grantWaitNanos(now) else 0

    private fun expectedWaitNanos(request: TicketRequest): Long {
        val waitNanos = queueWaitNanos(request.account)
        if (request.version == null || request.version in slots) return waitNanos
        val ahead = queue.demand.keys.count { it !in slots && it != request.version }
        return maxOf(waitNanos, estimates.loadWaitNanos(ahead))
    }

    // Below the limit every queued request for a resident adapter has been granted. Otherwise each other account may be
    // served once for each queued request of this account.
    private fun queueWaitNanos(account: AccountId?): Long {
        val freeConcurrency = slowStart.limit - usedConcurrency()
        if (freeConcurrency > 0) return 0
        val ownQueued = if (account == null) 0 else queue.sizeOf(account)
        val ahead = minOf(queue.size, (ownQueued + 1) * (queue.activeAccounts + 1) - 1)
        return estimates.queueWaitNanos(ahead, slowStart.limit)
    }

    private companion object {
        // Leaves 2^32 ticket and order numbers for each generation, which changes a few hundred times a day.
        const val GENERATION_SHIFT = 32
        const val MIN_RETRY_AFTER_NANOS = 100 * MILLISECOND
    }
}
