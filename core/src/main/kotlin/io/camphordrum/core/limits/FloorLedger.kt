package io.camphordrum.core.limits

import io.camphordrum.core.Generation
import io.camphordrum.core.GenerationMember
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import io.camphordrum.core.MemberState

/**
 * Tracks which floors former members may still use.
 *
 * A floor is the number of parts of every account that a member may use without a lease. A member's list is *complete*
 * if it is certain to contain every floor of a former member: the member received the list of a coordinator with a
 * complete list and has seen every generation since. A coordinator that finds no member with a complete list reserves
 * the largest sum of floors that can exist, for the whole floor lease.
 */
internal class FloorLedger(private val parameters: ShareParameters) {
    private class Reserved(val peerAddress: String, val parts: Int, val expiresAt: Long)

    /** True if the list of reserved floors contains every floor that a former member may still use. */
    var isComplete = false
        private set

    /** Upper bound of the sum of all floors of the data centre, in parts of any account; 0 until known. */
    var totalParts = 0
        private set
    private val memberFloors = HashMap<Member, Int>()
    private val reserved = HashMap<Member, Reserved>()
    private val released = HashSet<Member>()

    /** Updates the floors for the change from [old] to [new], the next generation that this member entered. */
    fun onGeneration(now: Long, old: Generation?, new: Generation) {
        if (old == null || new.number != old.number + 1) isComplete = false
        val currentMembers = new.members.map { it.member }.toSet()
        for (former in old?.members.orEmpty()) {
            if (former.member in currentMembers) continue
            val parts = memberFloors.remove(former.member) ?: totalParts
            if (former.member !in released && parts > 0) {
                reserved[former.member] = Reserved(former.peerAddress, parts, now + parameters.floorLeaseNanos)
            }
        }
        for (member in new.members) removeReplacedFloors(member)
        val evenFloor = if (new.live.isEmpty()) totalParts else totalParts / new.live.size
        for (member in new.members) {
            if (member.member in released) continue
            val maxFloor = if (member.state == MemberState.LIVE) evenFloor else 0
            memberFloors.merge(member.member, maxFloor, ::maxOf)
        }
        released.retainAll(currentMembers)
        reserved.values.removeIf { it.expiresAt <= now }
        if (reserved.size > MAX_RESERVED) {
            reserved.clear()
            reserved[UNKNOWN_MEMBER] = Reserved("", totalParts, now + parameters.floorLeaseNanos)
        }
    }

    /** Replaces this member's floors with those of a coordinator that has reconciled the current generation. */
    fun onReconciled(now: Long, message: ShareMessage.Reconciled, liveMembers: Int) {
        isComplete = true
        totalParts = message.floorTotalParts
        reserved.clear()
        for (floor in message.reservedFloors) {
            reserved[floor.member] = Reserved(floor.peerAddress, floor.parts, now + floor.remainingNanos)
        }
        // In this generation the coordinator may still raise floors to the even share.
        val evenFloor = if (liveMembers == 0) totalParts else totalParts / liveMembers
        memberFloors.clear()
        for (floor in message.memberFloors) {
            memberFloors[floor.member] = if (floor.member in released) 0 else maxOf(floor.parts, evenFloor)
        }
    }

    /** Records that [member] has released its floor permanently. */
    fun release(member: Member) {
        released.add(member)
        memberFloors[member] = 0
    }

    fun isReleased(member: Member): Boolean = member in released

    /** Returns the floors of former members that have not expired at [now]. */
    fun reservedFloors(now: Long): List<ReservedFloor> = reserved.entries.filter { it.value.expiresAt > now }
        .map { (member, floor) -> ReservedFloor(member, floor.peerAddress, floor.parts, floor.expiresAt - now) }

    private fun removeReplacedFloors(current: GenerationMember) {
        val member = current.member
        reserved.remove(member)?.let { memberFloors[member] = it.parts }
        // A newer incarnation at the same address proves that the former process has exited.
        reserved.entries.removeIf { (former, floor) ->
            former.instance == member.instance &&
                former.incarnation < member.incarnation &&
                floor.peerAddress == current.peerAddress
        }
    }

    internal companion object {
        const val MAX_RESERVED = 1_024
        private val UNKNOWN_MEMBER = Member(InstanceId(""), 0)

        /** Returns an entry that stands for all floors of a data centre when no member has a complete list. */
        fun unknownFloors(parts: Int, nanos: Long): ReservedFloor = ReservedFloor(UNKNOWN_MEMBER, "", parts, nanos)
    }
}
