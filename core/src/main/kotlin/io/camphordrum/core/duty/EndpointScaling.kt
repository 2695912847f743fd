package io.camphordrum.core.duty

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.serving.ScaleBounds
import io.camphordrum.core.serving.ServedService
import io.camphordrum.core.serving.ServingContext

/** Orders the numbers of endpoints that the plans of all services and data centres want, one call at a time. */
internal class EndpointScaling(
    private val options: DutyOptions,
    private val context: ServingContext,
    private val platform: DutyPlatform,
    ledger: DutyLedger,
) {
    /** Plans one service in one data centre; [inForce] is the last order, or null until it is known. */
    private class Subject(
        val bounds: ScaleBounds,
        val planner: EndpointPlanner,
        var inForce: Int?,
        val sinceNanos: Long,
    ) {
        var orderedNanos = Long.MIN_VALUE / 2
        var demand: Double? = null
        var present = 0
    }

    private val demand = EndpointDemand(context, ledger)
    private val subjects = LinkedHashMap<Pair<String, DataCentreId>, Subject>()
    private var calling = false
    private var callRetryNanos = Long.MIN_VALUE / 2
    private var plannedNanos = Long.MIN_VALUE / 2
    private var tenure = 0

    /** The numbers that are in force, because they were ordered or found. */
    val orders: List<EndpointCountOrder>
        get() = subjects.mapNotNull { (key, subject) ->
            subject.inForce?.let { EndpointCountOrder(key.first, key.second.name, it) }
        }

    /** Forgets all plans, because another daemon may order from now on. */
    fun reset() {
        tenure++
        calling = false
        subjects.clear()
    }

    /**
     * Plans once a second and sends the next order; called only while the right is usable.
     *
     * @param storedOrders the orders in the store; null if they are not read yet or none are kept.
     */
    fun step(now: Long, token: Long, permitted: () -> Boolean, storedOrders: List<EndpointCountOrder>) {
        if (now - plannedNanos >= PLAN_NANOS) {
            plannedNanos = now
            demand.update(now)
            for (service in context.config?.services.orEmpty().values) planService(now, service, storedOrders)
        }
        if (calling || now < callRetryNanos) return
        val (key, subject) = subjects.entries.firstOrNull { isDue(now, it.value) } ?: return
        order(now, token, permitted, key, subject)
    }

    private fun planService(now: Long, service: ServedService, storedOrders: List<EndpointCountOrder>) {
        val bounds = service.scale ?: return
        val records = context.registry.all.filter { it.record.service == service.name }
        val present = records.filter { !it.record.draining && it.missingSinceNanos == null }
            .groupingBy { it.record.dataCentre }.eachCount()
        val known = subjects.keys.filter { it.first == service.name }.map { it.second }
        val planned = (present.keys + known).map { dataCentre ->
            val subject = subject(now, service.name, dataCentre, bounds, storedOrders)
            subject.present = present[dataCentre] ?: 0
            if (subject.inForce == null) settle(now, subject)
            subject.demand = demand.endpoints(now, service, dataCentre, bounds.bootMillis)
            subject
        }
        // What a full data centre cannot serve is served in the others.
        val excess = planned.sumOf { maxOf(0.0, (it.demand ?: 0.0) - it.bounds.maximum) }
        val open = planned.filter { it.demand?.let { demand -> demand < bounds.maximum } == true }
        for (subject in planned) {
            val demand = subject.demand
            subject.planner.plan(now, if (subject in open) demand!! + excess / open.size else demand)
        }
    }

    private fun subject(
        now: Long,
        service: String,
        dataCentre: DataCentreId,
        bounds: ScaleBounds,
        storedOrders: List<EndpointCountOrder>,
    ): Subject {
        val key = service to dataCentre
        val existing = subjects[key]
        if (existing != null && existing.bounds == bounds) return existing
        val stored = storedOrders.firstOrNull { it.service == service && it.dataCentre == dataCentre.name }?.count
        val inForce = existing?.inForce ?: stored
        val planner = EndpointPlanner(bounds.minimum, bounds.maximum, bounds.bootMillis, inForce ?: bounds.minimum)
        return Subject(bounds, planner, inForce, now).also { subjects[key] = it }
    }

    // Endpoints register one after the other; a number that only some of them have reached is not the one in force.
    private fun settle(now: Long, subject: Subject) {
        subject.planner.resume(subject.present)
        if (now - subject.sinceNanos >= SETTLE_NANOS) subject.inForce = subject.planner.count
    }

    private fun isDue(now: Long, subject: Subject): Boolean {
        val inForce = subject.inForce ?: return false
        val wanted = subject.planner.count
        if (wanted != inForce) return true
        // Endpoints that were ordered and do not appear may be lost with the order.
        val bootNanos = subject.bounds.bootMillis * NANOS_PER_MILLI
        return subject.present < wanted &&
            subject.orderedNanos > Long.MIN_VALUE / 2 &&
            now - subject.orderedNanos > BOOTS_PER_REPEAT * bootNanos + MIN_REPEAT_NANOS
    }

    private fun order(
        now: Long,
        token: Long,
        permitted: () -> Boolean,
        key: Pair<String, DataCentreId>,
        subject: Subject,
    ) {
        val order = EndpointCountOrder(key.first, key.second.name, subject.planner.count)
        calling = true
        callRetryNanos = now + options.callIntervalNanos
        val started = tenure
        platform.orderEndpoints(order, token, permitted) { end ->
            if (started != tenure) return@orderEndpoints
            calling = false
            context.ports.logEvent(
                "endpoints_ordered",
                mapOf(
                    "service" to order.service,
                    "dataCentre" to order.dataCentre,
                    "count" to order.count,
                    "before" to subject.inForce,
                    "present" to subject.present,
                    "demand" to subject.demand,
                    "expected" to subject.planner.expected,
                    "token" to token,
                    "end" to end.name.lowercase(),
                ),
            )
            if (end == DutyCallEnd.ACCEPTED || end == DutyCallEnd.INVALID) {
                subject.inForce = order.count
                subject.orderedNanos = now
            } else {
                callRetryNanos = now + RETRY_NANOS
            }
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val PLAN_NANOS = 1_000_000_000L
        const val RETRY_NANOS = 1_000_000_000L
        const val SETTLE_NANOS = 10_000_000_000L
        const val BOOTS_PER_REPEAT = 2
        const val MIN_REPEAT_NANOS = 30_000_000_000L
    }
}
