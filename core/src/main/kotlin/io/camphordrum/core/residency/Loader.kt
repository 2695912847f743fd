package io.camphordrum.core.residency

import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.EndpointId

/**
 * The state of an owner when its [Loader] issues orders.
 *
 * @property reportStateNanos the time of the oldest state that the [report] can show.
 * @property unticketed whether the endpoint runs requests without a ticket.
 */
internal class PlanContext(
    val fencing: Long,
    val report: LoadReport,
    val reportStateNanos: Long,
    val unticketed: Boolean,
    val nextNumber: () -> Long,
)

/** Issues load and evict orders to an endpoint and tracks their outcomes. */
internal class Loader(
    private val endpoint: EndpointId,
    private val settings: OwnerSettings,
    private val queue: FairQueue,
    private val slots: Slots,
    private val tickets: Tickets,
    private val takeover: Takeover,
    private val estimates: Estimates,
    private val acquireLoadUnit: (Long) -> Boolean,
) {
    private class IssuedOrder(
        val kind: OrderKind,
        val version: AdapterVersion,
        val fencing: Long,
        val expiresNanos: Long,
        val fencingProbe: Boolean,
    )

    val failures = LoadFailures(settings)
    private val loadPlan = LoadPlan(settings, queue, slots, tickets, failures)
    private val orders = HashMap<Long, IssuedOrder>()
    private var heldLoadUnits = 0

    val idle: Boolean get() = orders.isEmpty()

    /** Issues the orders that the queued requests need. */
    fun issueOrders(now: Long, context: PlanContext): List<OwnerEffect> {
        if (!takeover.mayOrder(now)) return emptyList()
        val effects = ArrayList<OwnerEffect>()
        probeFencing(now, context)?.let { effects += it }
        var target = if (inFlight() < settings.loadsInFlight) loadPlan.nextTarget(now) else null
        if (target == null && inFlight() < settings.loadsInFlight) loadPlan.allowTicketsAgain()
        while (target != null) {
            val order = nextOrder(now, target, context) ?: break
            effects += order
            if (order.kind == OrderKind.EVICT || inFlight() >= settings.loadsInFlight) break
            target = loadPlan.nextTarget(now)
        }
        return effects
    }

    /** Applies the outcome of an order; returns false when the endpoint has a newer owner. */
    fun closeOrder(now: Long, id: Long, outcome: OrderOutcome, fencing: Long): Boolean {
        val order = orders.remove(id) ?: return true
        val slot = slots[order.version]
        when {
            order.fencingProbe -> if (outcome == OrderOutcome.DONE) takeover.fencingAccepted = true
            order.kind == OrderKind.LOAD -> completeLoad(now, order, slot, outcome)
            else -> completeEviction(now, order, slot, outcome)
        }
        return outcome != OrderOutcome.FENCED || order.fencing < fencing
    }

    /** Handles orders that expired without an outcome as orders with an unknown outcome. */
    fun expire(now: Long) {
        val expired = orders.filterValues { it.expiresNanos <= now }.keys.toList()
        expired.forEach { closeOrder(now, it, OrderOutcome.UNKNOWN, Long.MAX_VALUE) }
    }

    private fun inFlight(): Int = slots.count(SlotState.LOADING)

    private fun nextOrder(now: Long, target: LoadPlan.Target, context: PlanContext): OwnerEffect.Order? {
        if (slots.free > 0) {
            if (!ensureLoadUnit(now)) return null
            heldLoadUnits--
            queue.chargeLoad(target.accountQueue)
            slots.addLoading(now, target.version, now + settings.orderTimeoutNanos)
            return issueOrder(now, OrderKind.LOAD, target.version, context)
        }
        val slotChanging = slots.count(SlotState.EVICTING) > 0 || slots.count(SlotState.UNKNOWN) > 0
        if (slotChanging || !takeover.mayEvict(now)) return null
        val slot = loadPlan.evictionCandidate(now, context.reportStateNanos, context.report, target, context.unticketed)
        if (slot == null) {
            if (target.overdue) loadPlan.stopTicketsForLeastUsed(now) else loadPlan.allowTicketsAgain()
            return null
        }
        if (!ensureLoadUnit(now)) return null
        slot.state = SlotState.EVICTING
        slot.orderExpiresNanos = now + settings.orderTimeoutNanos
        return issueOrder(now, OrderKind.EVICT, slot.version, context)
    }

    // The unit is acquired before the eviction, so that no adapter is evicted for a load that the budget may not allow.
    private fun ensureLoadUnit(now: Long): Boolean {
        if (heldLoadUnits == 0 && acquireLoadUnit(now)) heldLoadUnits++
        return heldLoadUnits > 0
    }

    // Loading an adapter that is already resident has no effect except to raise the fencing token at the endpoint.
    private fun probeFencing(now: Long, context: PlanContext): OwnerEffect? {
        if (takeover.oldOrdersExpired(now) || queue.size == 0 || orders.values.any { it.fencingProbe }) return null
        val resident = slots.resident()
        val version = resident.firstOrNull { it in queue.demand } ?: return null
        return issueOrder(now, OrderKind.LOAD, version, context, fencingProbe = true)
    }

    private fun issueOrder(
        now: Long,
        kind: OrderKind,
        version: AdapterVersion,
        context: PlanContext,
        fencingProbe: Boolean = false,
    ): OwnerEffect.Order {
        val id = context.nextNumber()
        val expiresNanos = now + settings.orderTimeoutNanos
        orders[id] = IssuedOrder(kind, version, context.fencing, expiresNanos, fencingProbe)
        val sendBeforeNanos = now + settings.orderTimeoutNanos / SEND_TIMEOUT_DIVISOR
        return OwnerEffect.Order(id, endpoint, kind, version, context.fencing, sendBeforeNanos)
    }

    private fun completeLoad(now: Long, order: IssuedOrder, slot: Slot?, outcome: OrderOutcome) {
        if (outcome == OrderOutcome.DONE) {
            failures.recordSuccess(order.version)
            takeover.fencingAccepted = true
            estimates.recordLoad(now, contended = queue.demand.keys.any { it !in slots })
        } else if (outcome == OrderOutcome.FAILED || outcome == OrderOutcome.UNKNOWN) {
            failures.recordFailure(now, order.version)
        }
        if (slot == null || slot.state != SlotState.LOADING) return
        when (outcome) {
            OrderOutcome.DONE -> {
                slot.enter(SlotState.RESIDENT, now)
                slot.unknownUse = !takeover.coversUnknownTickets(now)
            }
            OrderOutcome.UNKNOWN -> slot.state = SlotState.UNKNOWN
            else -> slots.remove(order.version)
        }
    }

    private fun completeEviction(now: Long, order: IssuedOrder, slot: Slot?, outcome: OrderOutcome) {
        if (outcome == OrderOutcome.DONE) takeover.fencingAccepted = true
        if (slot == null || (slot.state != SlotState.EVICTING && slot.state != SlotState.UNKNOWN)) return
        when (outcome) {
            OrderOutcome.DONE -> slots.recordEviction(now, order.version)
            OrderOutcome.UNKNOWN -> slot.state = SlotState.UNKNOWN
            else -> slot.enter(SlotState.RESIDENT, now)
        }
    }

    private fun Slot.enter(next: SlotState, now: Long) {
        state = next
        residentSinceNanos = now
    }

    private companion object {
        // An order must be sent within this fraction of its timeout; the rest remains for it to take effect.
        const val SEND_TIMEOUT_DIVISOR = 4
    }
}
