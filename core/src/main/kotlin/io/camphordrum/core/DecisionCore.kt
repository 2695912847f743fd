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
 * It joins the subsystems: what one asks for is given to the other, and the rest comes out as [CoreEffect]s. It does
 * no I/O, uses no threads and takes all randomness from [CoreOptions.seed], so that the daemon, tests and benchmarks
 * drive the same code. All functions must be called from one thread.
 *
 * ```kotlin
 * val effects = core.arrive(clock.nanos(), request)
 * ```
 *
 * @param format the form of configuration objects in the platform's store.
 */
public class DecisionCore(private val options: CoreOptions, clock: Clock, format: StringFormat) {
    private val self = options.self
    private val directory = Directory(self)
    private val membership = Membership(self, options.dataCentre, options.peerAddress, options.seed)
    private val claims = ClaimLedger(clock::epochMillis)
    private val table = EndpointTable(self, options.dataCentre, options.region, ::newOwner)
    private val router = Router(reachable = { tickets.reachable(it) })
    private val out = ArrayList<CoreEffect>()
    private val config = Configuration(options, format, directory, out::add, ::installed)
    private val tickets: TicketExchange = TicketExchange(options, directory, table, router, OwnAnswers(), out::add)
    private var shares: ShareHolder? = null
    private var flow: RequestFlow? = null
    private var leaving = false

    /** Requests that have no final answer yet. */
    public val openRequests: Int get() = flow?.open ?: 0

    /** The configuration in force, or null before the first is known. */
    public val configuration: Snapshot? get() = config.snapshot

    /** Whether this instance is a live member of the newest known generation of its data centre. */
    public val joined: Boolean get() = membership.generation?.live?.contains(self) == true

    /** Takes a caller's request. */
    public fun arrive(now: Long, request: CallerRequest): List<CoreEffect> = collect {
        val flow = flow
        if (flow == null) {
            val refusal = Refusal(RefusalCode.UNAVAILABLE, "no configuration yet", retryAfterMillis = 1_000)
            out += CoreEffect.Refuse(request.id, refusal)
        } else {
            requests(now, flow.arrive(now, request))
        }
    }

    /** Tells that a caller went away. */
    public fun cancelled(now: Long, request: Long): List<CoreEffect> =
        collect { withFlow { requests(now, it.cancelled(now, request)) } }

    /** Takes the end of a dispatch. */
    public fun ended(now: Long, request: Long, dispatch: String, end: DispatchEnd): List<CoreEffect> =
        collect { withFlow { requests(now, it.ended(now, request, dispatch, end)) } }

    /** Takes a load report of an owned endpoint; null when its load page could not be read. */
    public fun loadReported(now: Long, endpoint: EndpointId, report: LoadReport?): List<CoreEffect> = collect {
        if (report != null) table.owner(endpoint)?.let { tickets.owner(now, endpoint, it.load(now, report)) }
    }

    /** Takes the end of an order to an endpoint. */
    public fun ordered(now: Long, endpoint: EndpointId, order: Long, outcome: OrderOutcome): List<CoreEffect> =
        collect { table.owner(endpoint)?.let { tickets.owner(now, endpoint, it.ordered(now, order, outcome)) } }

    /** Returns whether an order may still be sent; asked right before sending. */
    public fun mayOrder(now: Long, order: OwnerEffect.Order): Boolean =
        now - order.sendBeforeNanos < 0 && membership.holds(now, order.endpoint)

    /** Takes the platform's list of endpoints. */
    public fun listed(now: Long, endpoints: List<ListedEndpoint>): List<CoreEffect> = collect {
        table.replace(endpoints)
        refresh(now)
    }

    /** Takes a membership message from a peer in the same data centre. */
    public fun receive(now: Long, from: Member, message: MembershipMessage): List<CoreEffect> =
        collect { members(now, membership.receive(now, from, message)) }

    /** Takes a message about shares. */
    public fun receive(now: Long, from: Member, message: ShareMessage): List<CoreEffect> =
        collect { shares?.let { shares(it.receive(now, from, message)) } }

    /** Takes a message about the configuration. */
    public fun receive(now: Long, from: Member, message: ConfigMessage): List<CoreEffect> =
        collect { config.receive(now, from, message) }

    /** Takes a digest of another owner. */
    public fun receive(now: Long, from: Member, message: ResidencyMessage): List<CoreEffect> = collect {
        if (message is ResidencyMessage.Digest && tickets.isOwner(from, message.endpoint)) router.receive(now, message)
    }

    /** Takes a message about tickets. */
    public fun receive(now: Long, from: Member, message: TicketMessage): List<CoreEffect> =
        collect { tickets.receive(now, from, message) }

    /** Tells that a connection with a peer is up. */
    public fun peerUp(peer: Member, address: String): List<CoreEffect> = collect {
        directory.met(peer, address)
        directory.up(address)
    }

    /** Tells that the peer at [address] cannot be reached. */
    public fun peerDown(now: Long, address: String): List<CoreEffect> = collect {
        directory.down(address)
        withFlow { flow -> requests(now, flow.ownersChanged(now) { !tickets.reachable(it) }) }
    }

    /** Takes the own or another data centre's membership record, read at the platform by a read sent at [sentAt]. */
    public fun membershipRead(
        now: Long,
        sentAt: Long,
        dataCentre: DataCentreId,
        record: MembershipRecord?,
        version: Long,
    ): List<CoreEffect> = collect {
        if (dataCentre == options.dataCentre) {
            members(now, membership.storeRead(now, sentAt, record, version))
        } else if (record != null && learn(record.generation)) {
            refresh(now)
        }
    }

    /** Tells that the own membership record could not be read. */
    public fun membershipReadFailed(now: Long): List<CoreEffect> =
        collect { members(now, membership.storeReadFailed(now)) }

    /** Takes the end of writing the own membership record. */
    public fun membershipWritten(now: Long, outcome: WriteOutcome): List<CoreEffect> =
        collect { members(now, membership.storeWritten(now, outcome)) }

    /** Takes the division of limits between data centres. */
    public fun allotmentsRead(now: Long, record: AllotmentRecord?, version: Long): List<CoreEffect> =
        collect { shares?.let { shares(it.allotmentsRead(now, record, version)) } }

    /** Takes the end of writing the division of limits. */
    public fun allotmentsWritten(now: Long, outcome: WriteOutcome): List<CoreEffect> =
        collect { shares?.let { shares(it.allotmentsWritten(now, outcome)) } }

    /** Takes a shard of claims. */
    public fun claimsRead(now: Long, id: ClaimShardId, value: ClaimShard?, version: Long): List<CoreEffect> =
        collect { claims(now, claims.storeRead(now, id, value, version)) }

    /** Tells that a shard of claims could not be read. */
    public fun claimsReadFailed(now: Long, id: ClaimShardId): List<CoreEffect> =
        collect { claims(now, claims.storeReadFailed(now, id)) }

    /** Takes the end of writing a shard of claims. */
    public fun claimsWritten(now: Long, id: ClaimShardId, outcome: WriteOutcome): List<CoreEffect> =
        collect { claims(now, claims.storeWritten(now, id, outcome)) }

    /** Takes the end of reading a configuration object. */
    public fun configRead(now: Long, request: Long, outcome: ReadOutcome): List<CoreEffect> =
        collect { config.read(now, request, outcome) }

    /** Takes the end of writing a configuration object. */
    public fun configWritten(now: Long, request: Long, outcome: WriteOutcome): List<CoreEffect> =
        collect { config.written(now, request, outcome) }

    /** Reads the newest configuration revision from the platform. */
    public fun loadConfiguration(now: Long): List<CoreEffect> = collect { config.load(now) }

    /** Submits an operator's change. */
    public fun submit(now: Long, change: Change): List<CoreEffect> = collect { config.submit(now, change) }

    /** Reads the newest [limit] change records. */
    public fun history(now: Long, query: Long, limit: Int): List<CoreEffect> =
        collect { config.history(now, query, limit) }

    /** Takes an operator's statement that [instance] has ended and cannot act again. */
    public fun gone(now: Long, instance: InstanceId): List<CoreEffect> =
        collect { members(now, membership.declareGone(now, instance)) }

    /** Takes no new requests from now on. */
    public fun drain() {
        flow?.drain()
    }

    /** Hands over shares and endpoints and leaves the generation; ends with [CoreEffect.Left]. */
    public fun leave(now: Long): List<CoreEffect> = collect {
        leaving = true
        for (owner in table.owned.toList()) tickets.owner(now, owner.endpoint, owner.leave(now))
        shares?.let { shares(it.release(now)) }
        leaveWhenReleased(now)
    }

    /** Does what is due at [now]; call it every 10 ms. */
    public fun tick(now: Long): List<CoreEffect> = collect {
        members(now, membership.tick(now))
        shares?.let { shares(it.tick(now)) }
        tickets.tick(now)
        withFlow { requests(now, it.tick(now)) }
        claims(now, claims.tick(now))
        config.tick(now)
        if (leaving) leaveWhenReleased(now)
    }

    /** Describes the state for operators. */
    public fun status(now: Long): CoreStatus = CoreStatus(
        instance = self.instance.name,
        incarnation = self.incarnation,
        dataCentre = options.dataCentre.name,
        revision = configuration?.revision ?: 0,
        generation = membership.generation?.number ?: 0,
        leaseValid = membership.leaseValid(now),
        openRequests = openRequests,
        members = directory.names(),
        owned = table.owned.map(::ownedStatus),
        parts = configuration?.limits()?.keys.orEmpty().associate { it.name to (shares?.parts(it) ?: 0) },
    )

    private fun leaveWhenReleased(now: Long) {
        if (shares?.released != false && table.owned.all { it.idle }) members(now, membership.leave(now))
    }

    private fun newOwner(now: Long, endpoint: ListedEndpoint, generation: Generation): EndpointOwner {
        val base = endpoint.base
        return EndpointOwner(
            endpoint = endpoint.id,
            fencing = generation.number,
            startNanos = now,
            fenced = endpoint.fencing,
            leaseValid = { membership.holds(it, endpoint.id) },
            takeLoad = { base != null && takeLoad(it, base) },
            weight = { config.snapshot?.limits()?.get(it)?.tokensPerSecond ?: 1 },
            adapters = base != null,
        )
    }

    private fun takeLoad(now: Long, base: BaseModelId): Boolean {
        if (config.snapshot?.loadBudgets()?.containsKey(base) != true) return true
        return shares?.admit(now, loadAccount(base), 1) == Admission.Granted
    }

    private fun requests(now: Long, effects: List<RequestEffect>) {
        for (effect in effects) {
            when (effect) {
                is RequestEffect.Refuse -> out += CoreEffect.Refuse(effect.request, effect.refusal)
                is RequestEffect.Answer -> out += CoreEffect.Answer(effect.request, effect.answer)
                is RequestEffect.Dispatch -> out += CoreEffect.Dispatch(effect.order)
                is RequestEffect.Close -> out += CoreEffect.Close(effect.request)
                is RequestEffect.CancelDispatch -> out += CoreEffect.CancelDispatch(effect.request)
                is RequestEffect.AskOwner -> tickets.ask(now, effect)
                is RequestEffect.FinishTicket -> tickets.finish(now, effect)
                is RequestEffect.Claim -> {
                    val attempt = AttemptId("$self/${effect.request}")
                    claims(now, claims.claim(now, effect.key, effect.fingerprint, attempt))
                }
                is RequestEffect.ReleaseClaim -> claims(now, claims.release(now, effect.key))
                is RequestEffect.CompleteClaim -> claims(now, claims.complete(now, effect.key, effect.answer))
            }
        }
    }

    private fun claims(now: Long, effects: List<ClaimEffect>) {
        for (effect in effects) {
            when (effect) {
                is ClaimEffect.ReadShard -> out += CoreEffect.ReadClaims(effect.id)
                is ClaimEffect.WriteShard ->
                    out += CoreEffect.WriteClaims(effect.id, effect.value, effect.expectedVersion)
                is ClaimEffect.Decision -> withFlow {
                    val request = effect.attempt.name.substringAfterLast('/').toLong()
                    requests(now, it.claimed(now, request, claimAnswer(effect)))
                }
            }
        }
    }

    private fun members(now: Long, effects: List<MembershipEffect>) {
        for (effect in effects) {
            when (effect) {
                is MembershipEffect.Send ->
                    directory.address(effect.to)?.let { out += CoreEffect.SendMembership(it, effect.message) }
                MembershipEffect.ReadStore -> out += CoreEffect.ReadMembership(options.dataCentre)
                is MembershipEffect.WriteStore ->
                    out += CoreEffect.WriteMembership(options.dataCentre, effect.record, effect.expectedVersion)
                is MembershipEffect.GenerationChanged -> generation(now, effect.generation)
                is MembershipEffect.RevisionSeen ->
                    config.receive(now, effect.from, ConfigMessage.Notice(effect.revision))
                MembershipEffect.Left -> out += CoreEffect.Left
                is MembershipEffect.Superseded -> out += CoreEffect.Superseded(effect.by)
            }
        }
    }

    // Returns whether the generation is news. Connections to members that are gone are closed.
    private fun learn(generation: Generation): Boolean {
        val gone = directory.learn(generation) ?: return false
        for (address in gone) out += CoreEffect.ForgetPeer(address)
        return true
    }

    private fun generation(now: Long, generation: Generation) {
        learn(generation)
        out += CoreEffect.GenerationInForce(generation)
        shares?.let { shares(it.onGeneration(now, generation)) }
        refresh(now)
    }

    private fun shares(effects: List<ShareEffect>) {
        for (effect in effects) shareEffect(effect, directory)?.let(out::add)
    }

    private fun installed(now: Long, config: Snapshot) {
        membership.updateConfigRevision(config.revision)
        val holder = shares ?: newShares(now, config)
        holder.configure(now, effectiveLimits(config))
        if (flow == null) flow = newFlow(holder)
        refresh(now)
        withFlow { requests(now, it.reconfigured(now)) }
    }

    private fun newShares(now: Long, config: Snapshot): ShareHolder {
        val centres = config.dataCentres().keys.sorted().ifEmpty { listOf(options.dataCentre) }
        val holder = ShareHolder(self, centres, membership::leaseValid)
        shares = holder
        holder.configure(now, effectiveLimits(config))
        membership.generation?.let { shares(holder.onGeneration(now, it)) }
        return holder
    }

    private fun newFlow(holder: ShareHolder) = RequestFlow(
        self = self,
        snapshot = { config.snapshot },
        stale = config::stale,
        shares = holder,
        router = router,
        address = { table[it]?.address },
    )

    /** Brings routes, owners and peers in line after a change of the list, the generation or the configuration. */
    private fun refresh(now: Long) {
        val snapshot = config.snapshot
        router.endpoints(now, table.routed(snapshot))
        val drained = snapshot?.dataCentres().orEmpty().filterValues { it.state == DataCentreState.DRAINED }.keys
        router.drained(now, drained)
        config.peers(directory.live())
        val generation = membership.generation ?: return
        table.sync(now, generation, snapshot, options.dataCentre in drained) { id, effects ->
            tickets.owner(now, id, effects)
        }
        withFlow { flow -> requests(now, flow.ownersChanged(now) { !tickets.reachable(it) }) }
    }

    private inner class OwnAnswers : TicketAnswers {
        override fun granted(now: Long, ask: Long, grant: TicketGrant) {
            withFlow { requests(now, it.granted(now, ask, grant)) }
        }

        override fun denied(now: Long, ask: Long, denial: TicketDenial) {
            withFlow { requests(now, it.denied(now, ask, denial)) }
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
