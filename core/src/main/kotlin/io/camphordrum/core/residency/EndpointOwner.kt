package io.camphordrum.core.residency

import io.camphordrum.core.AccountId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Member

/**
 * Decides who may use one endpoint, and which adapters it holds.
 *
 * Every function takes `now` in monotonic nanoseconds and returns the effects to carry out. The daemon creates an
 * owner when a generation makes it the endpoint's owner, and calls [generation] while later ones leave it so. Ticket
 * and order numbers start from the fencing number, so an owner is created at most once in a generation.
 *
 * ```kotlin
 * val owner = EndpointOwner(id, generation.number, now, fenced = true, membership::leaseValid, { budget.take(it) })
 * val effects = owner.request(now, TicketRequest(member, 1, account, version, tokens = 900, deadlineNanos))
 * ```
 *
 * @param fencing the generation's number.
 * @param startNanos when this owner came into its right.
 * @param fenced whether the endpoint refuses orders with an old fencing number.
 * @param leaseValid checked right before every grant and order.
 * @param takeLoad takes one unit of the load budget, or returns false; it is asked again at the next event.
 * @param weight the configured rate of a client account; its share of the fair queue.
 * @param adapters false for a plain service, which gets tickets and fairness but no loads.
 * @param firstOwner true when nobody can have owned the endpoint before, so that nothing has to be waited out.
 */
public class EndpointOwner(
    public val endpoint: EndpointId,
    fencing: Long,
    startNanos: Long,
    fenced: Boolean,
    private val leaseValid: (now: Long) -> Boolean,
    takeLoad: (now: Long) -> Boolean,
    weight: (AccountId) -> Long = { 1 },
    private val adapters: Boolean = true,
    firstOwner: Boolean = false,
    private val settings: OwnerSettings = OwnerSettings(),
) {
    private val queue = FairQueue(settings, weight)
    private val granted = Tickets(settings)
    private val slots = Slots()
    private val slowStart = SlowStart(settings)
    private val estimates = Estimates(settings)
    private val takeover = Takeover(startNanos, settings, fenced, firstOwner)
    private val loader = Loader(endpoint, settings, queue, slots, granted, takeover, estimates, takeLoad)
    private val digests = DigestWriter(endpoint)
    private var lastId = fencing shl GENERATION_SHIFT
    private var report: LoadReport? = null
    private var thenNanos = Long.MIN_VALUE / 2
    private var leaving = false
    private var superseded = false

    /** The fencing number of grants and orders. */
    public var fencing: Long = fencing
        private set

    /** True when no ticket and no order is outstanding; after [leave] the endpoint may then stop. */
    public val idle: Boolean get() = granted.size == 0 && loader.idle

    /** Requests that wait. */
    public val waiting: Int get() = queue.size

    /** Tickets that count, including those of holders that vanished. */
    public val tickets: Int get() = granted.size

    /** The present concurrency limit. */
    public val concurrency: Int get() = slowStart.limit

    /** Takes a request for a ticket; the same request again gets the same answer. */
    public fun request(now: Long, request: TicketRequest): List<OwnerEffect> {
        if (request in queue) return emptyList()
        granted[request]?.takeIf { it.expiresNanos > now }?.let { return listOf(grant(now, it)) }
        val wait = expectedWait(request)
        val effects = ArrayList<OwnerEffect>()
        val reason = refusal(now, request, wait)
        if (reason != null) {
            effects += deny(request, reason, wait, retryNanos(now, request, reason, wait))
            return effects
        }
        val added = queue.add(now, request) { effects += deny(now, it, DenyReason.QUEUE_FULL) }
        if (!added) effects += deny(request, DenyReason.QUEUE_FULL, wait, wait)
        return effects + advance(now)
    }

    /** Takes back a ticket; an unknown one is ignored. */
    public fun finish(now: Long, ticket: Long, report: TicketReport): List<OwnerEffect> {
        val held = granted.find(ticket) ?: return emptyList()
        held.request.version?.let { slots[it] }?.lastEndNanos = now
        queue.credit(held.request.account, held.request.tokens - report.usedTokens)
        slowStart.ended(now, held.grantedNanos, report, pressed = inUse() * 2 >= slowStart.limit)
        if (report.outcome == TicketOutcome.COMPLETED) estimates.served(now - held.grantedNanos)
        if (report.outcome == TicketOutcome.UNKNOWN) {
            held.expiresNanos = minOf(held.expiresNanos, now)
        } else {
            granted.remove(now, ticket)
        }
        return advance(now)
    }

    /** Takes a report of the endpoint; one that is older than the last is ignored. */
    public fun load(now: Long, report: LoadReport): List<OwnerEffect> {
        val last = this.report
        if (last != null && report.sampledNanos <= last.sampledNanos) return emptyList()
        val then = report.sampledNanos - settings.reportLagNanos
        val restarted = last != null && report.incarnation != last.incarnation
        if (restarted) slots.restarted(now, then)
        val emptied = slots.reported(then, report, unsettled = !takeover.settles(then))
        this.report = report
        thenNanos = then
        if (restarted || emptied) slowStart.restart(now)
        if (last == null) slowStart.relearn(report.running)
        if (takeover.settles(then)) {
            slots.all.filter { report.showsIdle(it.version) }.forEach { it.unsettled = false }
        }
        granted.settle(now, then, report)
        return advance(now)
    }

    /** Takes the outcome of an order; an unknown order is ignored. */
    public fun ordered(now: Long, order: Long, outcome: OrderOutcome): List<OwnerEffect> {
        if (!loader.ordered(now, order, outcome, fencing)) superseded = true
        return advance(now)
    }

    /** Acts on the passage of time; call it at least every 100 ms. */
    public fun tick(now: Long): List<OwnerEffect> {
        loader.expire(now)
        if (!adapters) dropExpired(now)
        val late = queue.removeIf { now + estimates.shortestNanos > it.request.deadlineNanos }
        val failed = queue.removeIf { denied(now, it.request) != null }
        return late.map { deny(now, it, DenyReason.DEADLINE) } +
            failed.map { deny(now, it, DenyReason.LOAD_FAILED) } + advance(now)
    }

    /** Continues under a newer generation; requests of members that are not in [live] are dropped. */
    public fun generation(now: Long, fencing: Long, live: Set<Member>): List<OwnerEffect> {
        if (fencing <= this.fencing) return emptyList()
        this.fencing = fencing
        lastId = maxOf(lastId, fencing shl GENERATION_SHIFT)
        superseded = false
        queue.removeIf { it.request.from !in live }
        return advance(now)
    }

    /** Denies what waits and all that follows, and lets running work finish. */
    public fun leave(now: Long): List<OwnerEffect> {
        leaving = true
        return advance(now)
    }

    /** Takes requests again after [leave]; the tickets that still count are kept. */
    public fun resume() {
        leaving = false
    }

    /** Returns the wait that a request of [account] would meet for a resident adapter, in nanoseconds. */
    public fun waitNanos(now: Long, account: AccountId? = null): Long = queueWait(account) + gateWait(now)

    /** Returns what changed since the last digest, or null when there is nothing to tell. */
    public fun digest(now: Long): ResidencyMessage.Digest? =
        digests.next(now, fencing, slots.resident(), waitNanos(now))

    private fun refusal(now: Long, request: TicketRequest, wait: Long): DenyReason? = when {
        adapters != (request.version != null) -> DenyReason.UNSUITABLE
        leaving -> DenyReason.LEAVING
        granted[request] != null -> DenyReason.DEADLINE
        superseded || !leaseValid(now) -> DenyReason.NO_LEASE
        denied(now, request) != null -> DenyReason.LOAD_FAILED
        now + wait + gateWait(now) + estimates.shortestNanos > request.deadlineNanos -> DenyReason.DEADLINE
        wait + gateWait(now) > request.maxWaitNanos -> DenyReason.WAIT_TOO_LONG
        else -> null
    }

    // Moves everything on that the last event may have made possible.
    private fun advance(now: Long): List<OwnerEffect> {
        val valid = leaseValid(now)
        if (!valid) {
            takeover.leaseInvalid(now)
            slots.all.forEach { it.unsettled = true }
        }
        if (leaving) return queue.removeIf { true }.map { deny(now, it, DenyReason.LEAVING) }
        if (!valid || superseded) return queue.removeIf { true }.map { deny(now, it, DenyReason.NO_LEASE) }
        val effects = ArrayList<OwnerEffect>()
        grantReady(now, effects)
        val last = report
        if (adapters && last != null && queue.size + slots.count(SlotState.CLOSING) > 0) {
            effects += loader.plan(now, PlanContext(fencing, last, thenNanos, foreign() > 0, ::nextId))
        }
        return effects
    }

    private fun grantReady(now: Long, effects: MutableList<OwnerEffect>) {
        if (adapters && (report == null || !takeover.quiet(now))) return
        while (queue.size > 0 && inUse() < slowStart.limit && !granted.full) {
            val next = queue.next { ready(now, it) } ?: return
            val request = next.request
            val expires = minOf(request.deadlineNanos, now + settings.ticketLifeNanos)
            val ticket = Ticket(nextId(), request, next.arrivedNanos, now, expires)
            granted.add(ticket)
            request.version?.let { slots[it] }?.used(now, request.tokens)
            effects += grant(now, ticket)
        }
    }

    private fun ready(now: Long, entry: Waiting): Boolean {
        val version = entry.request.version
        val resident = version == null || slots[version]?.state == SlotState.RESIDENT
        return resident && entry.request.deadlineNanos > now && granted[entry.request] == null
    }

    // A plain service loses nothing when a ticket is dropped, and may publish no load.
    private fun dropExpired(now: Long) {
        for (ticket in granted.expired(now)) {
            granted.remove(now, ticket.id)
            slowStart.ended(now, ticket.grantedNanos, TicketReport(TicketOutcome.FAILED), pressed = true)
        }
    }

    // Requests that the endpoint runs beyond those that a ticket explains.
    private fun foreign(): Int {
        val last = report ?: return 0
        return maxOf(0, last.running + last.waiting - granted.since(thenNanos))
    }

    private fun inUse(): Int = granted.active(thenNanos) + foreign()

    private fun nextId(): Long = ++lastId

    private fun grant(now: Long, ticket: Ticket): OwnerEffect.Grant = OwnerEffect.Grant(
        ticket.request.from,
        ticket.request.request,
        ticket.id,
        endpoint,
        ticket.request.version,
        fencing,
        ticket.expiresNanos,
        ticket.grantedNanos + settings.dispatchNanos - ticket.arrivedNanos,
        ticket.expiresNanos - ticket.arrivedNanos,
        waitNanos(now, ticket.request.account),
    )

    private fun deny(now: Long, entry: Waiting, reason: DenyReason): OwnerEffect.Deny {
        val wait = expectedWait(entry.request)
        return deny(entry.request, reason, wait, retryNanos(now, entry.request, reason, wait))
    }

    private fun deny(request: TicketRequest, reason: DenyReason, wait: Long, retry: Long): OwnerEffect.Deny =
        OwnerEffect.Deny(request.from, request.request, reason, maxOf(retry, RETRY_NANOS), wait)

    private fun retryNanos(now: Long, request: TicketRequest, reason: DenyReason, wait: Long): Long = when (reason) {
        DenyReason.LOAD_FAILED -> denied(now, request) ?: wait
        DenyReason.NO_LEASE -> settings.previousLeaseNanos
        else -> wait + gateWait(now)
    }

    private fun denied(now: Long, request: TicketRequest): Long? =
        request.version?.let { loader.failures.deniedNanos(now, it) }

    private fun gateWait(now: Long): Long = if (adapters) takeover.waitNanos(now) else 0

    private fun expectedWait(request: TicketRequest): Long {
        val wait = queueWait(request.account)
        if (request.version == null || request.version in slots) return wait
        val ahead = queue.demand.keys.count { it !in slots && it != request.version }
        return maxOf(wait, estimates.loadNanos(ahead))
    }

    // With free places everything that is resident has been granted. Otherwise each other account may go once more
    // for each request that the account has waiting itself.
    private fun queueWait(account: AccountId?): Long {
        val free = slowStart.limit - inUse()
        if (free > 0) return 0
        val own = if (account == null) 0 else queue.sizeOf(account)
        val ahead = minOf(queue.size, (own + 1) * (queue.accounts + 1) - 1)
        return estimates.queueNanos(ahead, slowStart.limit)
    }

    private companion object {
        // Generations change a few hundred times a day; 2^32 tickets fit into each.
        const val GENERATION_SHIFT = 32
        const val RETRY_NANOS = 100 * MILLISECOND
    }
}
