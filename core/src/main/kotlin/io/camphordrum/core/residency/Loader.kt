package io.camphordrum.core.residency

import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.EndpointId

/** What the loader needs to know about the moment at which it plans. */
internal class PlanContext(
    val fencing: Long,
    val report: LoadReport,
    val thenNanos: Long,
    val foreign: Boolean,
    val nextId: () -> Long,
)

/** Gives load and evict orders to an endpoint and follows their outcome. */
internal class Loader(
    private val endpoint: EndpointId,
    private val settings: OwnerSettings,
    private val queue: FairQueue,
    private val slots: Slots,
    private val tickets: Tickets,
    private val takeover: Takeover,
    private val estimates: Estimates,
    private val takeLoad: (Long) -> Boolean,
) {
    private class Pending(
        val kind: OrderKind,
        val version: AdapterVersion,
        val fencing: Long,
        val untilNanos: Long,
        val proof: Boolean,
    )

    val failures = LoadFailures(settings)
    private val plan = LoadPlan(settings, queue, slots, tickets, failures)
    private val orders = HashMap<Long, Pending>()
    private var unitsHeld = 0

    val idle: Boolean get() = orders.isEmpty()

    /** Gives the orders that the waiting work calls for. */
    fun plan(now: Long, context: PlanContext): List<OwnerEffect> {
        if (!takeover.mayOrder(now)) return emptyList()
        val effects = ArrayList<OwnerEffect>()
        prove(now, context)?.let { effects += it }
        var target = if (inFlight() < settings.loadsInFlight) plan.target(now) else null
        if (target == null && inFlight() < settings.loadsInFlight) plan.reopen()
        while (target != null) {
            val step = step(now, target, context) ?: break
            effects += step
            if (step.kind == OrderKind.EVICT || inFlight() >= settings.loadsInFlight) break
            target = plan.target(now)
        }
        return effects
    }

    /** Takes an outcome; returns false when the endpoint has a newer owner. */
    fun ordered(now: Long, id: Long, outcome: OrderOutcome, fencing: Long): Boolean {
        val order = orders.remove(id) ?: return true
        val slot = slots[order.version]
        when {
            order.proof -> if (outcome == OrderOutcome.DONE) takeover.fenceProved = true
            order.kind == OrderKind.LOAD -> loaded(now, order, slot, outcome)
            else -> evicted(now, order, slot, outcome)
        }
        return outcome != OrderOutcome.FENCED || order.fencing < fencing
    }

    /** Treats orders whose time has passed without an outcome as lost. */
    fun expire(now: Long) {
        val lost = orders.filterValues { it.untilNanos <= now }.keys.toList()
        lost.forEach { ordered(now, it, OrderOutcome.UNKNOWN, Long.MAX_VALUE) }
    }

    private fun inFlight(): Int = slots.count(SlotState.LOADING)

    private fun step(now: Long, target: LoadPlan.Target, context: PlanContext): OwnerEffect.Order? {
        if (slots.free > 0) {
            if (!takeUnit(now)) return null
            unitsHeld--
            queue.chargeLoad(target.turn)
            slots.loading(now, target.version, now + settings.orderNanos)
            return order(now, OrderKind.LOAD, target.version, context)
        }
        val full = slots.count(SlotState.EVICTING) > 0 || slots.count(SlotState.UNKNOWN) > 0
        if (full || !takeover.mayEvict(now)) return null
        val victim = plan.victim(now, context.thenNanos, context.report, target, context.foreign)
        if (victim == null) {
            if (target.overdue) plan.close(now) else plan.reopen()
            return null
        }
        if (!takeUnit(now)) return null
        victim.state = SlotState.EVICTING
        victim.untilNanos = now + settings.orderNanos
        return order(now, OrderKind.EVICT, victim.version, context)
    }

    // The unit is taken before the eviction, so that no adapter is evicted for a load that may not follow.
    private fun takeUnit(now: Long): Boolean {
        if (unitsHeld == 0 && takeLoad(now)) unitsHeld++
        return unitsHeld > 0
    }

    // Loading an adapter that is already resident changes nothing but the endpoint's fencing number.
    private fun prove(now: Long, context: PlanContext): OwnerEffect? {
        if (takeover.quiet(now) || queue.size == 0 || orders.values.any { it.proof }) return null
        val resident = slots.resident()
        val version = resident.firstOrNull { it in queue.demand } ?: return null
        return order(now, OrderKind.LOAD, version, context, proof = true)
    }

    private fun order(
        now: Long,
        kind: OrderKind,
        version: AdapterVersion,
        context: PlanContext,
        proof: Boolean = false,
    ): OwnerEffect.Order {
        val id = context.nextId()
        val until = now + settings.orderNanos
        orders[id] = Pending(kind, version, context.fencing, until, proof)
        val sendBefore = now + settings.orderNanos / SEND_SHARE
        return OwnerEffect.Order(id, endpoint, kind, version, context.fencing, sendBefore)
    }

    private fun loaded(now: Long, order: Pending, slot: Slot?, outcome: OrderOutcome) {
        if (outcome == OrderOutcome.DONE) {
            failures.loaded(order.version)
            takeover.fenceProved = true
            estimates.loaded(now, contended = queue.demand.keys.any { it !in slots })
        } else if (outcome == OrderOutcome.FAILED || outcome == OrderOutcome.UNKNOWN) {
            failures.failed(now, order.version)
        }
        if (slot == null || slot.state != SlotState.LOADING) return
        when (outcome) {
            OrderOutcome.DONE -> {
                slot.enter(SlotState.RESIDENT, now)
                slot.unsettled = !takeover.settles(now)
            }
            OrderOutcome.UNKNOWN -> slot.state = SlotState.UNKNOWN
            else -> slots.remove(order.version)
        }
    }

    private fun evicted(now: Long, order: Pending, slot: Slot?, outcome: OrderOutcome) {
        if (outcome == OrderOutcome.DONE) takeover.fenceProved = true
        if (slot == null || (slot.state != SlotState.EVICTING && slot.state != SlotState.UNKNOWN)) return
        when (outcome) {
            OrderOutcome.DONE -> slots.evicted(now, order.version)
            OrderOutcome.UNKNOWN -> slot.state = SlotState.UNKNOWN
            else -> slot.enter(SlotState.RESIDENT, now)
        }
    }

    private fun Slot.enter(next: SlotState, now: Long) {
        state = next
        sinceNanos = now
    }

    private companion object {
        // An order that is sent within this share of its time has the rest to take effect.
        const val SEND_SHARE = 4
    }
}
