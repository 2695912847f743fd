package io.camphordrum.core.limits

import io.camphordrum.core.Generation
import io.camphordrum.core.GenerationMember
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import io.camphordrum.core.MemberState

/**
 * Tracks which floors may still be in use by former members.
 *
 * A member is *informed* if its list surely contains every such floor: it got the list of an informed coordinator and
 * has seen every generation since. A coordinator that finds no informed member reserves the largest sum of floors that
 * can exist, for the whole floor lease.
 */
internal class FloorLedger(private val parameters: ShareParameters) {
    private class Reserved(val peerAddress: String, val parts: Int, val until: Long)

    var informed = false
        private set

    /** The most parts of any account that all floors of the data centre together may use; 0 until known. */
    var totalParts = 0
        private set
    private val memberFloors = HashMap<Member, Int>()
    private val reserved = HashMap<Member, Reserved>()
    private val released = HashSet<Member>()

    /** Follows the change from [old] to [new], the next generation that this member got to know. */
    fun onGeneration(now: Long, old: Generation?, new: Generation) {
        if (old == null || new.number != old.number + 1) informed = false
        val present = new.members.map { it.member }.toSet()
        for (former in old?.members.orEmpty()) {
            if (former.member in present) continue
            val parts = memberFloors.remove(former.member) ?: totalParts
            if (former.member !in released && parts > 0) {
                reserved[former.member] = Reserved(former.peerAddress, parts, now + parameters.floorLeaseNanos)
            }
        }
        for (member in new.members) readmit(member)
        val even = if (new.live.isEmpty()) totalParts else totalParts / new.live.size
        for (member in new.members) {
            if (member.member in released) continue
            val grant = if (member.state == MemberState.LIVE) even else 0
            memberFloors.merge(member.member, grant, ::maxOf)
        }
        released.retainAll(present)
        reserved.values.removeIf { it.until <= now }
        if (reserved.size > MAX_RESERVED) {
            reserved.clear()
            reserved[UNKNOWN] = Reserved("", totalParts, now + parameters.floorLeaseNanos)
        }
    }

    /** Takes over the knowledge of a coordinator that has settled the present generation. */
    fun onSettled(now: Long, message: ShareMessage.Settled, liveMembers: Int) {
        informed = true
        totalParts = message.floorTotalParts
        reserved.clear()
        for (floor in message.floors) {
            reserved[floor.member] = Reserved(floor.peerAddress, floor.parts, now + floor.remainingNanos)
        }
        // The coordinator may still raise floors to the even share in this generation.
        val even = if (liveMembers == 0) totalParts else totalParts / liveMembers
        memberFloors.clear()
        for (floor in message.memberFloors) {
            memberFloors[floor.member] = if (floor.member in released) 0 else maxOf(floor.parts, even)
        }
    }

    /** Records that [member] has given up its floor for good. */
    fun release(member: Member) {
        released.add(member)
        memberFloors[member] = 0
    }

    fun isReleased(member: Member): Boolean = member in released

    fun floors(now: Long): List<ReservedFloor> = reserved.entries.filter { it.value.until > now }
        .map { (member, floor) -> ReservedFloor(member, floor.peerAddress, floor.parts, floor.until - now) }

    private fun readmit(now: GenerationMember) {
        val member = now.member
        reserved.remove(member)?.let { memberFloors[member] = it.parts }
        // A newer incarnation at the same address proves that the former process has ended.
        reserved.entries.removeIf { (former, floor) ->
            former.instance == member.instance &&
                former.incarnation < member.incarnation &&
                floor.peerAddress == now.peerAddress
        }
    }

    internal companion object {
        const val MAX_RESERVED = 1_024
        private val UNKNOWN = Member(InstanceId(""), 0)

        /** Stands for all floors that a data centre may have granted, when no informed member is left. */
        fun unknown(parts: Int, nanos: Long): ReservedFloor = ReservedFloor(UNKNOWN, "", parts, nanos)
    }
}
