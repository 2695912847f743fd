package io.camphordrum.core.membership

import io.camphordrum.core.Generation
import io.camphordrum.core.GenerationMember
import io.camphordrum.core.Member
import io.camphordrum.core.MemberState
import io.camphordrum.core.Rendezvous

/** Provides queries on one stored record, including the earlier generations that its history covers. */
internal class RecordView(val record: MembershipRecord, val version: Long) {
    val generation: Generation get() = record.generation
    val number: Long get() = generation.number

    /** Oldest generation that a listed member may still act on, according to the record. */
    val oldestNumber: Long = record.generation.number - record.history.size

    private val listed = generation.members.associateBy { it.member }
    private val liveByNumber = HashMap<Long, List<GenerationMember>>()
    private val witnessesByNumber = HashMap<Pair<Long, Member>, List<GenerationMember>>()

    init {
        var live = generation.members.filter { it.state == MemberState.LIVE }
        liveByNumber[number] = live
        for (change in record.history.asReversed()) {
            val joined = change.joined.mapTo(HashSet()) { it.member }
            live = (live.filter { it.member !in joined } + change.left).sortedBy { it.member }
            liveByNumber[change.number - 1] = live
        }
    }

    fun state(member: Member): MemberState? = listed[member]?.state

    fun isLive(member: Member): Boolean = state(member) == MemberState.LIVE

    fun address(member: Member): String? = listed[member]?.peerAddress

    /** Returns the members that were live in generation [number], which the history must cover. */
    fun liveMembers(number: Long): List<GenerationMember> = liveByNumber.getValue(number)

    /** Returns the witnesses of [member] in generation [number]; empty if [member] was not live in it. */
    fun witnesses(member: Member, number: Long = this.number): List<GenerationMember> =
        witnessesByNumber.getOrPut(number to member) {
            val members = liveMembers(number)
            if (members.none { it.member == member }) {
                emptyList()
            } else {
                Rendezvous.order(
                    member.instance.name,
                    members.filter {
                        it.member != member
                    },
                ) { it.member.instance.name }
                    .take(MAX_WITNESSES)
            }
        }

    /**
     * Returns the record of the next generation with [members], written by [coordinator].
     *
     * @param newestAdoptedByAll a generation that every listed member is known to have adopted.
     */
    fun nextRecord(members: List<GenerationMember>, coordinator: Member, newestAdoptedByAll: Long): MembershipRecord {
        val sorted = members.sortedBy { it.member }
        val next = Generation(generation.dataCentre, number + 1, sorted, coordinator)
        val liveNow = liveMembers(number)
        val nextLive = sorted.filter { it.state == MemberState.LIVE }
        val change =
            MembershipChange(number + 1, joined = nextLive - liveNow.toSet(), left = liveNow - nextLive.toSet())
        return MembershipRecord(next, record.history.filter { it.number > newestAdoptedByAll } + change)
    }

    companion object {
        const val MAX_WITNESSES = 7

        /** Returns whether [record] satisfies the constraints that every writer follows. */
        fun isValid(record: MembershipRecord): Boolean {
            val first = record.generation.number - record.history.size + 1
            return record.generation.members.size <= Membership.MAX_MEMBERS &&
                first >= 1 &&
                record.history.withIndex().all { (i, change) -> change.number == first + i }
        }
    }
}
