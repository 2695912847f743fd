package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.Generation
import io.camphordrum.core.Member
import io.camphordrum.core.Rendezvous
import kotlin.math.ceil

/**
 * Moves parts between the members of a generation, so that they follow demand.
 *
 * A member that lacks parts requests them from the account's broker. The broker sends its own surplus and has the other
 * members send theirs. If the broker does not respond, the request goes to the next member in the account's order.
 */
internal class SurplusExchange(
    private val self: Member,
    private val table: ShareTable,
    private val channels: TransferChannels,
    private val ledger: FloorLedger,
    private val parameters: ShareParameters,
) {
    private class AccountState(now: Long) {
        val meter = DemandMeter(now)

        // Sum and maximum of the tokens of requests that were deferred since the last surplus request.
        var unmetNanoTokens = 0L
        var largestUnmetNanoTokens = 0L
        var lastShortageAt: Long? = null
        var largestShortageNanoTokens = 0L
        var lastRequestAt = now
        var brokerIndex = 0
        var surplusRequestedAt: Long? = null
        var brokerSilentSince: Long? = null

        // Tokens needed by the pending surplus requests, and tokens credited since.
        var requestedNanoTokens = 0L
        var creditedNanoTokens = 0L
        var noSurplusUntil = Long.MIN_VALUE
        var noSurplusPeriods = NO_SURPLUS_PERIODS
        var idleSince: Long? = now
    }

    private val broker = SurplusBroker(self, parameters)
    private val accounts = HashMap<AccountId, AccountState>()
    private var generation: Generation? = null

    fun onGeneration(generation: Generation) {
        this.generation = generation
        broker.onGeneration(generation)
        for (account in accounts.values) {
            account.brokerIndex = 0
            account.surplusRequestedAt = null
            account.brokerSilentSince = null
        }
    }

    fun meter(now: Long, account: AccountId): DemandMeter = state(now, account).meter

    /** Records an admission request for [account], admitted or not. */
    fun recordRequest(now: Long, account: AccountId) {
        val state = state(now, account)
        state.meter.closeWindow(now)
        state.lastRequestAt = now
    }

    /** Records that the local level was too low for a request of [nanoTokens]. */
    fun recordShortage(now: Long, account: AccountId, nanoTokens: Long) {
        val state = state(now, account)
        val burst = table.limits[account]?.burstTokens?.coerceIn(0, Bucket.MAX_BURST) ?: 0
        state.unmetNanoTokens = minOf(state.unmetNanoTokens + nanoTokens, burst * Bucket.NANOS_PER_SECOND)
        state.largestUnmetNanoTokens = maxOf(state.largestUnmetNanoTokens, nanoTokens)
        state.largestShortageNanoTokens =
            if (isShort(now, state)) maxOf(state.largestShortageNanoTokens, nanoTokens) else nanoTokens
        state.lastShortageAt = now
    }

    /** Returns true if the other members recently had no surplus of [account]. */
    fun hasNoSurplus(now: Long, account: AccountId): Boolean =
        accounts[account].let { it != null && now < it.noSurplusUntil }

    /** Returns the parts that recent demand uses, by account; accounts with very little demand are omitted. */
    fun demandByAccount(): Map<AccountId, Int> = accounts.mapNotNull { (account, state) ->
        val parts = demandParts(account, state)
        if (parts >= MIN_DEMAND_PARTS) account to parts else null
    }.toMap()

    fun tick(now: Long): List<ShareEffect> {
        val requests = HashMap<Member, MutableList<ShareAmount>>()
        val effects = mutableListOf<ShareEffect>()
        val entries = accounts.entries.iterator()
        while (entries.hasNext()) {
            val (account, state) = entries.next()
            state.meter.closeWindow(now)
            if (table.refreshLease(now)) {
                requestSurplus(now, account, state, requests)
                effects += returnIdleParts(now, account, state)
            }
            if (isUnused(account, state)) entries.remove()
        }
        val number = generation?.number ?: return effects
        for ((to, amounts) in requests) {
            if (to != self) effects += ShareEffect.Send(to, ShareMessage.SurplusRequest(number, amounts))
        }
        return effects + tickBroker(now)
    }

    fun onSurplusRequest(now: Long, from: Member, request: ShareMessage.SurplusRequest): List<ShareEffect> {
        val current = generation ?: return emptyList()
        val receiver = request.onBehalfOf ?: from
        if (receiver !in current.live || receiver == self) return emptyList()
        val effects = mutableListOf<ShareEffect>()
        for (need in request.amounts) {
            val debited = debitSurplus(now, need, isCollection = request.onBehalfOf != null)
            if (debited != null) effects += channels.send(now, receiver, listOf(debited))
            val parts = (need.parts - (debited?.parts ?: 0)).coerceAtLeast(0)
            val level = (need.levelNanoTokens - (debited?.levelNanoTokens ?: 0)).coerceAtLeast(0)
            val needsMore = request.onBehalfOf == null && need.account in table.limits && (parts > 0 || level > 0)
            if (needsMore) broker.add(now, from, ShareAmount(need.account, parts, level))
        }
        return effects + tickBroker(now)
    }

    fun onNoSurplus(now: Long, noSurplus: List<AccountId>) {
        for (account in noSurplus) {
            val state = accounts[account] ?: continue
            state.brokerSilentSince = null
            if (state.creditedNanoTokens < state.requestedNanoTokens) {
                state.noSurplusUntil = now + state.noSurplusPeriods * parameters.requestPeriodNanos
                // Exponential backoff limits the surplus requests of an account that stays over its limit.
                state.noSurplusPeriods = minOf(2 * state.noSurplusPeriods, MAX_NO_SURPLUS_PERIODS)
            } else {
                state.noSurplusPeriods = NO_SURPLUS_PERIODS
            }
            state.requestedNanoTokens = 0
            state.creditedNanoTokens = 0
        }
    }

    fun onCredited(amount: ShareAmount) {
        val state = accounts[amount.account] ?: return
        state.brokerSilentSince = null
        state.noSurplusUntil = Long.MIN_VALUE
        state.creditedNanoTokens += amount.levelNanoTokens
    }

    /**
     * Debits up to [need] from this member's surplus; returns null if there is none.
     *
     * @param isCollection true if a broker collects for one member; parts that are too few to cover a request on this
     *   member may suffice there together with those of other members.
     */
    fun debitSurplus(now: Long, need: ShareAmount, isCollection: Boolean): ShareAmount? {
        val bucket = table.bucket(now, need.account) ?: return null
        if (!table.refreshLease(now)) return null
        val state = accounts[need.account]
        val parts = minOf(need.parts, surplus(bucket, need.account, state, now, isCollection)).coerceAtLeast(0)
        val rate = (state?.meter?.tokensPerSecond ?: 0.0) * (state?.let { activityFactor(now, it) } ?: 0.0)
        val spare = bucket.levelNanoTokens - (rate * RETAINED_DEMAND_SECONDS * Bucket.NANOS_PER_SECOND).toLong()
        val level = when {
            state == null || !isShort(now, state) -> minOf(need.levelNanoTokens, spare)
            parts > 0 -> (bucket.levelNanoTokens.toDouble() * parts / bucket.parts).toLong()
            else -> 0
        }
        // Very small levels are not transferred, because every transfer costs two messages.
        val isWorthwhile = parts > 0 || level > 0 && level >= need.levelNanoTokens / MIN_LEVEL_DIVISOR
        return if (!isWorthwhile) null else table.debit(now, need.account, parts, level)
    }

    private fun surplus(
        bucket: Bucket,
        account: AccountId,
        state: AccountState?,
        now: Long,
        isCollection: Boolean,
    ): Int {
        val spare = bucket.parts - table.floorParts
        return when {
            state == null -> spare

            !isShort(now, state) -> minOf(
                spare,
                bucket.parts - (demandParts(account, state) * activityFactor(now, state)).toInt(),
            )

            bucket.capacity(bucket.parts) < state.largestShortageNanoTokens -> if (isCollection) spare else 0

            // Members that all lack parts share evenly, regardless of the order of their requests.
            else -> (bucket.parts - 2 * evenShareParts()) / 2
        }
    }

    // Scales demand by the time since the last request: the estimate still contains demand that has ended, but other
    // members need its parts sooner.
    private fun activityFactor(now: Long, state: AccountState): Double =
        (1.0 - (now - state.lastRequestAt).toDouble() / (PREFETCH_PERIODS * parameters.requestPeriodNanos)).coerceIn(
            0.0,
            1.0,
        )

    private fun isShort(now: Long, state: AccountState): Boolean =
        state.lastShortageAt.let { it != null && now - it < 2 * parameters.requestPeriodNanos }

    // Collections for this member itself need no messages between requester and broker.
    private fun tickBroker(now: Long): List<ShareEffect> {
        val receivers = generation?.live.orEmpty().filterNot { ledger.isReleased(it) }
        val (own, others) = broker.tick(now, receivers).partition { it is ShareEffect.Send && it.to == self }
        for (effect in own) {
            val message = (effect as? ShareEffect.Send)?.message
            if (message is ShareMessage.NoSurplus) onNoSurplus(now, message.accounts)
        }
        return others
    }

    private fun state(now: Long, account: AccountId): AccountState = accounts.getOrPut(account) { AccountState(now) }

    private fun requestSurplus(
        now: Long,
        account: AccountId,
        state: AccountState,
        requests: HashMap<Member, MutableList<ShareAmount>>,
    ) {
        val periods = if (state.unmetNanoTokens > 0) 1 else PREFETCH_PERIODS
        val last = state.surplusRequestedAt
        if (last != null && now - last < periods * parameters.requestPeriodNanos || now < state.noSurplusUntil) return
        val need = neededAmount(now, account, state) ?: return
        val candidates = brokerOrder(account)
        if (candidates.size < 2) return
        state.meter.recordBacklog(state.unmetNanoTokens.toDouble() / Bucket.NANOS_PER_SECOND)
        state.requestedNanoTokens = maxOf(state.requestedNanoTokens, state.unmetNanoTokens)
        state.unmetNanoTokens = 0
        state.largestUnmetNanoTokens = 0
        state.surplusRequestedAt = now
        val silentSince = state.brokerSilentSince ?: now
        val isBrokerSilent = now - silentSince >= SILENT_BROKER_PERIODS * parameters.requestPeriodNanos
        if (isBrokerSilent) state.brokerIndex++
        state.brokerSilentSince = if (isBrokerSilent) now else silentSince
        val target = candidates[state.brokerIndex % candidates.size]
        if (target == self) broker.add(now, self, need) else requests.getOrPut(target) { mutableListOf() } += need
    }

    private fun neededAmount(now: Long, account: AccountId, state: AccountState): ShareAmount? {
        val limit = table.limits[account] ?: return null
        val bucket = table.bucket(now, account) ?: return null
        val rate = state.meter.tokensPerSecond
        val fullLevel = bucket.capacity(AllotmentRecord.PARTS)
        // The estimate lags behind new demand, so a multiple of the current shortage is requested.
        val missing = minOf(maxOf(state.unmetNanoTokens, state.largestUnmetNanoTokens), fullLevel / SHORTAGE_MULTIPLE)
        val prefetch =
            maxOf((rate * TARGET_DEMAND_SECONDS * Bucket.NANOS_PER_SECOND).toLong(), SHORTAGE_MULTIPLE * missing)
        val target = minOf(fullLevel, state.unmetNanoTokens + minOf(fullLevel, prefetch))
        // Parts must be able to hold the level that waiting requests need.
        val perPart = bucket.capacity(1).coerceAtLeast(1)
        val minCapacity = maxOf(SHORTAGE_MULTIPLE * missing, minOf(state.largestUnmetNanoTokens, fullLevel))
        val requestParts = ((minCapacity + perPart - 1) / perPart).toInt()
        val parts = (maxOf(demandParts(account, state), requestParts) - bucket.parts).coerceAtLeast(0)
        val lowLevel = (rate * LOW_DEMAND_SECONDS * Bucket.NANOS_PER_SECOND).toLong()
        val isShort = state.unmetNanoTokens > 0 || parts >= MIN_PEER_TRANSFER_PARTS || bucket.levelNanoTokens < lowLevel
        if (!isShort || limit.burstTokens <= 0) return null
        val room = bucket.capacity(minOf(bucket.parts + parts, AllotmentRecord.PARTS)) - bucket.levelNanoTokens
        val level = minOf(target - bucket.levelNanoTokens, room).coerceAtLeast(0)
        return if (parts > 0 || level > 0) ShareAmount(account, parts, level) else null
    }

    // Returns parts above the even share to the broker after they have been idle for some time.
    private fun returnIdleParts(now: Long, account: AccountId, state: AccountState): List<ShareEffect> {
        val bucket = table.bucket(now, account) ?: return emptyList()
        val retainedParts = maxOf(evenShareParts(), 2 * demandParts(account, state), table.floorParts)
        if (bucket.parts - retainedParts < MIN_PEER_TRANSFER_PARTS) {
            state.idleSince = null
            return emptyList()
        }
        val since = state.idleSince ?: now.also { state.idleSince = it }
        val broker = brokerOrder(account).firstOrNull() ?: return emptyList()
        if (now - since < IDLE_NANOS || broker == self) return emptyList()
        state.idleSince = null
        val parts = bucket.parts - retainedParts
        val level = (bucket.levelNanoTokens.toDouble() * parts / bucket.parts).toLong()
        return table.debit(now, account, parts, level)?.let { channels.send(now, broker, listOf(it)) } ?: emptyList()
    }

    private fun isUnused(account: AccountId, state: AccountState): Boolean =
        state.meter.isIdle &&
            state.unmetNanoTokens == 0L &&
            table.parts(account) <= evenShareParts() + MIN_PEER_TRANSFER_PARTS

    private fun demandParts(account: AccountId, state: AccountState): Int {
        val rate = table.limits[account]?.tokensPerSecond ?: return 0
        if (rate <= 0) return 0
        val parts = ceil(state.meter.tokensPerSecond * DEMAND_HEADROOM / rate * AllotmentRecord.PARTS)
        return minOf(parts, AllotmentRecord.PARTS.toDouble()).toInt()
    }

    private fun evenShareParts(): Int {
        val members = generation?.live?.size ?: 0
        if (members == 0) return 0
        return (ledger.totalParts.toLong() * ShareParameters.PER_MILLE / parameters.floorPerMille / members).toInt()
    }

    private fun brokerOrder(account: AccountId): List<Member> =
        Rendezvous.order(account.name, generation?.live.orEmpty()) { it.instance.name }
            .filterNot { ledger.isReleased(it) }

    private companion object {
        const val MIN_DEMAND_PARTS = 1_000
        const val MIN_PEER_TRANSFER_PARTS = 5_000
        const val MIN_LEVEL_DIVISOR = 64
        const val NO_SURPLUS_PERIODS = 5
        const val MAX_NO_SURPLUS_PERIODS = 40
        const val PREFETCH_PERIODS = 10

        // A broker with an empty queue responds within 2 periods.
        const val SILENT_BROKER_PERIODS = 10
        const val IDLE_NANOS = 10_000_000_000L

        // Seconds of demand that the level covers: the level retained when surplus is sent, the level below which more
        // is requested, and the level up to which it is requested.
        const val RETAINED_DEMAND_SECONDS = 0.25
        const val LOW_DEMAND_SECONDS = 0.5
        const val TARGET_DEMAND_SECONDS = 1.0
        const val SHORTAGE_MULTIPLE = 8
        const val DEMAND_HEADROOM = 1.1
    }
}
