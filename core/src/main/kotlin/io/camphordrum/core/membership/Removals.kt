package io.camphordrum.core.membership

import io.camphordrum.core.Member
import io.camphordrum.core.MemberState
import kotlin.random.Random

/** Detects silent members, and collects and makes the promises that their removal requires. */
internal class Removals(private val self: Member, private val adoption: Adoption, private val random: Random) {
    private class PromiseCollection(var nextRequestAt: Long) {
        val promises = HashSet<Member>()
    }

    private val lastMessageAt = HashMap<Member, Long>()
    private val jitterByMember = HashMap<Member, Long>()
    private val promisedTargets = HashSet<Member>()
    private val promiseCollections = HashMap<Member, PromiseCollection>()
    private val declaredGone = HashSet<Member>()
    private val leavingSince = HashMap<Member, Long>()

    /** Resets the state for the generation of [view]; no removal based on earlier promises can be written. */
    fun reset(now: Long, view: RecordView, previous: RecordView?) {
        promisedTargets.clear()
        promiseCollections.clear()
        val members = view.generation.members.map { it.member }
        for (map in listOf(lastMessageAt, jitterByMember, leavingSince)) map.keys.retainAll(members.toSet())
        declaredGone.retainAll(members.toSet() + view.record.history.flatMap { c -> c.left.map { it.member } })
        // A member may have been removed, joined and marked as leaving again in generations that this member skipped.
        if (view.number != previous?.number?.plus(1)) leavingSince.clear()
        leavingSince.keys.removeAll { view.isLive(it) }
        declaredGone.removeAll { view.isLive(it) && previous?.isLive(it) == false }
        for (member in members) {
            if (view.state(member) == MemberState.LEAVING) leavingSince.putIfAbsent(member, now)
            if (isWitness(view, member) && (previous == null || !isWitness(previous, member))) {
                lastMessageAt[member] = now
            }
            lastMessageAt.putIfAbsent(member, now)
            jitterByMember.getOrPut(member) { random.nextLong(JITTER_NANOS) }
        }
    }

    fun recordMessage(now: Long, member: Member) {
        if (member in lastMessageAt) lastMessageAt[member] = now
        promiseCollections.remove(member)
    }

    /** Restarts all silence timers after a pause of this process, since messages to it may not be processed yet. */
    fun restartSilence(now: Long) {
        for (member in lastMessageAt.keys) lastMessageAt[member] = now
        promiseCollections.clear()
    }

    fun declareGone(members: List<Member>) {
        declaredGone += members
    }

    fun hasPromised(member: Member): Boolean = member in promisedTargets

    /** Promises not to acknowledge [target] in this generation, unless it sent a message recently; true if promised. */
    fun tryPromise(now: Long, view: RecordView, target: Member): Boolean {
        if (target == self || !view.isLive(target)) return false
        val silent = now - (lastMessageAt[target] ?: now) >= PROMISE_AFTER_NANOS
        if (silent || target in declaredGone) promisedTargets += target
        return target in promisedTargets
    }

    fun recordPromise(from: Member, target: Member) {
        promiseCollections[target]?.promises?.add(from)
    }

    /** Requests the missing promises, and returns the members that may be marked as leaving now. */
    fun collectPromises(now: Long, view: RecordView, send: (Member, MembershipMessage) -> Unit): List<Member> {
        val isolated = view.generation.members.none {
            it.member != self &&
                isWitness(view, it.member) &&
                now - (lastMessageAt[it.member] ?: now) < SUSPECT_AFTER_NANOS
        }
        val delay = if (isolated) ISOLATION_DELAY_NANOS else 0L
        for (entry in view.liveMembers(view.number)) {
            if (isSuspected(now, view, entry.member, delay)) {
                val collection = promiseCollections.getOrPut(entry.member) { PromiseCollection(now) }
                if (tryPromise(now, view, entry.member)) collection.promises += self
                if (now >= collection.nextRequestAt) requestPromises(now, view, entry.member, collection, send)
            }
        }
        return promiseCollections.keys.filter { it in declaredGone || cannotRenew(view, it) } +
            declaredGone.filter { view.isLive(it) && it !in promiseCollections }
    }

    /** Returns the leaving members whose leases have certainly expired; the coordinator is the first to act. */
    fun withExpiredLease(now: Long, view: RecordView): List<Member> {
        val delay = if (view.generation.coordinator == self) 0L else JITTER_NANOS / 2
        return leavingSince.filter { (member, since) ->
            now - since >= Membership.REMOVAL_WAIT_NANOS + delay + if (delay == 0L) 0L else jitterByMember[member] ?: 0L
        }.keys.toList()
    }

    private fun isWitness(view: RecordView, member: Member): Boolean = view.witnesses(member).any { it.member == self }

    private fun isSuspected(now: Long, view: RecordView, member: Member, delay: Long): Boolean {
        if (member == self || !isWitness(view, member)) return false
        val silence = now - (lastMessageAt[member] ?: now)
        return silence >= SUSPECT_AFTER_NANOS + delay + (jitterByMember[member] ?: 0L)
    }

    private fun requestPromises(
        now: Long,
        view: RecordView,
        target: Member,
        collection: PromiseCollection,
        send: (Member, MembershipMessage) -> Unit,
    ) {
        collection.nextRequestAt = now + REQUEST_INTERVAL_NANOS
        val witnesses = (adoption.adoptedNumber(target, view)..view.number)
            .flatMap { view.witnesses(target, it) }
            .map { it.member }
        for (witness in witnesses.toSet()) {
            val unneeded = witness == self || witness in collection.promises || view.state(witness) == null
            if (!unneeded) send(witness, RemovalRequest(view.number, target))
        }
    }

    /** Returns whether no quorum for [target] can form in any generation that it may still act on. */
    private fun cannotRenew(view: RecordView, target: Member): Boolean {
        val promises = promiseCollections[target]?.promises ?: return false
        return (adoption.adoptedNumber(target, view)..view.number).all { number ->
            val witnesses = view.witnesses(target, number)
            witnesses.count { it.member in promises || hasTerminated(view, it.member, it.peerAddress) } >=
                blockingSize(witnesses.size)
        }
    }

    // A newer incarnation at the same address proves that the process has ended.
    private fun hasTerminated(view: RecordView, member: Member, address: String): Boolean = member in declaredGone ||
        view.generation.members.any {
            it.member.instance == member.instance && it.member > member && it.peerAddress == address
        }

    private companion object {
        const val SUSPECT_AFTER_NANOS = 3_000_000_000L
        const val JITTER_NANOS = 1_000_000_000L

        // A member that receives no messages lets the others act first, since it is more likely the isolated one.
        const val ISOLATION_DELAY_NANOS = 3_000_000_000L

        // Shorter than SUSPECT_AFTER_NANOS, because a request may arrive before the witness itself suspects the target.
        const val PROMISE_AFTER_NANOS = 2_000_000_000L
        const val REQUEST_INTERVAL_NANOS = 500_000_000L
    }
}
