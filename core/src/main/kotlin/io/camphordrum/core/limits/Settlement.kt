package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.Generation
import io.camphordrum.core.Member

/**
 * Acts for the coordinator of one generation: finds the orphaned parts and hands them out.
 *
 * All members enter the generation at some instant of their own and then neither send nor credit transfers of older
 * generations. The parts that they report for that instant are therefore disjoint, and the allotment less these parts
 * and less the floors of former members belongs to nobody. Nothing is handed out before every listed member has
 * acknowledged, because a silent member may hold any of the missing parts. A coordinator that dies leaves no state
 * behind that matters: the next one starts from new acknowledgements.
 */
internal class Settlement(
    private val generation: Generation,
    private val self: Member,
    private val table: ShareTable,
    private val channels: Channels,
    private val ledger: FloorLedger,
    private val allotments: Allotments,
    private val parameters: ShareParameters,
) {
    private val acknowledgements = HashMap<Member, ShareMessage.GenerationAck>()
    private var isSettled = false

    // The sum of all floors is bounded, so what present members use cannot be in use by former ones.
    private var maxReserved = 0

    // Parts that members of this generation hold or that are on their way to them, or lost.
    private val outstanding = HashMap<AccountId, Int>()
    private val demand = HashMap<Member, Map<AccountId, Int>>()

    // Upper bounds: raised before the member is told, lowered after it confirmed.
    private val floors = HashMap<Member, Int>()
    private val floorsSent = HashMap<Member, Int>()
    private var handedOutAt: Long? = null
    private val firstHandOuts = HashSet<AccountId>()

    /** True once the orphaned parts are known and can be handed out. */
    val isReady: Boolean get() = isSettled && allotments.claimed

    fun acknowledge(now: Long, from: Member, message: ShareMessage.GenerationAck): List<ShareEffect> {
        if (generation.members.none { it.member == from }) return emptyList()
        acknowledgements.putIfAbsent(from, message)
        return if (isSettled) listOf(ShareEffect.Send(from, settled(now))) else emptyList()
    }

    fun demand(from: Member, wanted: Map<AccountId, Int>) {
        demand[from] = wanted
    }

    /** Notes that [member] uses the floor that it was told in a confirmed transfer. */
    fun confirmed(member: Member, transfer: ShareMessage.Transfer) {
        val floor = transfer.floorParts ?: return
        if (floor < (floors[member] ?: 0)) floors[member] = floor
    }

    fun released(member: Member) {
        floors[member] = 0
        demand.remove(member)
    }

    fun tick(now: Long): List<ShareEffect> {
        if (!allotments.claimed) return emptyList()
        val effects = mutableListOf<ShareEffect>()
        if (!isSettled) {
            if (generation.members.any { it.member !in acknowledgements }) return emptyList()
            settle(now)
            for (member in generation.members) {
                if (member.member != self) effects += ShareEffect.Send(member.member, settled(now))
            }
        }
        val last = handedOutAt
        if (last != null && now - last < parameters.repeatNanos) return effects
        handedOutAt = now
        effects += adjustFloors(now)
        val reserved = reservedParts(now)
        for (account in table.limits.keys) effects += handOut(now, account, reserved)
        return effects
    }

    /** Removes [parts] that this member no longer holds from the data centre's account. */
    fun given(account: AccountId, parts: Int) {
        outstanding.merge(account, -parts, Int::plus)
    }

    /** Returns the parts that the data centre's demand uses. */
    fun wanted(own: Map<AccountId, Int>): Map<AccountId, Int> {
        val sum = HashMap(own)
        for ((_, wanted) in demand) {
            for ((account, parts) in wanted) {
                sum.merge(account, parts) { a, b -> minOf(a + b, AllotmentRecord.PARTS) }
            }
        }
        return sum
    }

    private fun settle(now: Long) {
        isSettled = true
        val total = parameters.floorTotal(allotments.defaultParts())
        for ((member, message) in acknowledgements) {
            for ((account, parts) in message.held) outstanding.merge(account, parts, Int::plus)
            floors[member] = if (ledger.isReleased(member)) 0 else message.floorParts
        }
        maxReserved = (total - acknowledgements.values.sumOf { it.floorParts }).coerceAtLeast(0)
        // Every informed member's list is complete, so the smallest one is, too.
        val known = acknowledgements.values.filter { it.informed }.map { it.floors }
            .minByOrNull { list -> list.sumOf { it.parts.toLong() } }
        val reserved = when {
            known != null -> known
            allotments.fresh -> emptyList()
            else -> listOf(FloorLedger.unknown(total, parameters.floorLeaseNanos))
        }
        ledger.onSettled(now, message(total, reserved), generation.live.size)
    }

    private fun settled(now: Long): ShareMessage.Settled = message(ledger.totalParts, ledger.floors(now))

    private fun message(total: Int, reserved: List<ReservedFloor>) = ShareMessage.Settled(
        generation.number,
        total,
        floors.map { (member, parts) -> MemberFloor(member, parts) },
        reserved,
    )

    private fun reservedParts(now: Long): Int =
        minOf(ledger.floors(now).sumOf { it.parts.toLong() }, maxReserved.toLong()).toInt()

    private fun adjustFloors(now: Long): List<ShareEffect> {
        val receivers = receivers()
        if (receivers.isEmpty()) return emptyList()
        val target = ledger.totalParts / generation.live.size
        val effects = mutableListOf<ShareEffect>()
        var free = ledger.totalParts - reservedParts(now) - floors.values.sum()
        for (member in receivers) {
            val current = floors[member] ?: 0
            val raise = minOf(target - current, free)
            if (raise > 0) {
                floors[member] = current + raise
                free -= raise
            }
            val aim = minOf(target, floors[member] ?: 0)
            if (floorsSent[member] == aim || aim == current && member !in floorsSent) continue
            floorsSent[member] = aim
            if (member == self) {
                table.floorParts = aim
                floors[self] = aim
            } else {
                effects += channels.send(now, member, emptyList(), floorParts = aim)
            }
        }
        return effects
    }

    private fun handOut(now: Long, account: AccountId, reserved: Int): List<ShareEffect> {
        val allotment = allotments.parts(account) ?: return emptyList()
        val held = outstanding[account] ?: 0
        val orphaned = allotment - held - reserved
        val receivers = receivers()
        if (orphaned <= 0 || receivers.isEmpty()) return emptyList()
        outstanding[account] = held + orphaned
        // Nobody can have used these parts before, so they may start full.
        val isFull = allotments.fresh && account !in firstHandOuts && held == 0
        firstHandOuts += account
        val burst = table.bucket(now, account)?.capacity(1) ?: 0
        return split(account, orphaned, receivers).flatMap { (member, parts) ->
            val amount = ShareAmount(account, parts, if (isFull) burst * parts else 0)
            if (member == self) {
                table.credit(now, listOf(amount))
                emptyList()
            } else {
                channels.send(now, member, listOf(amount))
            }
        }
    }

    // Half of the orphaned parts are spread evenly, the rest by reported demand; all evenly without demand.
    private fun split(account: AccountId, orphaned: Int, receivers: List<Member>): List<Pair<Member, Int>> {
        val demands = receivers.map { (demand[it]?.get(account) ?: 0).toLong() }
        val even = maxOf(1L, demands.sum() / receivers.size)
        val weights = demands.map { it + even }
        val total = weights.sum()
        val parts = weights.map { (orphaned * it / total).toInt() }.toMutableList()
        parts[0] += orphaned - parts.sum()
        return receivers.zip(parts).filter { it.second > 0 }
    }

    private fun receivers(): List<Member> = generation.live.filterNot { ledger.isReleased(it) }
}
