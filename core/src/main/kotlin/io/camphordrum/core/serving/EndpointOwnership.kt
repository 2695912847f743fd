package io.camphordrum.core.serving

import io.camphordrum.core.EndpointId
import io.camphordrum.core.Rendezvous

/**
 * Manages the adapters of the endpoints that this daemon owns, and requests loads at other endpoints from their owners.
 *
 * The owner of an endpoint is the daemon that holds its stored order right; live daemons of its data centre are
 * preferred. The residency package determines owners in another way, from the generation of the members.
 */
internal class EndpointOwnership(
    private val context: ServingContext,
    private val rights: OrderRights,
    private val startedNanos: Long,
    private val hasCurrentView: (now: Long) -> Boolean,
    private val queuedTokensByRank: (EndpointId) -> Map<Int, Int>,
) {
    private val registry = context.registry
    private val peers = context.peers
    private val managers = HashMap<EndpointId, AdapterManager>()
    private val waits = LoadWaits()
    private val baseLoadBudget = BaseLoadBudget(context.options, peers)

    // Live daemons, and the preferred owner of each endpoint among them.
    private var candidates = emptyList<RegisteredDaemon>()
    private val preferredOwners = HashMap<EndpointId, RegisteredDaemon>()

    // When this daemon requested a load, by endpoint and adapter.
    private val loadRequestedNanos = HashMap<Pair<String, String>, Long>()

    /** Moving average of the time from a load request of this daemon to the loaded adapter, in milliseconds. */
    var loadMillis = INITIAL_LOAD_MILLIS
        private set
    private var lastClaimNanos = Long.MIN_VALUE / 2

    val count: Int get() = managers.size

    fun owns(id: EndpointId): Boolean = id in managers

    /** Returns the state of the owned endpoints that have given a report. */
    fun ownedEndpoints(): List<OwnedEndpoint> =
        managers.filterValues { it.hasReport }.map { (id, manager) -> ownedEndpoint(id, manager) }

    /** Claims and settles rights, and sends the orders that are due. */
    fun tick(now: Long) {
        waits.expire(now)
        loadRequestedNanos.values.removeAll { now - it > MAX_LOAD_REQUEST_AGE_NANOS }
        if (now - lastClaimNanos >= CLAIM_NANOS) {
            lastClaimNanos = now
            claimRights(now)
        }
        for ((id, manager) in managers.entries.toList()) registry.get(id)?.let { step(now, it, manager) }
    }

    /** Handles a load request of the daemon [from]. */
    fun receiveLoadAsk(now: Long, from: String, ask: ServingMessage.LoadAsk) {
        val id = EndpointId(ask.endpoint)
        val manager = managers[id]
        val refusal = when {
            manager == null -> "not_owner"
            !rights.usable(now, id) -> "no_usable_right"
            else -> null
        }
        if (manager == null || refusal != null) {
            sendLoadEnd(from, ServingMessage.LoadEnd(ask.endpoint, ask.adapter, ask.version, refusal))
        } else {
            manager.addRequest(now, from, ask)
            registry.get(id)?.let { step(now, it, manager) }
        }
    }

    /** Requests the adapter of [work] at [endpoint]; calling the result cancels the wait. */
    fun awaitAdapter(now: Long, work: Work, endpoint: EndpointId, onEnd: (Boolean) -> Unit): () -> Unit {
        val state = registry.get(endpoint)
        val adapter = work.adapter
        val base = work.base
        if (state == null || adapter == null || base == null) {
            onEnd(false)
            return {}
        }
        val waitMillis = minOf(LOAD_WAIT_MILLIS, (work.deadlineNanos - now) / OrderRights.NANOS_PER_MILLI)
        val first = waits.add(endpoint.name, adapter, now + waitMillis * OrderRights.NANOS_PER_MILLI, onEnd)
        if (first) {
            val ask = ServingMessage.LoadAsk(
                endpoint.name,
                base,
                adapter,
                registry.announcedVersion(base, adapter),
                waitMillis,
            )
            state.ownerQueuedLoads++
            loadRequestedNanos[endpoint.name to adapter] = now
            if (owns(endpoint)) {
                receiveLoadAsk(now, context.self.name, ask)
            } else if (!context.send(state.owner, ask)) {
                receiveLoadEnd(ServingMessage.LoadEnd(ask.endpoint, ask.adapter, ask.version, "no_owner"))
            }
        }
        return { waits.cancel(endpoint.name, adapter, onEnd) }
    }

    /** Handles the result of a load request of this daemon. */
    fun receiveLoadEnd(end: ServingMessage.LoadEnd) {
        val requestedNanos = loadRequestedNanos.remove(end.endpoint to end.adapter)
        if (requestedNanos != null && end.reason == null) recordLoadTime((rights.now() - requestedNanos) / 1e6)
        val state = registry.get(EndpointId(end.endpoint))
        if (state != null) {
            state.ownerQueuedLoads = maxOf(0, state.ownerQueuedLoads - 1)
            if (end.reason == null) state.held.values.singleOrNull()?.set(end.adapter, end.version ?: 0)
        }
        waits.end(end.endpoint, end.adapter, end.reason == null)
    }

    private fun recordLoadTime(millis: Double) {
        val observed = millis.coerceIn(MIN_LOAD_MILLIS, LOAD_WAIT_MILLIS.toDouble())
        loadMillis += LOAD_WEIGHT * (observed - loadMillis)
    }

    /** Sets this daemon as the owner of its endpoints again after a former owner has reported them. */
    fun reassert() {
        for (id in managers.keys) registry.get(id)?.owner = context.self.name
    }

    /**
     * Removes an endpoint that no longer exists.
     *
     * Its right is kept, because the record may reappear and a fencing token must never decrease.
     */
    fun remove(id: EndpointId) {
        preferredOwners.remove(id)
        managers.remove(id)
    }

    fun leave() {
        rights.releaseAll()
        managers.clear()
    }

    private fun sendLoadEnd(daemon: String, end: ServingMessage.LoadEnd) {
        if (daemon == context.self.name) receiveLoadEnd(end) else context.send(daemon, end)
    }

    private fun claimRights(now: Long) {
        val engines = registry.all.filter { context.engine(it) != null && it.missingSinceNanos == null }
        if (engines.isEmpty()) return
        rights.markSettled(now)
        val ready = now - startedNanos > SETTLE_NANOS
        val live = peers.liveDaemons(now)
        if (live != candidates) {
            candidates = live
            preferredOwners.clear()
        }
        // A daemon that is the preferred owner of no endpoint and holds no right does not need to read the rights.
        val idle = rights.heldEndpoints.isEmpty()
        val needsRights =
            !idle || !rights.wereRead || engines.any { preferredOwner(it)?.member?.instance == context.self }
        val intervalNanos = if (rights.lastReadFailed) RETRY_READ_NANOS else READ_NANOS
        if (needsRights && rights.readOlderThan(now, intervalNanos)) rights.refresh(now)
        for (state in engines) {
            val preferred = ready && preferredOwner(state)?.member?.instance == context.self && !state.isBackingOff(now)
            rights.claim(now, state.id, preferred) { machine -> isHolderLive(now, machine) }
        }
        for (id in rights.heldEndpoints) if (id !in managers) registry.get(id)?.let { managers[id] = createManager(it) }
        managers.keys.retainAll(rights.heldEndpoints)
    }

    private fun preferredOwner(state: EndpointState): RegisteredDaemon? = preferredOwners.getOrPut(state.id) {
        val nearby = candidates.filter { it.dataCentre == state.record.dataCentre }.ifEmpty { candidates }
        Rendezvous.first(state.id.name, nearby) { it.member.instance.name } ?: return null
    }

    // No notices arrive from a partitioned data centre, but its daemons go on serving their endpoints. Therefore the
    // timeout for another data centre is longer.
    private fun isHolderLive(now: Long, machine: String): Boolean {
        val daemon = peers.others.firstOrNull { it.machine == machine } ?: return false
        // A daemon that lost its relay receives nothing, which does not show that the holder is dead.
        if (peers.usesRelays && !hasCurrentView(now)) return true
        val sameDataCentre = daemon.dataCentre == context.options.dataCentre
        val localTimeoutNanos = if (peers.usesRelays) RELAYED_TIMEOUT_NANOS else LOCAL_TIMEOUT_NANOS
        return peers.silenceNanos(now, daemon.member.instance.name) <
            if (sameDataCentre) localTimeoutNanos else REMOTE_TIMEOUT_NANOS
    }

    private fun createManager(state: EndpointState): AdapterManager {
        context.ports.logEvent("right_taken", mapOf("endpoint" to state.id.name, "token" to rights.token(state.id)))
        state.owner = context.self.name
        lateinit var manager: AdapterManager
        manager = AdapterManager(
            state,
            rights,
            context.ports.orders,
            { base, adapter -> registry.announcedVersion(base, adapter) },
            ::sendLoadEnd,
            context.ports.logEvent,
            { baseLoadBudget.tryAcquire(it, context.engine(state)?.loadsPerSecond ?: 0.0) },
        ) { if (managers[state.id] === manager) step(rights.now(), state, manager) }
        return manager
    }

    private fun step(now: Long, state: EndpointState, manager: AdapterManager) {
        val engine = context.engine(state) ?: return
        if (!registry.mayServe(state)) return
        manager.step(now, engine)
        state.ownerMayOrder = manager.hasReport && rights.usable(now, state.id)
        if (manager.hasReport) registry.applyOwned(now, state, context.self.name, ownedEndpoint(state.id, manager))
    }

    private fun ownedEndpoint(id: EndpointId, manager: AdapterManager): OwnedEndpoint {
        val queuedByRank = queuedTokensByRank(id)
        return manager.toOwnedEndpoint().copy(
            queuedTokens = queuedByRank.values.sum(),
            queuedByRank = queuedByRank,
            mayOrder = rights.usable(rights.now(), id),
            slowness = registry.get(id)?.let { Math.round(it.slowness * SLOWNESS_STEPS) / SLOWNESS_STEPS } ?: 1.0,
        )
    }

    private companion object {
        // Published in steps, so that small changes cause no messages.
        const val SLOWNESS_STEPS = 8.0

        // Maximum wait for a load, enough for three loads from the weight store.
        const val LOAD_WAIT_MILLIS = 800L

        // Estimate before the first load has been observed.
        const val INITIAL_LOAD_MILLIS = 260.0
        const val MIN_LOAD_MILLIS = 150.0
        const val LOAD_WEIGHT = 0.1

        // Daemons that start at the same time need this long to receive notices from each other.
        const val SETTLE_NANOS = 3_000_000_000L

        // Six notices within the data centre; for another data centre, longer than the expected partitions.
        const val LOCAL_TIMEOUT_NANOS = 1_600_000_000L
        const val REMOTE_TIMEOUT_NANOS = 9_000_000_000L

        // Longer than 1.3 s until the loss of a relay is detected and 0.5 s until its daemons are heard from again.
        const val RELAYED_TIMEOUT_NANOS = 2_400_000_000L

        const val MAX_LOAD_REQUEST_AGE_NANOS = 5_000_000_000L

        // Rights change hands when a daemon is lost, which is detected after more than a second.
        const val CLAIM_NANOS = 100_000_000L

        // Leaves half a second of the validity of a right of 2.5 s for the answer of a slow store.
        const val READ_NANOS = 2_000_000_000L
        const val RETRY_READ_NANOS = 1_200_000_000L
    }
}
