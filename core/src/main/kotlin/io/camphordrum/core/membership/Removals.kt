package io.camphordrum.core.membership

import io.camphordrum.core.Member
import io.camphordrum.core.MemberState
import kotlin.random.Random

/** Finds silent members, and collects and gives the promises that their removal needs. */
internal class Removals(private val self: Member, private val adoption: Adoption, private val random: Random) {
    private class Collection(var askAt: Long) {
        val promises = HashSet<Member>()
    }

    private val heardAt = HashMap<Member, Long>()
    private val patience = HashMap<Member, Long>()
    private val promised = HashSet<Member>()
    private val collections = HashMap<Member, Collection>()
    private val gone = HashSet<Member>()
    private val leavingSince = HashMap<Member, Long>()

    /** Starts over for the generation of [view]: promises are void, because no removal based on them can be written. */
    fun adopt(now: Long, view: RecordView, before: RecordView?) {
        promised.clear()
        collections.clear()
        val members = view.generation.members.map { it.member }
        for (map in listOf(heardAt, patience, leavingSince)) map.keys.retainAll(members.toSet())
        gone.retainAll(members.toSet() + view.record.history.flatMap { c -> c.left.map { it.member } })
        // A member may have been removed, joined and marked again in generations that this one did not see.
        if (view.number != before?.number?.plus(1)) leavingSince.clear()
        leavingSince.keys.removeAll { view.isLive(it) }
        gone.removeAll { view.isLive(it) && before?.isLive(it) == false }
        for (member in members) {
            if (view.state(member) == MemberState.LEAVING) leavingSince.putIfAbsent(member, now)
            if (watches(view, member) && (before == null || !watches(before, member))) heardAt[member] = now
            heardAt.putIfAbsent(member, now)
            patience.getOrPut(member) { random.nextLong(JITTER_NANOS) }
        }
    }

    fun heard(now: Long, member: Member) {
        if (member in heardAt) heardAt[member] = now
        collections.remove(member)
    }

    /** Forgets all silence, because this process did not run for a while and messages to it may be waiting. */
    fun resumed(now: Long) {
        for (member in heardAt.keys) heardAt[member] = now
        collections.clear()
    }

    fun gone(members: List<Member>) {
        gone += members
    }

    fun hasPromised(member: Member): Boolean = member in promised

    /** Gives the promise not to acknowledge [target] in this generation, unless it was heard lately. */
    fun promise(now: Long, view: RecordView, target: Member): Boolean {
        if (target == self || !view.isLive(target)) return false
        val silent = now - (heardAt[target] ?: now) >= AGREE_NANOS
        if (silent || target in gone) promised += target
        return target in promised
    }

    fun promisedBy(from: Member, target: Member) {
        collections[target]?.promises?.add(from)
    }

    /** Asks for the promises that are missing, and returns the members that may be marked as leaving now. */
    fun collect(now: Long, view: RecordView, send: (Member, MembershipMessage) -> Unit): List<Member> {
        val allSilent = view.generation.members.none {
            it.member != self && watches(view, it.member) && now - (heardAt[it.member] ?: now) < SUSPECT_NANOS
        }
        val extra = if (allSilent) ISOLATED_NANOS else 0L
        for (entry in view.live(view.number)) {
            if (suspects(now, view, entry.member, extra)) {
                val collection = collections.getOrPut(entry.member) { Collection(now) }
                if (promise(now, view, entry.member)) collection.promises += self
                if (now >= collection.askAt) ask(now, view, entry.member, collection, send)
            }
        }
        return collections.keys.filter { it in gone || cannotRenew(view, it) } +
            gone.filter { view.isLive(it) && it !in collections }
    }

    /** Returns the leaving members whose leases have expired for certain; the coordinator is the first to act. */
    fun expired(now: Long, view: RecordView): List<Member> {
        val extra = if (view.generation.coordinator == self) 0L else JITTER_NANOS / 2
        return leavingSince.filter { (member, since) ->
            now - since >= Membership.REMOVAL_WAIT_NANOS + extra + if (extra == 0L) 0L else patience[member] ?: 0L
        }.keys.toList()
    }

    private fun watches(view: RecordView, member: Member): Boolean = view.witnesses(member).any { it.member == self }

    private fun suspects(now: Long, view: RecordView, member: Member, extra: Long): Boolean {
        if (member == self || !watches(view, member)) return false
        val silence = now - (heardAt[member] ?: now)
        return silence >= SUSPECT_NANOS + extra + (patience[member] ?: 0L)
    }

    private fun ask(
        now: Long,
        view: RecordView,
        target: Member,
        collection: Collection,
        send: (Member, MembershipMessage) -> Unit,
    ) {
        collection.askAt = now + ASK_AGAIN_NANOS
        val asked = (adoption.of(target, view)..view.number).flatMap { view.witnesses(target, it) }.map { it.member }
        for (witness in asked.toSet()) {
            val pointless = witness == self || witness in collection.promises || view.state(witness) == null
            if (!pointless) send(witness, RemovalRequest(view.number, target))
        }
    }

    /** Tells whether no quorum for [target] can form in any generation that it may still act on. */
    private fun cannotRenew(view: RecordView, target: Member): Boolean {
        val promises = collections[target]?.promises ?: return false
        return (adoption.of(target, view)..view.number).all { number ->
            val witnesses = view.witnesses(target, number)
            witnesses.count { it.member in promises || ended(view, it.member, it.peerAddress) } >=
                blocking(witnesses.size)
        }
    }

    // A newer incarnation at the same address proves that the process has ended.
    private fun ended(view: RecordView, member: Member, address: String): Boolean = member in gone ||
        view.generation.members.any {
            it.member.instance == member.instance && it.member > member && it.peerAddress == address
        }

    private companion object {
        const val SUSPECT_NANOS = 3_000_000_000L
        const val JITTER_NANOS = 1_000_000_000L

        // A member that hears nobody lets the others act first, since it is more likely the one cut off.
        const val ISOLATED_NANOS = 3_000_000_000L

        // Below the time of suspicion, since requests arrive before the receiver suspects the target itself.
        const val AGREE_NANOS = 2_000_000_000L
        const val ASK_AGAIN_NANOS = 500_000_000L
    }
}
