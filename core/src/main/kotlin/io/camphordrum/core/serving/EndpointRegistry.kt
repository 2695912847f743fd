package io.camphordrum.core.serving

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Member

/**
 * Tracks all endpoints from their registrations, the notices of their owners and their own answers.
 *
 * An endpoint whose record disappeared while the store was unreachable is kept until [MISSING_GRACE_NANOS] after the
 * store answers again. Any other endpoint without a record is removed at once.
 */
internal class EndpointRegistry(private val options: ServingOptions, private val peers: PeerTable) {
    /** Receives the requests that another daemon, or all those behind a relay, have at an endpoint. */
    var onPeerLoad: (now: Long, state: EndpointState, load: EndpointLoad) -> Unit = { _, _, _ -> }

    private var firstRecordNanos: Long? = null
    private val states = LinkedHashMap<EndpointId, EndpointState>()
    private val versions = HashMap<Pair<String, String>, Int>()
    private var closedDataCentres = emptySet<DataCentreId>()

    // Start times of endpoints that announced that they are leaving. A record that reappears with the same start time
    // must not bring the endpoint back.
    private val leavingStarts = LinkedHashMap<EndpointId, Long>()

    val all: Collection<EndpointState> get() = states.values

    fun get(id: EndpointId): EndpointState? = states[id]

    /**
     * Replaces all records and returns the removed endpoints.
     *
     * @param afterGap whether records may have expired while the store was unreachable.
     * @param reachableSinceNanos since when the store has been reachable again; the grace period starts there.
     */
    fun replace(
        now: Long,
        records: Collection<EndpointRecord>,
        afterGap: Boolean,
        reachableSinceNanos: Long = now,
    ): List<EndpointId> {
        val registeredIds = records.mapTo(HashSet()) { it.id }
        val removed = ArrayList<EndpointId>()
        for (state in states.values) {
            if (state.id in registeredIds) continue
            if (afterGap && now - reachableSinceNanos <= MISSING_GRACE_NANOS) {
                state.missingSinceNanos = state.missingSinceNanos ?: reachableSinceNanos
            } else {
                removed += state.id
            }
        }
        removed.forEach(::remove)
        records.forEach { put(now, it) }
        return removed
    }

    fun put(now: Long, record: EndpointRecord) {
        val existing = states[record.id]
        val state = existing ?: EndpointState(record).also { states[record.id] = it }
        val restarted = existing != null && existing.record.startedEpochMillis != record.startedEpochMillis
        state.missingSinceNanos = null
        state.record = record
        val firstNanos = firstRecordNanos ?: now.also { firstRecordNanos = it }
        if (existing == null && now - firstNanos > FIRST_RECORDS_NANOS) state.facts.markStarting(now)
        state.coldUntilNanos =
            if (record.coldMillis > 0) now + record.coldMillis * 1_000_000 else minOf(state.coldUntilNanos, now)
        if (restarted) {
            state.held.clear()
            state.facts.restart(now)
            state.announcedLimit.reset()
        }
        val ownerReports = state.owner != null && now - state.ownerReportedNanos < ownerTimeoutNanos
        if (!ownerReports || restarted || existing == null) {
            state.held.clear()
            for (model in record.held) state.held[model.base] = HashMap(model.adapters)
        } else {
            // The owner's notices are more recent for adapters; base models change rarely and are registered at once.
            state.held.keys.retainAll(record.held.mapTo(HashSet()) { it.base })
            for (model in record.held) state.held.getOrPut(model.base) { HashMap(model.adapters) }
        }
    }

    fun markMissing(reachableSinceNanos: Long, id: EndpointId) {
        states[id]?.let { it.missingSinceNanos = it.missingSinceNanos ?: reachableSinceNanos }
    }

    fun remove(id: EndpointId) {
        states.remove(id)
    }

    /** Removes endpoints whose records are still missing after the grace period; returns them. */
    fun expire(now: Long): List<EndpointId> {
        val removed =
            states.values.filter { state -> state.missingSinceNanos?.let { now - it > MISSING_GRACE_NANOS } == true }
        removed.forEach { remove(it.id) }
        return removed.map { it.id }
    }

    fun closeDataCentres(dataCentres: Set<DataCentreId>) {
        closedDataCentres = dataCentres
    }

    fun announceVersions(announced: Map<Pair<String, String>, Int>) {
        for ((name, version) in announced) versions.merge(name, version, ::maxOf)
    }

    fun announcedVersion(base: String?, adapter: String?): Int? =
        if (base == null || adapter == null) null else versions[base to adapter]

    fun mayServe(state: EndpointState): Boolean = !state.record.draining &&
        state.record.dataCentre !in closedDataCentres &&
        leavingStarts[state.id] != state.record.startedEpochMillis

    fun usable(service: String, excluded: Set<EndpointId>): List<EndpointState> =
        states.values.filter { it.record.service == service && it.id !in excluded && mayServe(it) }

    /** Stops sends to [id] until it has restarted. */
    fun markLeaving(id: EndpointId) {
        val state = states[id] ?: return
        if (leavingStarts.size >= MAX_LEAVING_STARTS) leavingStarts.remove(leavingStarts.keys.first())
        leavingStarts[id] = state.record.startedEpochMillis
    }

    fun ownerReachable(now: Long, state: EndpointState): Boolean {
        val owner = state.owner ?: return false
        return owner == options.self.instance.name ||
            (now - state.ownerReportedNanos < ownerTimeoutNanos && peers.isLive(now, owner))
    }

    /** Returns the turns that the owner of a cold endpoint may grant in a second. */
    fun coldTurnsPerSecond(service: ServedService): Double =
        if (service.coldRequestsPerSecond <= 0) Double.MAX_VALUE else OWNER_COLD_PART * coldBound(service)

    /**
     * Returns the requests that this daemon may send to the cold endpoint [state] in a second.
     *
     * While the owner of an engine is reachable, its turns bound the requests. Otherwise the part of the bound that is
     * not reserved for the owner is divided with [PeerTable.evenShare]. Plain services need permits instead.
     */
    fun coldSendsPerSecond(now: Long, state: EndpointState, service: ServedService): Double {
        if (service.coldRequestsPerSecond <= 0 || service.engine == null) return Double.MAX_VALUE
        if (ownerReachable(now, state)) return Double.MAX_VALUE
        return peers.evenShare(now, state.id.name, OWNERLESS_COLD_PART * coldBound(service))
    }

    /** Returns the permits a second at the cold endpoint [state] of a plain service; null if none are needed. */
    fun coldPermitsPerSecond(now: Long, state: EndpointState, service: ServedService): Double? {
        if (service.coldRequestsPerSecond <= 0 || service.engine != null || now >= state.coldUntilNanos) return null
        return PermitBucket.rateFor(PLAIN_COLD_PART * coldBound(service))
    }

    private fun coldBound(service: ServedService): Double =
        service.coldRequestsPerSecond * options.coldFactor + options.coldSlack

    /**
     * Returns whether this daemon may have one more request in flight at [state].
     *
     * Its even share of the connections is always available. While the other daemons use few, it may use several times
     * that share.
     */
    fun hasConnectionRoom(now: Long, state: EndpointState, service: ServedService): Boolean {
        val evenShare = maxOf(1, service.connectionLimit / peers.knownCount)
        if (state.openRequests < evenShare) return true
        val fleetRequests = state.runningEverywhere(now) + state.unansweredEverywhere(now)
        return state.openRequests < evenShare * MAX_CONNECTION_SHARES && fleetRequests < service.connectionLimit / 2
    }

    /** Applies what the daemon [from] reports about the endpoints that it owns and uses. */
    fun applyNotice(now: Long, from: Member, notice: ServingNotice) {
        val daemon = from.instance.name
        val loads = notice.load.associateBy { it.endpoint }
        val owned = notice.owned.associateBy { it.endpoint }
        for (state in states.values) {
            recordPeerLoad(now, state, daemon, loads[state.id.name])
            val reported = owned[state.id.name]
            if (reported == null) {
                if (state.owner == daemon) state.owner = null
                continue
            }
            applyOwned(now, state, daemon, reported)
        }
    }

    /** Applies the digest of the relay [from]; [ownLoad] is the contribution of this daemon to [load]. */
    fun applyDigest(
        now: Long,
        from: String,
        load: Map<String, EndpointLoad>,
        ownLoad: Map<String, EndpointLoad>,
        owned: List<OwnedBy>,
    ) {
        for (state in states.values) {
            recordPeerLoad(now, state, from, load[state.id.name]?.without(ownLoad[state.id.name]))
        }
        for (entry in owned) {
            val state = states[EndpointId(entry.endpoint.endpoint)] ?: continue
            if (entry.daemon != options.self.instance.name) applyOwned(now, state, entry.daemon, entry.endpoint)
        }
    }

    // What was observed is left as it is: the digest may hold this daemon's counts of another interval than [part].
    private fun EndpointLoad.without(part: EndpointLoad?): EndpointLoad = if (part == null) {
        this
    } else {
        copy(
            running = maxOf(0, running - part.running),
            unanswered = maxOf(0, unanswered - part.unanswered),
            pendingTokens = maxOf(0, pendingTokens - part.pendingTokens),
        )
    }

    private fun recordPeerLoad(now: Long, state: EndpointState, from: String, load: EndpointLoad?) {
        state.recordPeerLoad(now, from, load)
        if (load != null) onPeerLoad(now, state, load)
    }

    fun applyOwned(now: Long, state: EndpointState, daemon: String, reported: OwnedEndpoint) {
        state.owner = daemon
        state.ownerReportedNanos = now
        state.ownerQueuedLoads = reported.queuedLoads
        state.ownerMayOrder = reported.mayOrder
        state.queuedTurnTokens = reported.queuedTokens
        if (daemon != options.self.instance.name) state.slowness = reported.slowness
        val base = reported.base ?: return
        if (base in state.held) state.held[base] = HashMap(reported.adapters)
    }

    private val ownerTimeoutNanos: Long
        get() = if (peers.usesRelays) RELAYED_OWNER_TIMEOUT_NANOS else OWNER_TIMEOUT_NANOS

    private companion object {
        const val MISSING_GRACE_NANOS = 2_000_000_000L

        // The endpoints that are registered when this daemon starts are read within this time.
        const val FIRST_RECORDS_NANOS = 5_000_000_000L

        // Three notices between data centres.
        const val OWNER_TIMEOUT_NANOS = 1_600_000_000L

        // Three notices through relays, plus the time to replace a lost relay.
        const val RELAYED_OWNER_TIMEOUT_NANOS = 2_200_000_000L

        // Each part is below the bound, because requests sent in one second may arrive in another. The turns of an
        // owner plus the requests of daemons that cannot reach it also stay below the bound.
        const val OWNER_COLD_PART = 0.6
        const val OWNERLESS_COLD_PART = 0.25
        const val PLAIN_COLD_PART = 0.85

        // Even shares that one busy daemon may use while the fleet uses less than half of an endpoint's connections.
        const val MAX_CONNECTION_SHARES = 4
        const val MAX_LEAVING_STARTS = 1_024
    }
}
