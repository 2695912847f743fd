package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.Generation
import io.camphordrum.core.Member
import io.camphordrum.core.RateLimit
import io.camphordrum.core.WriteOutcome

/**
 * Holds this member's parts of every client account's limit and admits requests against them.
 *
 * ```kotlin
 * val holder = ShareHolder(self, dataCentres, membership::leaseValid)
 * holder.configure(now, snapshot.limits())
 * execute(holder.onGeneration(now, generation))
 * if (holder.admit(now, account, tokens) is Admission.Granted) start()
 * ```
 *
 * All times are monotonic nanoseconds of one clock. Call [tick] every 20 ms and right after an [admit] that
 * returned [Admission.Wait], so that the request for parts is sent without delay. Call [onGeneration] with a new
 * generation before [leaseValid] returns true under it. Load budgets are
 * enforced as additional accounts.
 *
 * @param dataCentres data centres that share every account evenly when the object `allotments` is created.
 * @param leaseValid returns whether the member holds a valid lease in its current generation.
 */
public class ShareHolder(
    private val self: Member,
    private val dataCentres: List<DataCentreId>,
    private val leaseValid: (now: Long) -> Boolean,
    private val parameters: ShareParameters = ShareParameters(),
) {
    private val table = ShareTable(leaseValid, parameters)
    private val channels = TransferChannels(parameters.retransmitNanos)
    private val ledger = FloorLedger(parameters)
    private val exchange = SurplusExchange(self, table, channels, ledger, parameters)
    private var generation: Generation? = null
    private var allotments: Allotments? = null
    private var reconciliation: Reconciliation? = null
    private var acknowledgement: ShareMessage.GenerationAck? = null
    private var acknowledgedAt = 0L
    private var acknowledgePeriodNanos = 0L
    private var isReconciled = false
    private var isReleasing = false
    private var lastReturnAt = 0L
    private var demandReportedAt: Long? = null
    private var reportedDemand: Map<AccountId, Int> = emptyMap()
    private var reconciliationTickedAt: Long? = null
    private var collectionStartedAt: Long? = null

    /** True once [release] has been called and every part has been returned. */
    public val released: Boolean get() = isReleasing && table.heldParts().isEmpty() && channels.isIdle

    /** Sets the limits of all accounts; parts are kept, and levels are clamped to the new burst. */
    public fun configure(now: Long, limits: Map<AccountId, RateLimit>) {
        table.configure(now, limits)
    }

    /** Enters [generation] and acknowledges it to its coordinator; ignores older generations. */
    public fun onGeneration(now: Long, generation: Generation): List<ShareEffect> {
        val old = this.generation
        if (old != null && generation.number <= old.number) return emptyList()
        this.generation = generation
        ledger.onGeneration(now, old, generation)
        channels.reset(generation.number)
        exchange.onGeneration(generation)
        // After a gap this member may have been removed meanwhile and its parts redistributed.
        val isContinuous =
            old != null && generation.number == old.number + 1 && includesSelf(old) && includesSelf(generation)
        if (!isContinuous) table.reduceToFloor(now)
        isReconciled = false
        demandReportedAt = null
        val message = ShareMessage.GenerationAck(
            generation.number,
            table.heldParts(),
            table.floorParts,
            ledger.isComplete,
            ledger.reservedFloors(now),
        )
        acknowledgement = message.takeIf { includesSelf(generation) }
        acknowledgedAt = now
        acknowledgePeriodNanos = parameters.retransmitNanos
        return enterGeneration(now, generation, message)
    }

    /** Charges [tokens] to [account] if the local share covers them. */
    public fun admit(now: Long, account: AccountId, tokens: Long): Admission {
        val limit = table.limits[account]
        val bucket = table.bucket(now, account)
        if (limit == null || bucket == null) return Admission.Refused(Admission.NEVER)
        if (tokens > minOf(limit.burstTokens, Bucket.MAX_BURST)) return Admission.Refused(Admission.NEVER)
        if (isReleasing) return Admission.Refused(RETRY_AFTER_NANOS)
        val nanoTokens = tokens.coerceAtLeast(0) * Bucket.NANOS_PER_SECOND
        exchange.recordRequest(now, account)
        if (bucket.charge(now, nanoTokens)) {
            exchange.meter(now, account).add(tokens.toDouble())
            return Admission.Granted
        }
        val refillNanos = bucket.nanosUntil(nanoTokens)
        if (!table.refreshLease(now)) return Admission.Refused(refillNanos ?: RETRY_AFTER_NANOS)
        exchange.recordShortage(now, account, nanoTokens)
        val period = parameters.requestPeriodNanos
        return when {
            refillNanos != null && refillNanos <= period -> Admission.Wait(now + refillNanos)
            !exchange.hasNoSurplus(now, account) -> Admission.Wait(now + period)
            else -> Admission.Refused(refillNanos ?: RETRY_AFTER_NANOS)
        }
    }

    /**
     * Refunds the charged tokens that a request did not use.
     *
     * Throws `IllegalArgumentException` when [usedTokens] is negative or greater than [chargedTokens].
     *
     * @param chargedAtNanos monotonic time of the `admit` that charged the tokens. Tokens that the bucket has refilled
     *   since then are not refunded again. By default the charge counts as older than all others.
     */
    public fun settle(
        now: Long,
        account: AccountId,
        chargedTokens: Long,
        usedTokens: Long,
        chargedAtNanos: Long = Long.MIN_VALUE,
    ) {
        require(usedTokens in 0..chargedTokens) {
            "expected 0 to $chargedTokens used tokens, but was $usedTokens for account $account"
        }
        val bucket = table.bucket(now, account) ?: return
        val refunded = bucket.refund(chargedAtNanos, (chargedTokens - usedTokens) * Bucket.NANOS_PER_SECOND)
        exchange.meter(now, account).add(-refunded.toDouble() / Bucket.NANOS_PER_SECOND)
    }

    /** Handles [message] from another member; ignores messages of other generations. */
    public fun receive(now: Long, from: Member, message: ShareMessage): List<ShareEffect> {
        val current = generation ?: return emptyList()
        if (message.generation != current.number || !includesSelf(current)) return emptyList()
        return when (message) {
            is ShareMessage.SurplusRequest ->
                if (isReleasing) emptyList() else exchange.onSurplusRequest(now, from, message)
            is ShareMessage.NoSurplus -> emptyList<ShareEffect>().also { exchange.onNoSurplus(now, message.accounts) }
            is ShareMessage.Transfer -> onTransfer(now, from, message, current)
            is ShareMessage.Receipt -> onReceipt(now, from, message)
            is ShareMessage.GenerationAck -> reconciliation?.onAcknowledgement(now, from, message).orEmpty()
            is ShareMessage.Reconciled -> emptyList<ShareEffect>().also { onReconciled(now, from, message, current) }
            is ShareMessage.Demand ->
                emptyList<ShareEffect>().also { reconciliation?.onDemand(from, message.demandParts) }
            is ShareMessage.Released -> emptyList<ShareEffect>().also { onMemberReleased(from) }
        }
    }

    /** Repeats unconfirmed messages, requests parts and distributes orphaned ones. */
    public fun tick(now: Long): List<ShareEffect> {
        val current = generation ?: return emptyList()
        // Extends the floor lease of idle members, too.
        table.refreshLease(now)
        val effects = mutableListOf<ShareEffect>()
        effects += channels.retransmit(now)
        effects += repeatAcknowledgement(now, current)
        effects += allotments?.tick(now).toShareEffects()
        effects += tickReconciliation(now)
        if (isReleasing) return effects + returnParts(now, current)
        effects += exchange.tick(now)
        effects += reportDemand(now, current)
        return effects
    }

    /** Returns all parts before a planned stop; afterwards nothing is admitted. */
    public fun release(now: Long): List<ShareEffect> {
        if (isReleasing) return emptyList()
        isReleasing = true
        table.floorParts = 0
        ledger.release(self)
        reconciliation?.onReleased(self)
        lastReturnAt = now - parameters.retransmitNanos
        return generation?.let { returnParts(now, it) } ?: emptyList()
    }

    /** Handles a read of the object `allotments`; [record] is null and [version] 0 if it does not exist. */
    public fun allotmentsRead(now: Long, record: AllotmentRecord?, version: Long): List<ShareEffect> =
        allotments?.onRead(now, record, version).toShareEffects()

    /** Handles the outcome of the last [AllotmentEffect.WriteAllotments]; call it exactly once for each write. */
    public fun allotmentsWritten(now: Long, outcome: WriteOutcome): List<ShareEffect> =
        allotments?.onWritten(now, outcome).toShareEffects() + tickReconciliation(now)

    /** Returns the parts of [account] that this member holds, including its floor. */
    public fun parts(account: AccountId): Int = table.parts(account)

    private fun includesSelf(generation: Generation): Boolean = generation.members.any { it.member == self }

    private fun enterGeneration(now: Long, current: Generation, own: ShareMessage.GenerationAck): List<ShareEffect> {
        if (current.coordinator != self || !includesSelf(current)) {
            reconciliation = null
            allotments?.setGeneration(now, null)
            return if (includesSelf(current)) listOf(ShareEffect.Send(current.coordinator, own)) else emptyList()
        }
        val currentAllotments =
            allotments ?: Allotments(current.dataCentre, dataCentres, parameters).also { allotments = it }
        val next = Reconciliation(current, self, table, channels, ledger, currentAllotments, parameters)
        next.onAcknowledgement(now, self, own)
        reconciliation = next
        isReconciled = true
        reconciliationTickedAt = null
        return currentAllotments.setGeneration(now, current.number).toShareEffects()
    }

    private fun onTransfer(
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
        // Several members may have sent surplus for the same need; the excess is returned to the sender.
        if (excess.isEmpty() || message.isReturn) return listOf(receipt)
        return channels.send(now, from, excess, isReturn = true) + receipt
    }

    private fun onReceipt(now: Long, from: Member, message: ShareMessage.Receipt): List<ShareEffect> {
        val (transfer, effects) = channels.confirm(now, from, message.sequence)
        if (transfer != null) reconciliation?.onTransferConfirmed(from, transfer)
        return effects
    }

    private fun onReconciled(now: Long, from: Member, message: ShareMessage.Reconciled, current: Generation) {
        if (from != current.coordinator || isReconciled) return
        isReconciled = true
        ledger.onReconciled(now, message, current.live.size)
    }

    private fun onMemberReleased(from: Member) {
        ledger.release(from)
        reconciliation?.onReleased(from)
    }

    private fun repeatAcknowledgement(now: Long, current: Generation): List<ShareEffect> {
        val message = acknowledgement
        if (isReconciled || message == null || now - acknowledgedAt < acknowledgePeriodNanos) return emptyList()
        acknowledgedAt = now
        // Exponential backoff, because the coordinator may have to wait for a silent member.
        acknowledgePeriodNanos = minOf(2 * acknowledgePeriodNanos, MAX_ACKNOWLEDGE_PERIOD_NANOS)
        return listOf(ShareEffect.Send(current.coordinator, message))
    }

    private fun tickReconciliation(now: Long): List<ShareEffect> {
        val current = reconciliation ?: return emptyList()
        val currentAllotments = allotments ?: return emptyList()
        val last = reconciliationTickedAt
        if (last != null && now - last < parameters.requestPeriodNanos) return emptyList()
        reconciliationTickedAt = now
        val effects = current.tick(now).toMutableList()
        currentAllotments.setDemand(current.totalDemand(exchange.demandByAccount()))
        effects += transferSurplus(now, current, currentAllotments)
        return effects
    }

    // Requests surplus from the members and transfers it with this member's own to data centres that lack parts. Parts
    // are collected before they are transferred, because the object is written at most once a second.
    private fun transferSurplus(now: Long, current: Reconciliation, currentAllotments: Allotments): List<ShareEffect> {
        if (!current.isReady || isReleasing) return emptyList()
        val requests = currentAllotments.transferRequests()
        if (requests.isEmpty()) return emptyList()
        val effects =
            collectSurplus(now, requests.map { (account, request) -> ShareAmount(account, request.second, 0) })
        if (collectionStartedAt.let { it != null && now - it < COLLECTION_NANOS }) return effects
        for ((account, request) in requests) {
            val (to, requestedParts) = request
            val parts = exchange.debitSurplus(now, ShareAmount(account, requestedParts, 0), isCollection = false)?.parts
                ?: continue
            current.subtractOutstanding(account, parts)
            currentAllotments.queueTransfer(to, account, parts)
        }
        return effects
    }

    private fun collectSurplus(now: Long, amounts: List<ShareAmount>): List<ShareEffect> {
        val last = collectionStartedAt
        val members = generation ?: return emptyList()
        if (last != null && now - last < parameters.storePeriodNanos) return emptyList()
        collectionStartedAt = now
        return members.live.filter { it != self && !ledger.isReleased(it) }
            .map { ShareEffect.Send(it, ShareMessage.SurplusRequest(members.number, amounts, onBehalfOf = self)) }
    }

    private fun reportDemand(now: Long, current: Generation): List<ShareEffect> {
        val last = demandReportedAt
        if (current.coordinator == self || last != null && now - last < parameters.demandPeriodNanos) {
            return emptyList()
        }
        val demandParts = exchange.demandByAccount()
        if (demandParts.isEmpty() && reportedDemand.isEmpty()) return emptyList()
        demandReportedAt = now
        reportedDemand = demandParts
        return listOf(ShareEffect.Send(current.coordinator, ShareMessage.Demand(current.number, demandParts)))
    }

    // Distributes all parts over the other live members, and repeats this for parts that arrive later.
    private fun returnParts(now: Long, current: Generation): List<ShareEffect> {
        if (now - lastReturnAt < parameters.retransmitNanos) return emptyList()
        lastReturnAt = now
        val others = current.live.filter { it != self && !ledger.isReleased(it) }
        // Without another member the parts become orphaned, and the next coordinator distributes them.
        if (others.isEmpty()) table.reduceToFloor(now)
        val effects = mutableListOf<ShareEffect>()
        for ((account, parts) in table.heldParts()) {
            for ((index, member) in others.withIndex()) {
                val bucket = table.bucket(now, account) ?: break
                val count = if (index == others.lastIndex) bucket.parts else parts / others.size
                val level = bucket.levelNanoTokens / (others.size - index)
                table.debit(now, account, count, level)?.let { effects += channels.send(now, member, listOf(it)) }
            }
        }
        return effects + others.map { ShareEffect.Send(it, ShareMessage.Released(current.number)) }
    }

    private fun List<AllotmentEffect>?.toShareEffects(): List<ShareEffect> = orEmpty().map { ShareEffect.Store(it) }

    private companion object {
        // Retry time of refusals that no local refill resolves; parts may have been transferred by then.
        const val RETRY_AFTER_NANOS = 1_000_000_000L
        const val COLLECTION_NANOS = 50_000_000L
        const val MAX_ACKNOWLEDGE_PERIOD_NANOS = 5_000_000_000L
    }
}
