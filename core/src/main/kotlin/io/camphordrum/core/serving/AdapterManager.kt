package io.camphordrum.core.serving

/**
 * Decides which adapters one endpoint holds and sends its orders one at a time.
 *
 * Every order names the number of orders that the endpoint must have accepted before it, so a delayed order is void
 * once a newer one was accepted. A slot counts as occupied from before a load is sent until an unload is confirmed.
 */
internal class AdapterManager(
    private val state: EndpointState,
    private val rights: OrderRights,
    private val port: OrderPort,
    private val announcedVersion: (base: String, adapter: String) -> Int?,
    private val onEnd: (daemon: String, ServingMessage.LoadEnd) -> Unit,
    private val logEvent: (event: String, fields: Map<String, Any?>) -> Unit,
    private val acquireBaseLoad: (now: Long) -> Boolean,
    private val stepAgain: () -> Unit,
) {
    // An adapter is LEAVING from an accepted unload until the endpoint confirms that it no longer holds it.
    private enum class Phase { READY, LOADING, LEAVING }

    private class AdapterSlot(var version: Int, var phase: Phase, var nextPollNanos: Long, var lastUsedNanos: Long) {
        fun isReady(wanted: Int?): Boolean = phase == Phase.READY && (wanted == null || version >= wanted)

        /** When the endpoint accepted the order in progress; null until then. */
        var acceptedNanos: Long? = null
    }

    private class LoadRequest(var version: Int?, val daemons: MutableSet<String>, var untilNanos: Long)

    private val slots = LinkedHashMap<String, AdapterSlot>()
    private val loadRequests = LinkedHashMap<String, LoadRequest>()
    private var base: String? = null
    private var acceptedOrders: Long? = null
    private var callInFlight = false
    private var waitUntilNanos = 0L
    private var lastAcceptedNanos = Long.MIN_VALUE / 2
    private var registeredStartMillis = state.record.startedEpochMillis
    private var reportedStartMillis: Long? = null
    private var reportRequestedNanos = Long.MIN_VALUE / 2

    val queuedLoads: Int get() = loadRequests.size

    fun toOwnedEndpoint(): OwnedEndpoint =
        OwnedEndpoint(
            state.id.name,
            base,
            slots.filterValues { it.phase == Phase.READY }.mapValues { it.value.version },
            loadRequests.size,
        )

    /** Whether a report has shown the base model of the endpoint; the next order may still need a newer report. */
    val hasReport: Boolean get() = base != null

    fun addRequest(now: Long, daemon: String, ask: ServingMessage.LoadAsk) {
        val until = now + peerDurationNanos(ask.waitMillis)
        val existing = loadRequests[ask.adapter]
        if (existing == null) {
            loadRequests[ask.adapter] = LoadRequest(ask.version, mutableSetOf(daemon), until)
        } else {
            existing.daemons += daemon
            existing.untilNanos = maxOf(existing.untilNanos, until)
            existing.version = listOfNotNull(existing.version, ask.version).maxOrNull()
        }
    }

    /** Sends the next order or reads the next report when one is due. */
    fun step(now: Long, engine: EngineLimits) {
        expireRequests(now)
        detectRestart()
        for (adapter in state.adaptersInUse(now)) slots[adapter]?.lastUsedNanos = now
        if (callInFlight || now < waitUntilNanos || state.isBackingOff(now)) return
        if (!rights.usable(now, state.id)) {
            if (loadRequests.isNotEmpty() || acceptedOrders == null) rights.refreshStale(now, state.id)
            return
        }
        if (acceptedOrders == null) {
            requestReport(now)
            return
        }
        val baseModel = base
        when {
            baseModel == null -> loadBase(now, engine)
            !pollPendingSlot(now, baseModel) -> orderNext(now, baseModel, engine)
        }
    }

    private fun loadBase(now: Long, engine: EngineLimits) {
        val wanted = engine.baseModels.firstOrNull() ?: return
        if (acquireBaseLoad(now)) sendOrder(now, load = true, wanted.name, adapter = null, version = null)
    }

    private fun pollPendingSlot(now: Long, baseModel: String): Boolean {
        val pending =
            slots.entries.firstOrNull { it.value.phase != Phase.READY && it.value.nextPollNanos <= now } ?: return false
        val (adapter, slot) = pending
        sendOrder(now, load = slot.phase == Phase.LOADING, baseModel, adapter, slot.version.takeIf { it > 0 })
        return true
    }

    private fun orderNext(now: Long, baseModel: String, engine: EngineLimits) {
        val loading = slots.values.count { it.phase == Phase.LOADING }
        if (loading >= MAX_CONCURRENT_LOADS) return
        for ((adapter, request) in loadRequests.entries.toList()) {
            val version = listOfNotNull(request.version, announcedVersion(baseModel, adapter)).maxOrNull()
            val slot = slots[adapter]
            if (slot?.isReady(version) == true) {
                finishRequest(adapter, slot.version, reason = null)
                continue
            }
            if (slot != null && slot.phase != Phase.READY) continue
            if (slot != null || slots.size < engine.adapterSlots) {
                sendOrder(now, load = true, baseModel, adapter, version)
            } else {
                val evicted = leastRecentlyUsed(now)
                if (evicted == null) {
                    finishRequest(adapter, version, "no_free_place")
                    continue
                }
                sendOrder(now, load = false, baseModel, evicted, version = null)
            }
            return
        }
    }

    private fun leastRecentlyUsed(now: Long): String? = slots.entries
        .filter {
            it.value.phase == Phase.READY &&
                now - it.value.lastUsedNanos > MIN_RESIDENT_NANOS &&
                it.key !in loadRequests
        }
        .minByOrNull { it.value.lastUsedNanos }?.key

    private fun sendOrder(now: Long, load: Boolean, baseModel: String, adapter: String?, version: Int?) {
        val expected = acceptedOrders ?: return
        val token = rights.token(state.id) ?: return
        val order = EndpointOrder(state.id, state.record.address, load, baseModel, adapter, version, expected, token) {
            rights.usable(rights.now(), state.id)
        }
        callInFlight = true
        if (load && adapter != null) {
            // The slot counts as occupied from here on, even if no answer arrives.
            val slot = slots.getOrPut(adapter) { AdapterSlot(version ?: 0, Phase.LOADING, now, now) }
            if (slot.phase != Phase.LOADING) slot.acceptedNanos = null
            slot.phase = Phase.LOADING
            slot.version = version ?: slot.version
        }
        port.order(order) { end -> onOrderEnd(order, end) }
    }

    private fun onOrderEnd(order: EndpointOrder, end: OrderEnd) {
        callInFlight = false
        val now = rights.now()
        logEvent("order", orderFields(order, end))
        when (end) {
            OrderEnd.ACCEPTED -> onAccepted(now, order)
            OrderEnd.HOLDS -> onHolds(now, order)
            OrderEnd.CONFLICT, OrderEnd.UNKNOWN -> requireReport(now)
            OrderEnd.REFUSED -> {
                if (order.load && order.adapter != null) {
                    slots -= order.adapter
                    finishRequest(order.adapter, order.version, "refused")
                }
                requireReport(now)
            }
        }
        // Sends the next order without waiting for the next tick.
        stepAgain()
    }

    private fun onAccepted(now: Long, order: EndpointOrder) {
        lastAcceptedNanos = now
        val adapter = order.adapter
        if (adapter == null) {
            // The endpoint stays busy until the base model is loaded, and registers it then.
            acceptedOrders = null
            waitUntilNanos = now + BASE_POLL_NANOS
            return
        }
        val slot = slots[adapter] ?: return
        if (!order.load) slot.phase = Phase.LEAVING
        val since = slot.acceptedNanos
        if (since == null) {
            slot.acceptedNanos = now
            acceptedOrders = order.expected + 1
        }
        // The endpoint accepts a repeated order that is still in progress without counting it again.
        slot.nextPollNanos = nextPollNanos(now, since ?: now)
    }

    // Polls within [QUICK_LOAD_NANOS] cover an adapter that was held recently. From then until [FULL_LOAD_NANOS], a
    // poll gains nothing.
    private fun nextPollNanos(now: Long, sinceNanos: Long): Long {
        val age = now - sinceNanos
        return if (age in QUICK_LOAD_NANOS until FULL_LOAD_NANOS) sinceNanos + FULL_LOAD_NANOS else now + POLL_NANOS
    }

    private fun onHolds(now: Long, order: EndpointOrder) {
        val adapter = order.adapter
        if (adapter == null) {
            requireReport(now)
            return
        }
        if (!order.load) {
            // An unload that is carried out at once counts as an accepted order; an unload of an adapter that was not
            // held does not.
            slots -= adapter
            if (order.expected == acceptedOrders) acceptedOrders = order.expected + 1
            return
        }
        val slot = slots.getOrPut(adapter) { AdapterSlot(order.version ?: 0, Phase.READY, now, now) }
        slot.phase = Phase.READY
        slot.acceptedNanos = null
        slot.lastUsedNanos = now
        finishRequest(adapter, slot.version, reason = null)
    }

    private fun requireReport(now: Long) {
        acceptedOrders = null
        waitUntilNanos = maxOf(now + POLL_NANOS, lastAcceptedNanos + REPORT_LAG_NANOS)
    }

    private fun requestReport(now: Long) {
        // Without a minimum interval, a report that changes nothing would be requested again in the same millisecond.
        if (now - reportRequestedNanos < MIN_REPORT_INTERVAL_NANOS) return
        reportRequestedNanos = now
        callInFlight = true
        port.report(state.id, state.record.address) { report ->
            callInFlight = false
            if (report == null) waitUntilNanos = rights.now() + BASE_POLL_NANOS else applyReport(rights.now(), report)
            stepAgain()
        }
    }

    private fun applyReport(now: Long, report: EndpointReport) {
        reportedStartMillis = report.startedEpochMillis
        logEvent("report", mapOf("endpoint" to state.id.name, "accepted" to report.accepted, "busy" to report.busy))
        if (report.busy) {
            // A base model takes much longer to load than an adapter.
            waitUntilNanos = now + if (report.held.isEmpty()) BASE_POLL_NANOS else POLL_NANOS
            return
        }
        acceptedOrders = report.accepted
        val held = report.held.firstOrNull()
        base = held?.base
        val previousSlots = HashMap(slots)
        slots.clear()
        for ((adapter, version) in held?.adapters.orEmpty()) {
            slots[adapter] = AdapterSlot(version, Phase.READY, now, previousSlots[adapter]?.lastUsedNanos ?: now)
        }
        for ((adapter, version) in report.incoming.flatMap { it.adapters.entries }) {
            slots[adapter] = AdapterSlot(version, Phase.LOADING, now + POLL_NANOS, now).also { it.acceptedNanos = now }
        }
    }

    // A registration may be older or newer than the last report. Only a start time that differs from both the last
    // registration and the last report means a restart.
    private fun detectRestart() {
        val start = state.record.startedEpochMillis
        if (start == registeredStartMillis) return
        registeredStartMillis = start
        if (start == reportedStartMillis) return
        slots.clear()
        base = null
        acceptedOrders = null
    }

    private fun expireRequests(now: Long) {
        for ((adapter, request) in loadRequests.entries.toList()) {
            if (now >= request.untilNanos) finishRequest(adapter, request.version, "too_late")
        }
    }

    private fun finishRequest(adapter: String, version: Int?, reason: String?) {
        val request = loadRequests.remove(adapter) ?: return
        for (daemon in request.daemons) onEnd(daemon, ServingMessage.LoadEnd(state.id.name, adapter, version, reason))
    }

    private fun orderFields(order: EndpointOrder, end: OrderEnd): Map<String, Any?> = mapOf(
        "endpoint" to order.endpoint.name,
        "load" to order.load,
        "adapter" to order.adapter,
        "version" to order.version,
        "expected" to order.expected,
        "token" to order.token,
        "end" to end.name.lowercase(),
    )

    private companion object {
        // Assumed load times: 250 ms for an adapter while few loads are in flight, a tenth of that if it was held
        // recently, and seconds for a base model.
        const val QUICK_LOAD_NANOS = 40_000_000L
        const val FULL_LOAD_NANOS = 245_000_000L
        const val POLL_NANOS = 28_000_000L
        const val BASE_POLL_NANOS = 300_000_000L

        // Each report costs the endpoint a call and lags behind its state, so more frequent reads show nothing new.
        const val MIN_REPORT_INTERVAL_NANOS = 100_000_000L

        // Assumed maximum lag of a report; one that is read earlier may not show the last order.
        const val REPORT_LAG_NANOS = 400_000_000L

        // Keeps an adapter until the requests that waited for it have been sent.
        const val MIN_RESIDENT_NANOS = 250_000_000L

        // Maximum number of adapter loads that one endpoint accepts at once. Eight loads over the fleet run at full
        // speed and more slow each other down in proportion, so a smaller limit would not make loads faster.
        const val MAX_CONCURRENT_LOADS = 4
    }
}
