package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.Generation
import io.camphordrum.core.Member
import io.camphordrum.core.RateLimit
import io.camphordrum.core.WriteOutcome

/**
 * Holds this member's parts of every client account's limit and decides admission.
 *
 * ```kotlin
 * val holder = ShareHolder(self, dataCentres, membership::leaseValid)
 * holder.configure(now, snapshot.limits())
 * execute(holder.onGeneration(now, generation))
 * if (holder.admit(now, account, tokens) is Admission.Granted) start()
 * ```
 *
 * All times are monotonic nanoseconds of one clock. Call [tick] every 20 ms and right after an [admit] that
 * returned [Admission.Wait], so that the request for parts leaves without delay. Call [onGeneration] with a new
 * generation before [leaseValid] answers true under it. The fleet-wide load budget is one more account.
 *
 * @param dataCentres the data centres that share every account evenly when the object `allotments` is created.
 * @param leaseValid tells whether the member holds a valid lease in its current generation.
 */
public class ShareHolder(
    private val self: Member,
    private val dataCentres: List<DataCentreId>,
    private val leaseValid: (now: Long) -> Boolean,
    private val parameters: ShareParameters = ShareParameters(),
) {
    private val table = ShareTable(leaseValid, parameters)
    private val channels = Channels(parameters.repeatNanos)
    private val ledger = FloorLedger(parameters)
    private val exchange = Exchange(self, table, channels, ledger, parameters)
    private var generation: Generation? = null
    private var allotments: Allotments? = null
    private var settlement: Settlement? = null
    private var acknowledgement: ShareMessage.GenerationAck? = null
    private var acknowledgedAt = 0L
    private var acknowledgePeriod = 0L
    private var isSettled = false
    private var isReleasing = false
    private var releasedAt = 0L
    private var reportedAt: Long? = null
    private var reported: Map<AccountId, Int> = emptyMap()
    private var coordinatedAt: Long? = null
    private var collectedAt: Long? = null

    /** True once [release] was called and every part was handed back. */
    public val released: Boolean get() = isReleasing && table.held().isEmpty() && channels.idle

    /** Sets the limits of all accounts; parts are kept, and levels are cut to the new burst. */
    public fun configure(now: Long, limits: Map<AccountId, RateLimit>) {
        table.configure(now, limits)
    }

    /** Enters [generation] and acknowledges it to its coordinator; older generations are ignored. */
    public fun onGeneration(now: Long, generation: Generation): List<ShareEffect> {
        val old = this.generation
        if (old != null && generation.number <= old.number) return emptyList()
        this.generation = generation
        ledger.onGeneration(now, old, generation)
        channels.reset(generation.number)
        exchange.onGeneration(generation)
        // After a gap this member cannot tell whether it was removed meanwhile and its parts were handed out.
        val isContinuous = old != null && generation.number == old.number + 1 && lists(old) && lists(generation)
        if (!isContinuous) table.forfeit(now)
        isSettled = false
        reportedAt = null
        val message = ShareMessage.GenerationAck(
            generation.number,
            table.held(),
            table.floorParts,
            ledger.informed,
            ledger.floors(now),
        )
        acknowledgement = message.takeIf { lists(generation) }
        acknowledgedAt = now
        acknowledgePeriod = parameters.repeatNanos
        return coordinate(now, generation, message)
    }

    /** Charges [tokens] to [account] if the local share covers them. */
    public fun admit(now: Long, account: AccountId, tokens: Long): Admission {
        val limit = table.limits[account]
        val bucket = table.bucket(now, account)
        if (limit == null || bucket == null) return Admission.Refused(Admission.NEVER)
        if (tokens > minOf(limit.burstTokens, Bucket.MAX_BURST)) return Admission.Refused(Admission.NEVER)
        if (isReleasing) return Admission.Refused(RETRY_NANOS)
        val nanoTokens = tokens.coerceAtLeast(0) * Bucket.NANOS_PER_SECOND
        exchange.requested(now, account)
        if (bucket.charge(now, nanoTokens)) {
            exchange.meter(now, account).add(tokens.toDouble())
            return Admission.Granted
        }
        val refillNanos = bucket.nanosUntil(nanoTokens)
        if (!table.leased(now)) return Admission.Refused(refillNanos ?: RETRY_NANOS)
        exchange.unmet(now, account, nanoTokens)
        val period = parameters.askPeriodNanos
        return when {
            refillNanos != null && refillNanos <= period -> Admission.Wait(now + refillNanos)
            !exchange.isDry(now, account) -> Admission.Wait(now + period)
            else -> Admission.Refused(refillNanos ?: RETRY_NANOS)
        }
    }

    /**
     * Refunds what a request did not use.
     *
     * @param grantedAtNanos the time of the `admit` that charged the tokens. Tokens that the bucket has refilled
     *   since then are not refunded again. If it is not given, the request counts as older than all others.
     */
    public fun settle(now: Long, account: AccountId, charged: Long, used: Long, grantedAtNanos: Long = Long.MIN_VALUE) {
        require(used in 0..charged) { "expected 0 to $charged used tokens, got $used for account $account" }
        val bucket = table.bucket(now, account) ?: return
        val refunded = bucket.refund(grantedAtNanos, (charged - used) * Bucket.NANOS_PER_SECOND)
        exchange.meter(now, account).add(-refunded.toDouble() / Bucket.NANOS_PER_SECOND)
    }

    /** Handles [message] from another member. */
    public fun receive(now: Long, from: Member, message: ShareMessage): List<ShareEffect> {
        val current = generation ?: return emptyList()
        if (message.generation != current.number || !lists(current)) return emptyList()
        return when (message) {
            is ShareMessage.Ask -> if (isReleasing) emptyList() else exchange.onAsk(now, from, message)
            is ShareMessage.NoSurplus -> emptyList<ShareEffect>().also { exchange.onNoSurplus(now, message.accounts) }
            is ShareMessage.Transfer -> credit(now, from, message, current)
            is ShareMessage.Receipt -> confirm(now, from, message)
            is ShareMessage.GenerationAck -> settlement?.acknowledge(now, from, message).orEmpty()
            is ShareMessage.Settled -> emptyList<ShareEffect>().also { settled(now, from, message, current) }
            is ShareMessage.Demand -> emptyList<ShareEffect>().also { settlement?.demand(from, message.wanted) }
            is ShareMessage.Released -> emptyList<ShareEffect>().also { memberReleased(from) }
        }
    }

    /** Repeats unconfirmed messages, asks for parts and hands out orphaned ones. */
    public fun tick(now: Long): List<ShareEffect> {
        val current = generation ?: return emptyList()
        // Extends the floor lease of idle members, too.
        table.leased(now)
        val effects = mutableListOf<ShareEffect>()
        effects += channels.repeat(now)
        effects += repeatAcknowledgement(now, current)
        effects += allotments?.tick(now).asStore()
        effects += lead(now)
        if (isReleasing) return effects + handBack(now, current)
        effects += exchange.tick(now)
        effects += reportDemand(now, current)
        return effects
    }

    /** Gives up all parts for a planned stop; afterwards nothing is admitted. */
    public fun release(now: Long): List<ShareEffect> {
        if (isReleasing) return emptyList()
        isReleasing = true
        table.floorParts = 0
        ledger.release(self)
        settlement?.released(self)
        releasedAt = now - parameters.repeatNanos
        return generation?.let { handBack(now, it) } ?: emptyList()
    }

    /** Reports the object `allotments`; [record] is null and [version] 0 if it does not exist. */
    public fun allotmentsRead(now: Long, record: AllotmentRecord?, version: Long): List<ShareEffect> =
        allotments?.read(now, record, version).asStore()

    /** Reports the outcome of the last [AllotmentEffect.WriteAllotments]; each write is reported once. */
    public fun allotmentsWritten(now: Long, outcome: WriteOutcome): List<ShareEffect> =
        allotments?.written(now, outcome).asStore() + lead(now)

    /** Returns the parts of [account] held by this member, its floor included. */
    public fun parts(account: AccountId): Int = table.parts(account)

    private fun lists(generation: Generation): Boolean = generation.members.any { it.member == self }

    private fun coordinate(now: Long, current: Generation, own: ShareMessage.GenerationAck): List<ShareEffect> {
        if (current.coordinator != self || !lists(current)) {
            settlement = null
            allotments?.lead(now, null)
            return if (lists(current)) listOf(ShareEffect.Send(current.coordinator, own)) else emptyList()
        }
        val store = allotments ?: Allotments(current.dataCentre, dataCentres, parameters).also { allotments = it }
        val next = Settlement(current, self, table, channels, ledger, store, parameters)
        next.acknowledge(now, self, own)
        settlement = next
        isSettled = true
        coordinatedAt = null
        return store.lead(now, current.number).asStore()
    }

    private fun credit(
        now: Long,
        from: Member,
        message: ShareMessage.Transfer,
        current: Generation,
    ): List<ShareEffect> {
        val receipt = ShareEffect.Send(from, ShareMessage.Receipt(current.number, message.sequence))
        if (!channels.accept(from, message.sequence)) return listOf(receipt)
        val excess = table.credit(now, message.amounts)
        if (message.floorParts != null && from == current.coordinator && !isReleasing) {
            table.floorParts = message.floorParts
        }
        for (amount in message.amounts) exchange.onCredited(amount)
        // Several members may have sent what one could use; the rest goes back to where it can be used.
        if (excess.isEmpty() || message.isReturn) return listOf(receipt)
        return channels.send(now, from, excess, isReturn = true) + receipt
    }

    private fun confirm(now: Long, from: Member, message: ShareMessage.Receipt): List<ShareEffect> {
        val (transfer, effects) = channels.confirm(now, from, message.sequence)
        if (transfer != null) settlement?.confirmed(from, transfer)
        return effects
    }

    private fun settled(now: Long, from: Member, message: ShareMessage.Settled, current: Generation) {
        if (from != current.coordinator || isSettled) return
        isSettled = true
        ledger.onSettled(now, message, current.live.size)
    }

    private fun memberReleased(from: Member) {
        ledger.release(from)
        settlement?.released(from)
    }

    private fun repeatAcknowledgement(now: Long, current: Generation): List<ShareEffect> {
        val message = acknowledgement
        if (isSettled || message == null || now - acknowledgedAt < acknowledgePeriod) return emptyList()
        acknowledgedAt = now
        // The coordinator may have to wait for a silent member, so the message is repeated less and less often.
        acknowledgePeriod = minOf(2 * acknowledgePeriod, MAX_ACKNOWLEDGE_PERIOD_NANOS)
        return listOf(ShareEffect.Send(current.coordinator, message))
    }

    private fun lead(now: Long): List<ShareEffect> {
        val current = settlement ?: return emptyList()
        val store = allotments ?: return emptyList()
        val last = coordinatedAt
        if (last != null && now - last < parameters.askPeriodNanos) return emptyList()
        coordinatedAt = now
        val effects = current.tick(now).toMutableList()
        store.want(current.wanted(exchange.demand()))
        effects += giveAway(now, current, store)
        return effects
    }

    // Asks the members for their surplus, and gives it with this member's own to data centres that lack parts. Parts
    // are collected before they are given, because the object is written at most once a second.
    private fun giveAway(now: Long, current: Settlement, store: Allotments): List<ShareEffect> {
        if (!current.isReady || isReleasing) return emptyList()
        val requests = store.requests()
        if (requests.isEmpty()) return emptyList()
        val asks = collect(now, requests.map { (account, request) -> ShareAmount(account, request.second, 0) })
        if (collectedAt.let { it != null && now - it < COLLECT_NANOS }) return asks
        for ((account, request) in requests) {
            val (to, wanted) = request
            val parts = exchange.give(now, ShareAmount(account, wanted, 0), isCollection = false)?.parts ?: continue
            current.given(account, parts)
            store.give(to, account, parts)
        }
        return asks
    }

    private fun collect(now: Long, wanted: List<ShareAmount>): List<ShareEffect> {
        val last = collectedAt
        val members = generation ?: return emptyList()
        if (last != null && now - last < parameters.storePeriodNanos) return emptyList()
        collectedAt = now
        return members.live.filter { it != self && !ledger.isReleased(it) }
            .map { ShareEffect.Send(it, ShareMessage.Ask(members.number, wanted, onBehalfOf = self)) }
    }

    private fun reportDemand(now: Long, current: Generation): List<ShareEffect> {
        val last = reportedAt
        if (current.coordinator == self || last != null && now - last < parameters.demandPeriodNanos) {
            return emptyList()
        }
        val wanted = exchange.demand()
        if (wanted.isEmpty() && reported.isEmpty()) return emptyList()
        reportedAt = now
        reported = wanted
        return listOf(ShareEffect.Send(current.coordinator, ShareMessage.Demand(current.number, wanted)))
    }

    // Spreads everything over the other live members, and repeats this for parts that still arrive.
    private fun handBack(now: Long, current: Generation): List<ShareEffect> {
        if (now - releasedAt < parameters.repeatNanos) return emptyList()
        releasedAt = now
        val others = current.live.filter { it != self && !ledger.isReleased(it) }
        // Without another member the parts become orphaned, and the next coordinator hands them out.
        if (others.isEmpty()) table.forfeit(now)
        val effects = mutableListOf<ShareEffect>()
        for ((account, parts) in table.held()) {
            for ((index, member) in others.withIndex()) {
                val bucket = table.bucket(now, account) ?: break
                val count = if (index == others.lastIndex) bucket.parts else parts / others.size
                val level = bucket.level / (others.size - index)
                table.debit(now, account, count, level)?.let { effects += channels.send(now, member, listOf(it)) }
            }
        }
        return effects + others.map { ShareEffect.Send(it, ShareMessage.Released(current.number)) }
    }

    private fun List<AllotmentEffect>?.asStore(): List<ShareEffect> = orEmpty().map { ShareEffect.Store(it) }

    private companion object {
        // Refusals that no local refill can end name this time; parts may have moved by then.
        const val RETRY_NANOS = 1_000_000_000L
        const val COLLECT_NANOS = 50_000_000L
        const val MAX_ACKNOWLEDGE_PERIOD_NANOS = 5_000_000_000L
    }
}
