package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.Generation
import io.camphordrum.core.Member
import io.camphordrum.core.Rendezvous
import kotlin.math.ceil

/**
 * Moves parts between the members of a generation, so that they follow demand.
 *
 * A short member asks the account's broker. The broker sends its own surplus, and has the other members send theirs.
 * If the broker is silent, the next member in the account's order is asked.
 */
internal class Exchange(
    private val self: Member,
    private val table: ShareTable,
    private val channels: Channels,
    private val ledger: FloorLedger,
    private val parameters: ShareParameters,
) {
    private class Account(now: Long) {
        val meter = DemandMeter(now)

        // Shortage of requests that were told to wait since the last ask, and the largest such request.
        var unmetNanoTokens = 0L
        var largestUnmet = 0L
        var shortAt: Long? = null
        var largestShort = 0L
        var requestedAt = now
        var candidate = 0
        var askedAt: Long? = null
        var silentSince: Long? = null

        // What open asks were for, and what they brought.
        var askedNanoTokens = 0L
        var creditedNanoTokens = 0L
        var dryUntil = Long.MIN_VALUE
        var dryAskPeriods = DRY_ASK_PERIODS
        var idleSince: Long? = now
    }

    private val broker = Broker(self, parameters)
    private val accounts = HashMap<AccountId, Account>()
    private var generation: Generation? = null

    fun onGeneration(generation: Generation) {
        this.generation = generation
        broker.onGeneration(generation)
        for (account in accounts.values) {
            account.candidate = 0
            account.askedAt = null
            account.silentSince = null
        }
    }

    fun meter(now: Long, account: AccountId): DemandMeter = state(now, account).meter

    /** Records a request for [account], granted or not. */
    fun requested(now: Long, account: AccountId) {
        val state = state(now, account)
        state.meter.roll(now)
        state.requestedAt = now
    }

    /** Records that a request found the local level too low. */
    fun unmet(now: Long, account: AccountId, nanoTokens: Long) {
        val state = state(now, account)
        val burst = table.limits[account]?.burstTokens?.coerceIn(0, Bucket.MAX_BURST) ?: 0
        state.unmetNanoTokens = minOf(state.unmetNanoTokens + nanoTokens, burst * Bucket.NANOS_PER_SECOND)
        state.largestUnmet = maxOf(state.largestUnmet, nanoTokens)
        state.largestShort = if (isShort(now, state)) maxOf(state.largestShort, nanoTokens) else nanoTokens
        state.shortAt = now
    }

    /** Returns true if the other members recently had no surplus of [account]. */
    fun isDry(now: Long, account: AccountId): Boolean = accounts[account].let { it != null && now < it.dryUntil }

    /** Returns the parts that recent demand uses, of all accounts in use. */
    fun demand(): Map<AccountId, Int> = accounts.mapNotNull { (account, state) ->
        val parts = demandParts(account, state)
        if (parts >= MIN_DEMAND_PARTS) account to parts else null
    }.toMap()

    fun tick(now: Long): List<ShareEffect> {
        val asks = HashMap<Member, MutableList<ShareAmount>>()
        val effects = mutableListOf<ShareEffect>()
        val entries = accounts.entries.iterator()
        while (entries.hasNext()) {
            val (account, state) = entries.next()
            state.meter.roll(now)
            if (table.leased(now)) {
                ask(now, account, state, asks)
                effects += returnIdle(now, account, state)
            }
            if (isUnused(account, state)) entries.remove()
        }
        val number = generation?.number ?: return effects
        for ((to, needs) in asks) {
            if (to != self) effects += ShareEffect.Send(to, ShareMessage.Ask(number, needs))
        }
        return effects + collect(now)
    }

    fun onAsk(now: Long, from: Member, ask: ShareMessage.Ask): List<ShareEffect> {
        val current = generation ?: return emptyList()
        val receiver = ask.onBehalfOf ?: from
        if (receiver !in current.live || receiver == self) return emptyList()
        val effects = mutableListOf<ShareEffect>()
        for (need in ask.needs) {
            val given = give(now, need, isCollection = ask.onBehalfOf != null)
            if (given != null) effects += channels.send(now, receiver, listOf(given))
            val parts = (need.parts - (given?.parts ?: 0)).coerceAtLeast(0)
            val level = (need.levelNanoTokens - (given?.levelNanoTokens ?: 0)).coerceAtLeast(0)
            val isOpen = ask.onBehalfOf == null && need.account in table.limits && (parts > 0 || level > 0)
            if (isOpen) broker.add(now, from, ShareAmount(need.account, parts, level))
        }
        return effects + collect(now)
    }

    fun onNoSurplus(now: Long, noSurplus: List<AccountId>) {
        for (account in noSurplus) {
            val state = accounts[account] ?: continue
            state.silentSince = null
            if (state.creditedNanoTokens < state.askedNanoTokens) {
                state.dryUntil = now + state.dryAskPeriods * parameters.askPeriodNanos
                // An account that stays over its limit asks less and less often.
                state.dryAskPeriods = minOf(2 * state.dryAskPeriods, MAX_DRY_ASK_PERIODS)
            } else {
                state.dryAskPeriods = DRY_ASK_PERIODS
            }
            state.askedNanoTokens = 0
            state.creditedNanoTokens = 0
        }
    }

    fun onCredited(amount: ShareAmount) {
        val state = accounts[amount.account] ?: return
        state.silentSince = null
        state.dryUntil = Long.MIN_VALUE
        state.creditedNanoTokens += amount.levelNanoTokens
    }

    /**
     * Debits up to [need] from this member's surplus; returns null if there is none.
     *
     * @param isCollection true if a broker collects for one member, so that parts that do not cover a request here
     *   can be put together there.
     */
    fun give(now: Long, need: ShareAmount, isCollection: Boolean): ShareAmount? {
        val bucket = table.bucket(now, need.account) ?: return null
        if (!table.leased(now)) return null
        val state = accounts[need.account]
        val parts = minOf(need.parts, surplus(bucket, need.account, state, now, isCollection)).coerceAtLeast(0)
        val rate = (state?.meter?.tokensPerSecond ?: 0.0) * (state?.let { activity(now, it) } ?: 0.0)
        val spare = bucket.level - (rate * KEEP_SECONDS * Bucket.NANOS_PER_SECOND).toLong()
        val level = when {
            state == null || !isShort(now, state) -> minOf(need.levelNanoTokens, spare)
            parts > 0 -> (bucket.level.toDouble() * parts / bucket.parts).toLong()
            else -> 0
        }
        // Tiny levels are left to grow, because every transfer costs two messages.
        val isWorthwhile = parts > 0 || level > 0 && level >= need.levelNanoTokens / MIN_LEVEL_FRACTION
        return if (!isWorthwhile) null else table.debit(now, need.account, parts, level)
    }

    private fun surplus(
        bucket: Bucket,
        account: AccountId,
        state: Account?,
        now: Long,
        isCollection: Boolean,
    ): Int {
        val spare = bucket.parts - table.floorParts
        return when {
            state == null -> spare

            !isShort(now, state) -> minOf(
                spare,
                bucket.parts - (demandParts(account, state) * activity(now, state)).toInt(),
            )

            bucket.capacity(bucket.parts) < state.largestShort -> if (isCollection) spare else 0

            // Members that are all short share evenly rather than in the order in which they asked first.
            else -> (bucket.parts - 2 * evenParts()) / 2
        }
    }

    // Demand that has ended is still in the estimate for a while; other members need its parts sooner.
    private fun activity(now: Long, state: Account): Double =
        (1.0 - (now - state.requestedAt).toDouble() / (AHEAD_ASK_PERIODS * parameters.askPeriodNanos)).coerceIn(
            0.0,
            1.0,
        )

    private fun isShort(now: Long, state: Account): Boolean =
        state.shortAt.let { it != null && now - it < 2 * parameters.askPeriodNanos }

    // Collections for this member itself need no messages between asker and broker.
    private fun collect(now: Long): List<ShareEffect> {
        val receivers = generation?.live.orEmpty().filterNot { ledger.isReleased(it) }
        val (own, others) = broker.tick(now, receivers).partition { it is ShareEffect.Send && it.to == self }
        for (effect in own) {
            val message = (effect as? ShareEffect.Send)?.message
            if (message is ShareMessage.NoSurplus) onNoSurplus(now, message.accounts)
        }
        return others
    }

    private fun state(now: Long, account: AccountId): Account = accounts.getOrPut(account) { Account(now) }

    private fun ask(now: Long, account: AccountId, state: Account, asks: HashMap<Member, MutableList<ShareAmount>>) {
        val periods = if (state.unmetNanoTokens > 0) 1 else AHEAD_ASK_PERIODS
        val asked = state.askedAt
        if (asked != null && now - asked < periods * parameters.askPeriodNanos || now < state.dryUntil) return
        val need = need(now, account, state) ?: return
        val order = order(account)
        if (order.size < 2) return
        state.meter.waiting(state.unmetNanoTokens.toDouble() / Bucket.NANOS_PER_SECOND)
        state.askedNanoTokens = maxOf(state.askedNanoTokens, state.unmetNanoTokens)
        state.unmetNanoTokens = 0
        state.largestUnmet = 0
        state.askedAt = now
        val silentSince = state.silentSince ?: now
        val isSilent = now - silentSince >= SILENT_ASK_PERIODS * parameters.askPeriodNanos
        if (isSilent) state.candidate++
        state.silentSince = if (isSilent) now else silentSince
        val candidate = order[state.candidate % order.size]
        if (candidate == self) broker.add(now, self, need) else asks.getOrPut(candidate) { mutableListOf() } += need
    }

    private fun need(now: Long, account: AccountId, state: Account): ShareAmount? {
        val limit = table.limits[account] ?: return null
        val bucket = table.bucket(now, account) ?: return null
        val rate = state.meter.tokensPerSecond
        val full = bucket.capacity(AllotmentRecord.PARTS)
        // The estimate lags behind new demand, so a multiple of what is missing now is asked for.
        val missing = minOf(maxOf(state.unmetNanoTokens, state.largestUnmet), full / AHEAD_UNMET)
        val ahead = maxOf((rate * TARGET_SECONDS * Bucket.NANOS_PER_SECOND).toLong(), AHEAD_UNMET * missing)
        val target = minOf(full, state.unmetNanoTokens + minOf(full, ahead))
        // Parts must be able to hold the level that waiting requests need.
        val perPart = bucket.capacity(1).coerceAtLeast(1)
        val holding = maxOf(AHEAD_UNMET * missing, minOf(state.largestUnmet, full))
        val requestParts = ((holding + perPart - 1) / perPart).toInt()
        val parts = (maxOf(demandParts(account, state), requestParts) - bucket.parts).coerceAtLeast(0)
        val low = (rate * LOW_SECONDS * Bucket.NANOS_PER_SECOND).toLong()
        val isShort = state.unmetNanoTokens > 0 || parts >= MIN_ASK_PARTS || bucket.level < low
        if (!isShort || limit.burstTokens <= 0) return null
        val room = bucket.capacity(minOf(bucket.parts + parts, AllotmentRecord.PARTS)) - bucket.level
        val level = minOf(target - bucket.level, room).coerceAtLeast(0)
        return if (parts > 0 || level > 0) ShareAmount(account, parts, level) else null
    }

    // Returns parts above the even share to the broker when they have not been used for a while.
    private fun returnIdle(now: Long, account: AccountId, state: Account): List<ShareEffect> {
        val bucket = table.bucket(now, account) ?: return emptyList()
        val keep = maxOf(evenParts(), 2 * demandParts(account, state), table.floorParts)
        if (bucket.parts - keep < MIN_ASK_PARTS) {
            state.idleSince = null
            return emptyList()
        }
        val since = state.idleSince ?: now.also { state.idleSince = it }
        val broker = order(account).firstOrNull() ?: return emptyList()
        if (now - since < IDLE_NANOS || broker == self) return emptyList()
        state.idleSince = null
        val parts = bucket.parts - keep
        val level = (bucket.level.toDouble() * parts / bucket.parts).toLong()
        return table.debit(now, account, parts, level)?.let { channels.send(now, broker, listOf(it)) } ?: emptyList()
    }

    private fun isUnused(account: AccountId, state: Account): Boolean =
        state.meter.isIdle &&
            state.unmetNanoTokens == 0L &&
            table.parts(account) <= evenParts() + MIN_ASK_PARTS

    private fun demandParts(account: AccountId, state: Account): Int {
        val rate = table.limits[account]?.tokensPerSecond ?: return 0
        if (rate <= 0) return 0
        val parts = ceil(state.meter.tokensPerSecond * HEADROOM / rate * AllotmentRecord.PARTS)
        return minOf(parts, AllotmentRecord.PARTS.toDouble()).toInt()
    }

    private fun evenParts(): Int {
        val members = generation?.live?.size ?: 0
        if (members == 0) return 0
        return (ledger.totalParts.toLong() * ShareParameters.PER_MILLE / parameters.floorPerMille / members).toInt()
    }

    private fun order(account: AccountId): List<Member> =
        Rendezvous.order(account.name, generation?.live.orEmpty()) { it.instance.name }
            .filterNot { ledger.isReleased(it) }

    private companion object {
        const val MIN_DEMAND_PARTS = 1_000
        const val MIN_ASK_PARTS = 5_000
        const val MIN_LEVEL_FRACTION = 64
        const val DRY_ASK_PERIODS = 5
        const val MAX_DRY_ASK_PERIODS = 40
        const val AHEAD_ASK_PERIODS = 10

        // A broker without a queue answers within 2 periods.
        const val SILENT_ASK_PERIODS = 10
        const val IDLE_NANOS = 10_000_000_000L

        // Level covers this much demand: kept when giving, asked for below, and asked up to.
        const val KEEP_SECONDS = 0.25
        const val LOW_SECONDS = 0.5
        const val TARGET_SECONDS = 1.0
        const val AHEAD_UNMET = 8
        const val HEADROOM = 1.1
    }
}
