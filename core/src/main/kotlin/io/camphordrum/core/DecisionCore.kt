package io.camphordrum.core

import io.camphordrum.core.config.Change
import io.camphordrum.core.config.ConfigMessage
import io.camphordrum.core.config.DataCentreState
import io.camphordrum.core.config.ReadOutcome
import io.camphordrum.core.config.Snapshot
import io.camphordrum.core.limits.Admission
import io.camphordrum.core.limits.AllotmentRecord
import io.camphordrum.core.limits.ShareEffect
import io.camphordrum.core.limits.ShareHolder
import io.camphordrum.core.limits.ShareMessage
import io.camphordrum.core.membership.Membership
import io.camphordrum.core.membership.MembershipEffect
import io.camphordrum.core.membership.MembershipMessage
import io.camphordrum.core.membership.MembershipRecord
import io.camphordrum.core.once.AttemptId
import io.camphordrum.core.once.ClaimEffect
import io.camphordrum.core.once.ClaimLedger
import io.camphordrum.core.once.ClaimShard
import io.camphordrum.core.once.ClaimShardId
import io.camphordrum.core.request.RequestEffect
import io.camphordrum.core.request.RequestFlow
import io.camphordrum.core.request.TicketDenial
import io.camphordrum.core.request.TicketGrant
import io.camphordrum.core.residency.EndpointOwner
import io.camphordrum.core.residency.LoadReport
import io.camphordrum.core.residency.OrderOutcome
import io.camphordrum.core.residency.OwnerEffect
import io.camphordrum.core.residency.ResidencyMessage
import io.camphordrum.core.residency.Router
import io.camphordrum.core.residency.TicketMessage
import kotlinx.serialization.StringFormat

/**
 * Makes every decision of one daemon.
 *
 * It connects the subsystems: effects of one subsystem are passed to another or returned as [CoreEffect]s. It does no
 * I/O, uses no threads and derives all randomness from [CoreOptions.seed], so that the daemon, tests and benchmarks
 * run the same code. All functions must be called from one thread.
 *
 * ```kotlin
 * val effects = core.requestReceived(clock.nanos(), request)
 * ```
 *
 * @param format serialization format of configuration objects in the platform's store.
 */
public class DecisionCore(private val options: CoreOptions, clock: Clock, format: StringFormat) {
    private val self = options.self
    private val directory = Directory(self)
    private val membership = Membership(self, options.dataCentre, options.peerAddress, options.seed)
    private val claims = ClaimLedger(clock::epochMillis)
    private val table = EndpointTable(self, options.dataCentre, options.region, ::createOwner)
    private val router = Router(reachable = { tickets.isReachable(it) })
    private val out = ArrayList<CoreEffect>()
    private val config = Configuration(options, format, directory, out::add, ::configInstalled)
    private val tickets: TicketExchange = TicketExchange(options, directory, table, router, LocalListener(), out::add)
    private var shares: ShareHolder? = null
    private var flow: RequestFlow? = null
    private var leaving = false

    /** Number of requests that have no final answer yet. */
    public val openRequests: Int get() = flow?.openRequests ?: 0

    /** Configuration in force, or null before the first is known. */
    public val configuration: Snapshot? get() = config.snapshot

    /** Whether this instance is a live member of the newest known generation of its data centre. */
    public val joined: Boolean get() = membership.generation?.live?.contains(self) == true

    /** Handles a request of a caller. */
    public fun requestReceived(now: Long, request: CallerRequest): List<CoreEffect> = collect {
        val flow = flow
        if (flow == null) {
            val refusal = Refusal(RefusalCode.UNAVAILABLE, "no configuration yet", retryAfterMillis = 1_000)
            out += CoreEffect.Refuse(request.id, refusal)
        } else {
            applyRequests(now, flow.requestArrived(now, request))
        }
    }

    /** Handles the disconnection of a request's caller. */
    public fun requestCancelled(now: Long, request: Long): List<CoreEffect> =
        collect { withFlow { applyRequests(now, it.callerDisconnected(now, request)) } }

    /** Handles the end of a dispatch. */
    public fun dispatchEnded(now: Long, request: Long, dispatch: String, end: DispatchEnd): List<CoreEffect> =
        collect { withFlow { applyRequests(now, it.dispatchEnded(now, request, dispatch, end)) } }

    /** Handles a load report of an owned endpoint; null when the report could not be read. */
    public fun loadReported(now: Long, endpoint: EndpointId, report: LoadReport?): List<CoreEffect> = collect {
        if (report != null) {
            table.owner(endpoint)?.let { tickets.applyOwner(now, endpoint, it.receiveReport(now, report)) }
        }
    }

    /** Handles the outcome of an order to an endpoint. */
    public fun orderEnded(now: Long, endpoint: EndpointId, order: Long, outcome: OrderOutcome): List<CoreEffect> =
        collect { table.owner(endpoint)?.let { tickets.applyOwner(now, endpoint, it.closeOrder(now, order, outcome)) } }

    /** Returns whether an order may still be sent; to be checked right before sending. */
    public fun maySendOrder(now: Long, order: OwnerEffect.Order): Boolean =
        now - order.sendBeforeNanos < 0 && membership.holds(now, order.endpoint)

    /** Handles a list of endpoints from the platform. */
    public fun endpointsListed(now: Long, endpoints: List<ListedEndpoint>): List<CoreEffect> = collect {
        table.replaceEndpoints(endpoints)
        refresh(now)
    }

    /** Handles a membership message from a peer in the same data centre. */
    public fun receive(now: Long, from: Member, message: MembershipMessage): List<CoreEffect> =
        collect { applyMembership(now, membership.receive(now, from, message)) }

    /** Handles a message about shares. */
    public fun receive(now: Long, from: Member, message: ShareMessage): List<CoreEffect> =
        collect { shares?.let { applyShares(it.receive(now, from, message)) } }

    /** Handles a message about the configuration. */
    public fun receive(now: Long, from: Member, message: ConfigMessage): List<CoreEffect> =
        collect { config.receive(now, from, message) }

    /** Handles a residency message; digests count only if [from] owns their endpoint. */
    public fun receive(now: Long, from: Member, message: ResidencyMessage): List<CoreEffect> = collect {
        if (message is ResidencyMessage.Digest && tickets.isOwner(from, message.endpoint)) router.receive(now, message)
    }

    /** Handles a message about tickets. */
    public fun receive(now: Long, from: Member, message: TicketMessage): List<CoreEffect> =
        collect { tickets.receive(now, from, message) }

    /** Handles the establishment of a connection to [peer]. */
    public fun peerUp(peer: Member, address: String): List<CoreEffect> = collect {
        directory.recordAddress(peer, address)
        directory.markUp(address)
    }

    /** Handles the event that the peer at [address] cannot be reached. */
    public fun peerDown(now: Long, address: String): List<CoreEffect> = collect {
        directory.markDown(address)
        withFlow { flow -> applyRequests(now, flow.retryUnreachable(now) { !tickets.isReachable(it) }) }
    }

    /** Handles the membership record of [dataCentre], which a read sent to the platform at [sentAt] returned. */
    public fun membershipRead(
        now: Long,
        sentAt: Long,
        dataCentre: DataCentreId,
        record: MembershipRecord?,
        version: Long,
    ): List<CoreEffect> = collect {
        if (dataCentre == options.dataCentre) {
            applyMembership(now, membership.storeRead(now, sentAt, record, version))
        } else if (record != null && recordGeneration(record.generation)) {
            refresh(now)
        }
    }

    /** Handles a failed read of the membership record of this instance's data centre. */
    public fun membershipReadFailed(now: Long): List<CoreEffect> =
        collect { applyMembership(now, membership.storeReadFailed(now)) }

    /** Handles the outcome of a write of the membership record. */
    public fun membershipWritten(now: Long, outcome: WriteOutcome): List<CoreEffect> =
        collect { applyMembership(now, membership.storeWritten(now, outcome)) }

    /** Handles a read of the allotments of the limits to data centres. */
    public fun allotmentsRead(now: Long, record: AllotmentRecord?, version: Long): List<CoreEffect> =
        collect { shares?.let { applyShares(it.allotmentsRead(now, record, version)) } }

    /** Handles the outcome of a write of the allotments. */
    public fun allotmentsWritten(now: Long, outcome: WriteOutcome): List<CoreEffect> =
        collect { shares?.let { applyShares(it.allotmentsWritten(now, outcome)) } }

    /** Handles a read of an object of claims. */
    public fun claimsRead(now: Long, id: ClaimShardId, value: ClaimShard?, version: Long): List<CoreEffect> =
        collect { applyClaims(now, claims.storeRead(now, id, value, version)) }

    /** Handles a failed read of an object of claims. */
    public fun claimsReadFailed(now: Long, id: ClaimShardId): List<CoreEffect> =
        collect { applyClaims(now, claims.storeReadFailed(now, id)) }

    /** Handles the outcome of a write of an object of claims. */
    public fun claimsWritten(now: Long, id: ClaimShardId, outcome: WriteOutcome): List<CoreEffect> =
        collect { applyClaims(now, claims.storeWritten(now, id, outcome)) }

    /** Handles the outcome of a read of a configuration object. */
    public fun configRead(now: Long, request: Long, outcome: ReadOutcome): List<CoreEffect> =
        collect { config.objectRead(now, request, outcome) }

    /** Handles the outcome of a write of a configuration object. */
    public fun configWritten(now: Long, request: Long, outcome: WriteOutcome): List<CoreEffect> =
        collect { config.objectWritten(now, request, outcome) }

    /** Reads the newest configuration revision from the platform. */
    public fun loadConfiguration(now: Long): List<CoreEffect> = collect { config.load(now) }

    /** Submits an operator's change. */
    public fun submit(now: Long, change: Change): List<CoreEffect> = collect { config.submit(now, change) }

    /** Reads the newest [limit] change records. */
    public fun history(now: Long, query: Long, limit: Int): List<CoreEffect> =
        collect { config.history(now, query, limit) }

    /** Handles an operator's statement that [instance] has ended and cannot act again. */
    public fun declareGone(now: Long, instance: InstanceId): List<CoreEffect> =
        collect { applyMembership(now, membership.declareGone(now, instance)) }

    /** Stops accepting new requests. */
    public fun drain() {
        flow?.drain()
    }

    /** Hands over shares and endpoints and leaves the generation; completed by [CoreEffect.Left]. */
    public fun leave(now: Long): List<CoreEffect> = collect {
        leaving = true
        for (owner in table.owned.toList()) tickets.applyOwner(now, owner.endpoint, owner.leave(now))
        shares?.let { applyShares(it.release(now)) }
        leaveWhenReleased(now)
    }

    /** Performs the actions that are due at [now]; to be called every 10 ms. */
    public fun tick(now: Long): List<CoreEffect> = collect {
        applyMembership(now, membership.tick(now))
        shares?.let { applyShares(it.tick(now)) }
        tickets.tick(now)
        withFlow { applyRequests(now, it.tick(now)) }
        applyClaims(now, claims.tick(now))
        config.tick(now)
        if (leaving) leaveWhenReleased(now)
    }

    /** Returns the state for operators. */
    public fun status(now: Long): CoreStatus = CoreStatus(
        instance = self.instance.name,
        incarnation = self.incarnation,
        dataCentre = options.dataCentre.name,
        revision = configuration?.revision ?: 0,
        generation = membership.generation?.number ?: 0,
        leaseValid = membership.leaseValid(now),
        openRequests = openRequests,
        members = directory.liveNames(),
        owned = table.owned.map(::endpointStatus),
        parts = configuration?.limits()?.keys.orEmpty().associate { it.name to (shares?.parts(it) ?: 0) },
    )

    private fun leaveWhenReleased(now: Long) {
        if (shares?.released != false && table.owned.all { it.idle }) applyMembership(now, membership.leave(now))
    }

    private fun createOwner(now: Long, endpoint: ListedEndpoint, generation: Generation): EndpointOwner {
        val base = endpoint.base
        return EndpointOwner(
            endpoint = endpoint.id,
            fencing = generation.number,
            startNanos = now,
            fenced = endpoint.fencing,
            leaseValid = { membership.holds(it, endpoint.id) },
            acquireLoadUnit = { base != null && admitLoad(it, base) },
            weight = { config.snapshot?.limits()?.get(it)?.tokensPerSecond ?: 1 },
            supportsAdapters = base != null,
        )
    }

    private fun admitLoad(now: Long, base: BaseModelId): Boolean {
        if (config.snapshot?.loadBudgets()?.containsKey(base) != true) return true
        return shares?.admit(now, loadAccount(base), 1) == Admission.Granted
    }

    private fun applyRequests(now: Long, effects: List<RequestEffect>) {
        for (effect in effects) {
            when (effect) {
                is RequestEffect.Refuse -> out += CoreEffect.Refuse(effect.request, effect.refusal)
                is RequestEffect.Answer -> out += CoreEffect.Answer(effect.request, effect.answer)
                is RequestEffect.Dispatch -> out += CoreEffect.Dispatch(effect.order)
                is RequestEffect.Close -> out += CoreEffect.Close(effect.request)
                is RequestEffect.CancelDispatch -> out += CoreEffect.CancelDispatch(effect.request)
                is RequestEffect.RequestTicket -> tickets.request(now, effect)
                is RequestEffect.FinishTicket -> tickets.finish(now, effect)
                is RequestEffect.Claim -> {
                    val attempt = AttemptId("$self/${effect.request}")
                    applyClaims(now, claims.claim(now, effect.key, effect.fingerprint, attempt))
                }
                is RequestEffect.ReleaseClaim -> applyClaims(now, claims.release(now, effect.key))
                is RequestEffect.CompleteClaim -> applyClaims(now, claims.complete(now, effect.key, effect.answer))
            }
        }
    }

    private fun applyClaims(now: Long, effects: List<ClaimEffect>) {
        for (effect in effects) {
            when (effect) {
                is ClaimEffect.ReadShard -> out += CoreEffect.ReadClaims(effect.id)
                is ClaimEffect.WriteShard ->
                    out += CoreEffect.WriteClaims(effect.id, effect.value, effect.expectedVersion)
                is ClaimEffect.Decision -> withFlow {
                    val request = effect.attempt.name.substringAfterLast('/').toLong()
                    applyRequests(now, it.claimAnswered(now, request, claimAnswer(effect)))
                }
            }
        }
    }

    private fun applyMembership(now: Long, effects: List<MembershipEffect>) {
        for (effect in effects) {
            when (effect) {
                is MembershipEffect.Send ->
                    directory.address(effect.to)?.let { out += CoreEffect.SendMembership(it, effect.message) }
                MembershipEffect.ReadStore -> out += CoreEffect.ReadMembership(options.dataCentre)
                is MembershipEffect.WriteStore ->
                    out += CoreEffect.WriteMembership(options.dataCentre, effect.record, effect.expectedVersion)
                is MembershipEffect.GenerationChanged -> applyGeneration(now, effect.generation)
                is MembershipEffect.RevisionSeen ->
                    config.receive(now, effect.from, ConfigMessage.Notice(effect.revision))
                MembershipEffect.Left -> out += CoreEffect.Left
                is MembershipEffect.Superseded -> out += CoreEffect.Superseded(effect.by)
            }
        }
    }

    // Returns whether the generation is newer than the known one. Connections to members it no longer lists are closed.
    private fun recordGeneration(generation: Generation): Boolean {
        val removedAddresses = directory.recordGeneration(generation) ?: return false
        for (address in removedAddresses) out += CoreEffect.ClosePeer(address)
        return true
    }

    private fun applyGeneration(now: Long, generation: Generation) {
        recordGeneration(generation)
        out += CoreEffect.GenerationInForce(generation)
        shares?.let { applyShares(it.onGeneration(now, generation)) }
        refresh(now)
    }

    private fun applyShares(effects: List<ShareEffect>) {
        for (effect in effects) shareEffect(effect, directory)?.let(out::add)
    }

    private fun configInstalled(now: Long, config: Snapshot) {
        membership.updateConfigRevision(config.revision)
        val holder = shares ?: createShares(now, config)
        holder.configure(now, effectiveLimits(config))
        if (flow == null) flow = createFlow(holder)
        refresh(now)
        withFlow { applyRequests(now, it.configurationChanged(now)) }
    }

    private fun createShares(now: Long, config: Snapshot): ShareHolder {
        val dataCentres = config.dataCentres().keys.sorted().ifEmpty { listOf(options.dataCentre) }
        val holder = ShareHolder(self, dataCentres, membership::leaseValid)
        shares = holder
        holder.configure(now, effectiveLimits(config))
        membership.generation?.let { applyShares(holder.onGeneration(now, it)) }
        return holder
    }

    private fun createFlow(holder: ShareHolder) = RequestFlow(
        self = self,
        snapshot = { config.snapshot },
        stale = config::isStale,
        shares = holder,
        router = router,
        address = { table[it]?.address },
    )

    /** Updates routes, owners and peers after a change of the endpoint list, the generation or the configuration. */
    private fun refresh(now: Long) {
        val snapshot = config.snapshot
        router.replaceEndpoints(now, table.routable(snapshot))
        val drained = snapshot?.dataCentres().orEmpty().filterValues { it.state == DataCentreState.DRAINED }.keys
        router.replaceDrained(now, drained)
        config.updatePeers(directory.liveMembers())
        val generation = membership.generation ?: return
        table.sync(now, generation, snapshot, options.dataCentre in drained) { id, effects ->
            tickets.applyOwner(now, id, effects)
        }
        withFlow { flow -> applyRequests(now, flow.retryUnreachable(now) { !tickets.isReachable(it) }) }
    }

    private inner class LocalListener : TicketListener {
        override fun granted(now: Long, request: Long, grant: TicketGrant) {
            withFlow { applyRequests(now, it.ticketGranted(now, request, grant)) }
        }

        override fun denied(now: Long, request: Long, denial: TicketDenial) {
            withFlow { applyRequests(now, it.ticketDenied(now, request, denial)) }
        }
    }

    private inline fun withFlow(step: (RequestFlow) -> Unit) {
        flow?.let(step)
    }

    private inline fun collect(step: () -> Unit): List<CoreEffect> {
        out.clear()
        step()
        return ArrayList(out)
    }
}
