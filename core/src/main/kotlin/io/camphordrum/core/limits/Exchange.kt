package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.Generation
import io.camphordrum.core.Member
import io.camphordrum.core.Rendezvous
import kotlin.math.ceil

/**
 * Moves parts between the members of a generation, so that they follow demand.
 *
 * A short member asks the account's broker. The broker answers from its own surplus, and otherwise collects surplus
 * from the other members. If the broker is silent, the next member in the account's order is asked.
 */
internal class Exchange(
    private val self: Member,
    private val table: ShareTable,
    private val channels: Channels,
    private val ledger: FloorLedger,
    private val parameters: ShareParameters,
) {
    private class Pending(val since: Long, val need: ShareAmount)

    private class Account(now: Long) {
        val meter = DemandMeter(now)

        // Shortage of requests that were told to wait since the last ask, and the largest such request.
        var unmetNanoTokens = 0L
        var largestUnmet = 0L
        var shortAt: Long? = null
        var largestShort = 0L
        var candidate = 0
        var askedAt: Long? = null
        var silentSince: Long? = null
        var dryUntil = Long.MIN_VALUE
        var collectedAt: Long? = null
        var idleSince: Long? = now
        val pending = LinkedHashMap<Member, Pending>()
    }

    private val accounts = HashMap<AccountId, Account>()
    private var generation: Generation? = null

    fun onGeneration(generation: Generation) {
        this.generation = generation
        for (account in accounts.values) {
            account.pending.clear()
            account.candidate = 0
            account.askedAt = null
            account.silentSince = null
            account.collectedAt = null
        }
    }

    fun meter(now: Long, account: AccountId): DemandMeter = state(now, account).meter

    /** Records that a request found the local level too low. */
    fun unmet(now: Long, account: AccountId, nanoTokens: Long) {
        val state = state(now, account)
        state.unmetNanoTokens = minOf(state.unmetNanoTokens + nanoTokens, Bucket.MAX_BURST * Bucket.NANOS_PER_SECOND)
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
            effects += expirePending(now, account, state)
            if (table.leased(now)) {
                effects += ask(now, account, state, asks)
                effects += returnIdle(now, account, state)
            }
            if (isUnused(account, state)) entries.remove()
        }
        val number = generation?.number ?: return effects
        for ((to, needs) in asks) effects += ShareEffect.Send(to, ShareMessage.Ask(number, needs, forward = true))
        return effects
    }

    fun onAsk(now: Long, from: Member, ask: ShareMessage.Ask): List<ShareEffect> {
        val current = generation ?: return emptyList()
        val effects = mutableListOf<ShareEffect>()
        val none = mutableListOf<AccountId>()
        for (need in ask.needs) {
            if (need.account !in table.limits) continue
            val isBroker = ask.forward && from in current.live
            if (!isBroker || surplus(now, need.account, from) >= need.parts) {
                val given = give(now, need, from)
                if (given != null) effects += channels.send(now, from, listOf(given))
                if (!isBroker || given != null && given.levelNanoTokens >= need.levelNanoTokens) continue
            }
            val state = state(now, need.account)
            val started = collect(now, need, state, from, effects)
            if (started || isCollecting(now, state)) {
                state.pending[from] = Pending(now, need)
            } else {
                val given = give(now, need, from)
                if (given != null) effects += channels.send(now, from, listOf(given)) else none += need.account
            }
        }
        if (none.isNotEmpty()) effects += ShareEffect.Send(from, ShareMessage.NoSurplus(current.number, none))
        return effects
    }

    fun onNoSurplus(now: Long, message: ShareMessage.NoSurplus) {
        for (account in message.accounts) {
            val state = accounts[account] ?: continue
            state.silentSince = null
            state.dryUntil = now + DRY_ASK_PERIODS * parameters.askPeriodNanos
        }
    }

    /** Uses parts that arrived for [account]: first for local requests, then for members that asked. */
    fun onCredited(now: Long, account: AccountId): List<ShareEffect> {
        val state = accounts[account] ?: return emptyList()
        state.silentSince = null
        state.dryUntil = Long.MIN_VALUE
        val effects = mutableListOf<ShareEffect>()
        val waiting = state.pending.entries.iterator()
        while (waiting.hasNext()) {
            val (member, pending) = waiting.next()
            // Requests are covered one after the other: parts split over all of them may cover none.
            if (surplus(now, account, member) < pending.need.parts) break
            val given = give(now, pending.need, member) ?: break
            waiting.remove()
            effects += channels.send(now, member, listOf(given))
        }
        return effects
    }

    /** Debits up to [need] from this member's surplus for [asker]; returns null if there is none. */
    fun give(now: Long, need: ShareAmount, asker: Member): ShareAmount? {
        val bucket = table.bucket(now, need.account) ?: return null
        if (!table.leased(now)) return null
        val state = accounts[need.account]
        val parts = minOf(need.parts, surplus(now, need.account, asker))
        val rate = state?.meter?.tokensPerSecond ?: 0.0
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

    // Returns the parts of the account that this member can spare for the asker.
    private fun surplus(now: Long, account: AccountId, asker: Member): Int {
        val bucket = table.bucket(now, account) ?: return 0
        val state = accounts[account]
        val spare = bucket.parts - table.floorParts
        val parts = when {
            state == null -> spare
            !isShort(now, state) -> minOf(spare, bucket.parts - demandParts(account, state))
            // Parts that cannot cover the waiting request are of no use here; the broker can put them together.
            bucket.capacity(bucket.parts) < state.largestShort -> if (order(account).firstOrNull() ==
                asker
            ) {
                spare
            } else {
                0
            }
            // Members that are all short share evenly rather than in the order in which they asked first.
            else -> (bucket.parts - 2 * evenParts()) / 2
        }
        return parts.coerceAtLeast(0)
    }

    private fun isShort(now: Long, state: Account): Boolean =
        state.shortAt.let { it != null && now - it < 2 * parameters.askPeriodNanos }

    private fun state(now: Long, account: AccountId): Account = accounts.getOrPut(account) { Account(now) }

    private fun ask(
        now: Long,
        account: AccountId,
        state: Account,
        asks: HashMap<Member, MutableList<ShareAmount>>,
    ): List<ShareEffect> {
        val period = if (state.unmetNanoTokens > 0) parameters.askPeriodNanos else collectPeriodNanos
        val asked = state.askedAt
        if (asked != null && now - asked < period || now < state.dryUntil) return emptyList()
        val need = need(now, account, state) ?: return emptyList()
        val order = order(account)
        if (order.size < 2) return emptyList()
        state.meter.waiting(state.unmetNanoTokens.toDouble() / Bucket.NANOS_PER_SECOND)
        state.unmetNanoTokens = 0
        state.largestUnmet = 0
        state.askedAt = now
        if (state.candidate == 0 && order.first() == self) return collectForSelf(now, state, need)
        val silentSince = state.silentSince ?: now
        val isSilent = now - silentSince >= parameters.repeatNanos
        if (isSilent) state.candidate++
        state.silentSince = if (isSilent) now else silentSince
        val others = order.filter { it != self }
        asks.getOrPut(others[state.candidate % others.size]) { mutableListOf() } += need
        return emptyList()
    }

    private fun collectForSelf(now: Long, state: Account, need: ShareAmount): List<ShareEffect> {
        val effects = mutableListOf<ShareEffect>()
        if (collect(now, need, state, self, effects)) {
            state.silentSince = now
        } else if (state.silentSince != null && !isCollecting(now, state)) {
            // A collection that brought nothing shows that no member has surplus.
            state.silentSince = null
            state.dryUntil = now + DRY_ASK_PERIODS * parameters.askPeriodNanos
        }
        return effects
    }

    private fun need(now: Long, account: AccountId, state: Account): ShareAmount? {
        val limit = table.limits[account] ?: return null
        val bucket = table.bucket(now, account) ?: return null
        val rate = state.meter.tokensPerSecond
        val largest = minOf(state.largestUnmet, bucket.capacity(AllotmentRecord.PARTS))
        val capacityPerPart = bucket.capacity(1).coerceAtLeast(1)
        val requestParts = ((largest + capacityPerPart - 1) / capacityPerPart).toInt()
        val parts = (maxOf(demandParts(account, state), requestParts) - bucket.parts).coerceAtLeast(0)
        val low = (rate * LOW_SECONDS * Bucket.NANOS_PER_SECOND).toLong()
        val target = state.unmetNanoTokens + (rate * TARGET_SECONDS * Bucket.NANOS_PER_SECOND).toLong()
        val isShort = state.unmetNanoTokens > 0 || parts >= MIN_ASK_PARTS || bucket.level < low
        if (!isShort || limit.burstTokens <= 0) return null
        val room = bucket.capacity(minOf(bucket.parts + parts, AllotmentRecord.PARTS)) - bucket.level
        val level = minOf(target - bucket.level, room).coerceAtLeast(0)
        return if (parts > 0 || level > 0) ShareAmount(account, parts, level) else null
    }

    // Asks all other members for surplus, at most once in a period; returns whether it did.
    private fun collect(
        now: Long,
        need: ShareAmount,
        state: Account,
        asker: Member,
        effects: MutableList<ShareEffect>,
    ): Boolean {
        val current = generation ?: return false
        val last = state.collectedAt
        if (last != null && now - last < collectPeriodNanos) return false
        state.collectedAt = now
        for (member in current.live) {
            if (member == self || member == asker || ledger.isReleased(member)) continue
            effects += ShareEffect.Send(member, ShareMessage.Ask(current.number, listOf(need), forward = false))
        }
        return true
    }

    private fun isCollecting(now: Long, state: Account): Boolean =
        state.collectedAt.let { it != null && now - it < 2 * parameters.askPeriodNanos }

    private fun expirePending(now: Long, account: AccountId, state: Account): List<ShareEffect> {
        val number = generation?.number ?: return emptyList()
        val expired = state.pending.filterValues { now - it.since >= 2 * parameters.askPeriodNanos }
        return expired.flatMap { (member, pending) ->
            state.pending.remove(member)
            val given = give(now, pending.need, member)
            if (given != null) {
                channels.send(now, member, listOf(given))
            } else {
                listOf(ShareEffect.Send(member, ShareMessage.NoSurplus(number, listOf(account))))
            }
        }
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
            state.pending.isEmpty() &&
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

    private val collectPeriodNanos: Long get() = COLLECT_ASK_PERIODS * parameters.askPeriodNanos

    private companion object {
        const val MIN_DEMAND_PARTS = 1_000
        const val MIN_ASK_PARTS = 5_000
        const val MIN_LEVEL_FRACTION = 64
        const val DRY_ASK_PERIODS = 5
        const val COLLECT_ASK_PERIODS = 10
        const val IDLE_NANOS = 10_000_000_000L

        // Level covers this much demand: kept when giving, asked for below, and asked up to.
        const val KEEP_SECONDS = 0.25
        const val LOW_SECONDS = 0.5
        const val TARGET_SECONDS = 1.0
        const val HEADROOM = 1.1
    }
}
