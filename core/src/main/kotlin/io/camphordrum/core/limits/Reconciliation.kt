package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.Generation
import io.camphordrum.core.Member

/**
 * Acts for the coordinator of one generation: determines the orphaned parts and distributes them.
 *
 * Each member enters the generation at its own time and from then on neither sends nor credits transfers of older
 * generations. The parts that the members report for that time are therefore disjoint, and the allotment less these
 * parts and less the floors of former members is held by no process. Nothing is distributed before every listed member
 * has acknowledged the generation, because a silent member may hold any of the missing parts. The state of a
 * coordinator that fails is not needed: the next coordinator starts from new acknowledgements.
 */
internal class Reconciliation(
    private val generation: Generation,
    private val self: Member,
    private val table: ShareTable,
    private val channels: TransferChannels,
    private val ledger: FloorLedger,
    private val allotments: Allotments,
    private val parameters: ShareParameters,
) {
    private val acknowledgements = HashMap<Member, ShareMessage.GenerationAck>()
    private var isReconciled = false

    // Upper bound of the floors of former members: the sum of all floors is bounded, so the part of it that current
    // members use cannot be in use by former members.
    private var maxReserved = 0

    // Parts that members of this generation hold, parts in transfer to them, and parts that were lost.
    private val outstandingParts = HashMap<AccountId, Int>()
    private val demandByMember = HashMap<Member, Map<AccountId, Int>>()

    // Upper bounds: raised before the floor is sent to the member, lowered after the member has confirmed it.
    private val floors = HashMap<Member, Int>()
    private val floorsSent = HashMap<Member, Int>()
    private var distributedAt: Long? = null
    private val distributedAccounts = HashSet<AccountId>()

    /** True once the orphaned parts are known and can be distributed. */
    val isReady: Boolean get() = isReconciled && allotments.claimed

    fun onAcknowledgement(now: Long, from: Member, message: ShareMessage.GenerationAck): List<ShareEffect> {
        if (generation.members.none { it.member == from }) return emptyList()
        acknowledgements.putIfAbsent(from, message)
        return if (isReconciled) listOf(ShareEffect.Send(from, reconciledMessage(now))) else emptyList()
    }

    fun onDemand(from: Member, demandParts: Map<AccountId, Int>) {
        demandByMember[from] = demandParts
    }

    /** Records that [member] uses the floor that it received with the confirmed [transfer]. */
    fun onTransferConfirmed(member: Member, transfer: ShareMessage.Transfer) {
        val floor = transfer.floorParts ?: return
        if (floor < (floors[member] ?: 0)) floors[member] = floor
    }

    fun onReleased(member: Member) {
        floors[member] = 0
        demandByMember.remove(member)
    }

    fun tick(now: Long): List<ShareEffect> {
        if (!allotments.claimed) return emptyList()
        val effects = mutableListOf<ShareEffect>()
        if (!isReconciled) {
            if (generation.members.any { it.member !in acknowledgements }) return emptyList()
            reconcile(now)
            for (member in generation.members) {
                if (member.member != self) effects += ShareEffect.Send(member.member, reconciledMessage(now))
            }
        }
        val last = distributedAt
        if (last != null && now - last < parameters.retransmitNanos) return effects
        distributedAt = now
        effects += adjustFloors(now)
        val reserved = reservedParts(now)
        for (account in table.limits.keys) effects += distribute(now, account, reserved)
        return effects
    }

    /** Subtracts [parts] of [account] that are leaving the data centre from its outstanding parts. */
    fun subtractOutstanding(account: AccountId, parts: Int) {
        outstandingParts.merge(account, -parts, Int::plus)
    }

    /** Returns the parts that the data centre's demand uses: [ownDemand] plus what other members reported. */
    fun totalDemand(ownDemand: Map<AccountId, Int>): Map<AccountId, Int> {
        val sum = HashMap(ownDemand)
        for ((_, demandParts) in demandByMember) {
            for ((account, parts) in demandParts) {
                sum.merge(account, parts) { total, added -> minOf(total + added, AllotmentRecord.PARTS) }
            }
        }
        return sum
    }

    private fun reconcile(now: Long) {
        isReconciled = true
        val total = parameters.floorTotal(allotments.defaultParts())
        for ((member, message) in acknowledgements) {
            for ((account, parts) in message.held) outstandingParts.merge(account, parts, Int::plus)
            floors[member] = if (ledger.isReleased(member)) 0 else message.floorParts
        }
        maxReserved = (total - acknowledgements.values.sumOf { it.floorParts }).coerceAtLeast(0)
        // Each of these lists is complete, so the one with the smallest sum is complete, too.
        val completeFloors = acknowledgements.values.filter { it.floorsComplete }.map { it.reservedFloors }
            .minByOrNull { list -> list.sumOf { it.parts.toLong() } }
        val reserved = when {
            completeFloors != null -> completeFloors
            allotments.entryCreated -> emptyList()
            else -> listOf(FloorLedger.unknownFloors(total, parameters.floorLeaseNanos))
        }
        ledger.onReconciled(now, message(total, reserved), generation.live.size)
    }

    private fun reconciledMessage(now: Long): ShareMessage.Reconciled =
        message(ledger.totalParts, ledger.reservedFloors(now))

    private fun message(total: Int, reserved: List<ReservedFloor>) = ShareMessage.Reconciled(
        generation.number,
        total,
        floors.map { (member, parts) -> MemberFloor(member, parts) },
        reserved,
    )

    private fun reservedParts(now: Long): Int =
        minOf(ledger.reservedFloors(now).sumOf { it.parts.toLong() }, maxReserved.toLong()).toInt()

    private fun adjustFloors(now: Long): List<ShareEffect> {
        val receivers = receivers()
        if (receivers.isEmpty()) return emptyList()
        val evenFloor = ledger.totalParts / generation.live.size
        val effects = mutableListOf<ShareEffect>()
        var unassignedParts = ledger.totalParts - reservedParts(now) - floors.values.sum()
        for (member in receivers) {
            val current = floors[member] ?: 0
            val raise = minOf(evenFloor - current, unassignedParts)
            if (raise > 0) {
                floors[member] = current + raise
                unassignedParts -= raise
            }
            val newFloor = minOf(evenFloor, floors[member] ?: 0)
            if (floorsSent[member] == newFloor || newFloor == current && member !in floorsSent) continue
            floorsSent[member] = newFloor
            if (member == self) {
                table.floorParts = newFloor
                floors[self] = newFloor
            } else {
                effects += channels.send(now, member, emptyList(), floorParts = newFloor)
            }
        }
        return effects
    }

    private fun distribute(now: Long, account: AccountId, reserved: Int): List<ShareEffect> {
        val allotment = allotments.parts(account) ?: return emptyList()
        val held = outstandingParts[account] ?: 0
        val orphaned = allotment - held - reserved
        val receivers = receivers()
        if (orphaned <= 0 || receivers.isEmpty()) return emptyList()
        outstandingParts[account] = held + orphaned
        // No member can have used these parts before, so they may start at full level.
        val isFull = allotments.entryCreated && account !in distributedAccounts && held == 0
        distributedAccounts += account
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

    // Distributes half of the orphaned parts evenly and the rest by reported demand; all evenly without demand.
    private fun split(account: AccountId, orphaned: Int, receivers: List<Member>): List<Pair<Member, Int>> {
        val demands = receivers.map { (demandByMember[it]?.get(account) ?: 0).toLong() }
        val even = maxOf(1L, demands.sum() / receivers.size)
        val weights = demands.map { it + even }
        val total = weights.sum()
        val parts = weights.map { (orphaned * it / total).toInt() }.toMutableList()
        parts[0] += orphaned - parts.sum()
        return receivers.zip(parts).filter { it.second > 0 }
    }

    private fun receivers(): List<Member> = generation.live.filterNot { ledger.isReleased(it) }
}
