package io.camphordrum.core.membership

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Generation
import io.camphordrum.core.GenerationMember
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import io.camphordrum.core.MemberState
import io.camphordrum.core.Rendezvous
import io.camphordrum.core.WriteOutcome
import kotlin.random.Random

/**
 * Decides when this instance may use exclusive rights in its data centre.
 *
 * ```kotlin
 * val membership = Membership(self, DataCentreId("a"), "127.0.0.1:8101", seed = 7)
 * run(membership.tick(clock.nanos())) // at least ten times a second
 * if (membership.holds(clock.nanos(), endpoint)) order(endpoint)
 * ```
 *
 * ## Why no right has two holders at the same time
 *
 * Assumptions: reads and conditional writes of the store are linearizable; a process counts time at a rate within 5%
 * of real time, also while it is paused; the caller passes the time before a read was sent, and checks the lease right
 * before each use; a new incarnation at the same address proves that the old process has ended; an operator's
 * statement that an instance is gone is true.
 *
 * A member acts on the latest generation that it has adopted, and never goes back to an earlier one.
 *
 * 1. *A lease is short.* It starts before the message that earned it was sent and lasts 95% of L on the member's own
 *    clock, which is at most L of real time. Late, duplicate and crossed answers therefore add nothing, and a process
 *    that was paused finds its lease expired.
 * 2. *After the mark `leaving`, no lease starts.* Let the mark of member m be written at time t, and let g be any
 *    generation that m may still act on at t. The remover goes through all of them: from the latest one that m is
 *    known to have adopted (older ones are covered by the record's history) to the current one. For each it has
 *    promises from so many witnesses of m in g that the others are no quorum. A promise is given in the current
 *    generation N: its sender refuses m in N, and refuses all heartbeats of earlier generations, because a witness
 *    acknowledges only its own generation. So no quorum in g acknowledges a heartbeat sent after t. A read sent after
 *    t shows the mark.
 * 3. *Promises end with their generation, safely.* A promise given in N is forgotten only by adopting a later
 *    generation. That one was written, so a mark that is conditional on the version of N can no longer be written,
 *    even by a delayed request whose answer was lost. If the mark itself made the new generation, its readers refuse
 *    m because it is leaving. A witness that restarts is another member; acknowledgements of its new incarnation do
 *    not count in generations that list the old one.
 * 4. *Rights are freed after the lease.* A member writes the generation without m only after 105% of L on its own
 *    clock since it first saw the mark, which is at least L of real time after t. It starts to wait again if it
 *    missed a generation, in which m may have come back. By 1 and 2, no lease of m is valid then. A member that leaves
 *    by itself gives up its lease for ever before it sends the write. A replaced incarnation has ended.
 * 5. *Generations may overlap, ownership does not.* A member that has not heard of N + 1 keeps renewing its lease in N
 *    through witnesses that have not heard of it either. [holds] therefore asks for more than the lease: the new
 *    owner of an endpoint waits until each listed member that owned it in an earlier generation is known to have
 *    adopted a generation in which it does not. Members report adoption in heartbeats and acknowledgements, and pass
 *    on what they know as a bit set. Members that are not listed hold nothing by 4. A member listed as leaving counts
 *    as owner until it is removed.
 * 6. *A lease may be carried over.* A member that adopts N + 1 keeps the lease it earned in N for the rest of its
 *    time. That lease began before the adoption; if it began after the mark of m was written, 2 is contradicted.
 *
 * Shares follow the same order: a new generation's coordinator counts the parts of every listed member as held until
 * that member has acknowledged the generation, and parts of a member that is not listed are free.
 *
 * State is bounded: at most [MAX_MEMBERS] members, [MAX_HISTORY] changes beyond which nobody joins until a member has
 * dropped those that no longer matter, 16 rounds of heartbeats, one read and one write.
 *
 * @param seed seeds the jitter that keeps members from writing at the same time.
 */
public class Membership(
    private val self: Member,
    private val dataCentre: DataCentreId,
    peerAddress: String,
    seed: Long,
) {
    private val random = Random(seed)
    private val store = Store(random)
    private val lease = Lease()
    private val adoption = Adoption()
    private val removals = Removals(self, adoption, random)
    private var view: RecordView? = null
    private var revision = 0L
    private var ended = false
    private var leaving = false
    private var lastTick: Long? = null
    private var nextHeartbeat: Long? = null
    private var nextIdleRead: Long? = null
    private var refusedSince: Long? = null
    private var behindSince: Long? = null
    private val notices = Notices()
    private val joining = Joining(dataCentre, GenerationMember(self, peerAddress, MemberState.LIVE))
    private val effects = ArrayList<MembershipEffect>()

    /** The latest adopted generation, or null before the first one is known. */
    public val generation: Generation? get() = view?.generation

    /** Tells whether every listed member is known to have adopted the current generation. */
    public val settled: Boolean get() = view?.let { adoption.settled(it) == it.number } ?: false

    /** Tells whether the lease is valid; check it right before each use of a right. */
    public fun leaseValid(now: Long): Boolean {
        val base = lease.base ?: return false
        return isLive() && now - base < VALID_NANOS
    }

    /**
     * Tells whether this instance owns [endpoint] with a valid lease, and no member that may still act on an earlier
     * generation owns it there.
     */
    public fun holds(now: Long, endpoint: EndpointId): Boolean {
        val view = view ?: return false
        if (!leaseValid(now) || view.generation.owner(endpoint) != self) return false
        return settled ||
            (view.floor until view.number).none { number ->
                val owner = Rendezvous.first(endpoint.name, view.live(number)) { it.member.instance.name }?.member
                owner != null && owner != self && view.state(owner) != null && adoption.of(owner, view) <= number
            }
    }

    /** Sets the configuration revision that heartbeats carry. */
    public fun configured(revision: Long) {
        this.revision = revision
    }

    /** Handles [message] of [from]. */
    public fun receive(now: Long, from: Member, message: MembershipMessage): List<MembershipEffect> = collect {
        if (ended) return@collect
        if (message is GenerationNotice) adopt(now, message.record, message.version)
        val view = view ?: return@collect
        if (view.state(from) != null) {
            removals.heard(now, from)
            adoption.adopted(from, message.generation)
        }
        when {
            message.generation < view.number -> notify(now, from, view)
            message.generation > view.number -> askForNotice(now, from, view)
            view.state(from) != null -> handle(now, from, message, view)
        }
    }

    /** Handles a read sent at [sentAt] that found [record] at [version], or no object (null, 0). */
    public fun storeRead(now: Long, sentAt: Long, record: MembershipRecord?, version: Long): List<MembershipEffect> =
        collect {
            store.readAnswered(now)
            if (ended) return@collect
            if (record != null) {
                adopt(now, record, version)
                if (record.generation.number == view?.number && isLive()) lease.prove(sentAt)
            }
            if (record == null || record.generation.number == view?.number) join(now)
        }

    /** Handles a read without an answer. */
    public fun storeReadFailed(now: Long): List<MembershipEffect> = collect { store.readFailed(now) }

    /**
     * Handles the end of the latest [MembershipEffect.WriteStore].
     *
     * The caller reports exactly one outcome for each write, and [WriteOutcome.Unknown] when it stops waiting; nothing
     * else is written before that.
     */
    public fun storeWritten(now: Long, outcome: WriteOutcome): List<MembershipEffect> = collect {
        val write = store.writeEnded(now, outcome)
        if (write == null || outcome !is WriteOutcome.Applied) return@collect
        val others = (view?.generation?.members.orEmpty() + write.record.generation.members).map { it.member }.toSet()
        adopt(now, write.record, outcome.version)
        if (write.record.generation.number == view?.number && isLive()) lease.prove(write.sentAt)
        view?.let { view -> for (other in others - self) notify(now, other, view) }
    }

    /** Handles an operator's statement that the process of [instance] has ended and cannot act again. */
    public fun gone(now: Long, instance: InstanceId): List<MembershipEffect> = collect {
        val view = view ?: return@collect
        val known = view.generation.members + view.record.history.flatMap { it.left }
        removals.gone(known.map { it.member }.filter { it.instance == instance && it != self })
        maintain(now, view)
    }

    /** Does what is due at [now]. */
    public fun tick(now: Long): List<MembershipEffect> = collect {
        if (ended) return@collect
        if (now - (lastTick ?: now) >= PAUSE_NANOS) removals.resumed(now)
        lastTick = now
        val view = view
        if (view != null && leaving) {
            leaveNow(now, view)
        } else if (view != null) {
            if (isLive() && due(now, nextHeartbeat)) heartbeat(now, view)
            maintain(now, view)
        }
        if (!ended && needsRead(now) && store.mayRead(now)) {
            store.reading(now)
            effects += MembershipEffect.ReadStore
        }
    }

    /** Gives up the lease for ever and leaves the generation; call it after handing over all rights. */
    public fun leave(now: Long): List<MembershipEffect> = collect {
        leaving = true
        lease.clear()
        val view = view
        if (view == null) {
            end(MembershipEffect.Left)
        } else if (!ended) {
            leaveNow(now, view)
        }
    }

    private fun isLive(): Boolean = !leaving && !ended && view?.isLive(self) == true

    private inline fun collect(block: () -> Unit): List<MembershipEffect> {
        effects.clear()
        block()
        return effects.toList()
    }

    private fun send(to: Member, message: MembershipMessage) {
        effects += MembershipEffect.Send(to, message)
    }

    private fun due(now: Long, at: Long?): Boolean = at == null || now - at >= 0

    private fun end(effect: MembershipEffect) {
        ended = true
        lease.clear()
        effects += effect
    }

    private fun adopt(now: Long, record: MembershipRecord, version: Long) {
        val before = view
        val foreign = record.generation.dataCentre != dataCentre
        if (foreign || !RecordView.isValid(record) || record.generation.number <= (before?.number ?: 0)) return
        val view = RecordView(record, version)
        this.view = view
        adoption.retain(view)
        if (view.state(self) != null) adoption.adopted(self, view.number)
        removals.adopt(now, view, before)
        refusedSince = null
        behindSince = null
        store.mustRead = false
        joining.listed(now, view.state(self) != null)
        if (isLive()) lease.carry(view.witnesses(self).map { it.member }) else lease.clear()
        effects += MembershipEffect.GenerationChanged(view.generation)
        val successor = view.generation.members.map { it.member }
            .filter { it.instance == self.instance && it > self }.maxOrNull()
        if (successor != null) end(MembershipEffect.Superseded(successor))
        if (isLive()) heartbeat(now, view)
    }

    private fun heartbeat(now: Long, view: RecordView) {
        nextHeartbeat = now + HEARTBEAT_NANOS
        val message = Heartbeat(view.number, lease.startRound(now), revision, adoption.bits(view))
        for (witness in view.witnesses(self)) send(witness.member, message)
    }

    private fun notify(now: Long, to: Member, view: RecordView) {
        if (!notices.shouldSend(now, to, view.number)) return
        send(to, GenerationNotice(view.record, view.version))
    }

    private fun askForNotice(now: Long, from: Member, view: RecordView) {
        if (behindSince == null) behindSince = now
        send(from, acknowledgement(view, sequence = 0, granted = false))
    }

    private fun acknowledgement(view: RecordView, sequence: Long, granted: Boolean) =
        Acknowledgement(view.number, sequence, granted, revision, adoption.bits(view))

    private fun handle(now: Long, from: Member, message: MembershipMessage, view: RecordView) {
        when (message) {
            is Heartbeat -> {
                learn(from, message.revision, message.adopted, view)
                val granted = view.isLive(from) && !removals.hasPromised(from)
                send(from, acknowledgement(view, message.sequence, granted))
            }
            is Acknowledgement -> {
                learn(from, message.revision, message.adopted, view)
                if (message.granted) lease.acknowledge(from, message.sequence)
                if (!message.granted && refusedSince == null) refusedSince = now
            }
            is RemovalRequest -> if (removals.promise(now, view, message.target)) {
                send(from, RemovalPromise(view.number, message.target))
            }
            is RemovalPromise -> removals.promisedBy(from, message.target)
            is GenerationNotice -> Unit
        }
    }

    private fun learn(from: Member, revision: Long, adopted: List<Long>, view: RecordView) {
        adoption.merge(adopted, view)
        if (revision > this.revision) effects += MembershipEffect.RevisionSeen(from, revision)
    }

    /** Joins after a read that showed the current record, or no record at all. */
    private fun join(now: Long) {
        if (leaving || ended) return
        if (!store.mayWrite(now) || !joining.due(now)) return
        val view = view
        if (view == null) {
            write(now, joining.first(), expectedVersion = 0)
        } else if (view.state(self) == null) {
            joining.members(view)?.let { write(now, view, it) }
        }
    }

    private fun leaveNow(now: Long, view: RecordView) {
        if (view.state(self) == null) end(MembershipEffect.Left) else withdraw(now, view)
    }

    private fun withdraw(now: Long, view: RecordView) {
        if (store.mayWrite(now)) write(now, view, view.generation.members.filter { it.member != self })
    }

    private fun maintain(now: Long, view: RecordView) {
        // The lease ended with the adoption of this generation, so the removal needs no wait.
        if (view.state(self) == MemberState.LEAVING) withdraw(now, view)
        if (!isLive()) return
        val marked = removals.collect(now, view, ::send).toSet()
        if (!store.mayWrite(now)) return
        val removed = removals.expired(now, view).toSet()
        val members = view.generation.members.filter { it.member !in removed }
            .map { if (it.member in marked) it.copy(state = MemberState.LEAVING) else it }
        if (members != view.generation.members || needsNewNumber(now, view)) write(now, view, members)
    }

    /** Tells whether the same members need a new generation: to void promises against this one, or to drop history. */
    private fun needsNewNumber(now: Long, view: RecordView): Boolean {
        val refused = refusedSince.let { it != null && now - it >= REFUSED_NANOS }
        if (refused && !lease.witnessed(now) && leaseValid(now)) return true
        val first = view.live(view.number).first().member == self
        return first && view.record.history.size >= MAX_HISTORY / 2 && settled
    }

    private fun write(now: Long, view: RecordView, members: List<GenerationMember>) =
        write(now, view.successor(members, self, adoption.settled(view)), view.version)

    private fun write(now: Long, record: MembershipRecord, expectedVersion: Long) {
        store.writing(now, record, expectedVersion)
        effects += MembershipEffect.WriteStore(record, expectedVersion)
    }

    private fun needsRead(now: Long): Boolean {
        val base = lease.base
        return when {
            store.mustRead -> true
            leaving -> false
            behindSince.let { it != null && now - it >= BEHIND_NANOS } -> true
            isLive() -> base == null || now - base >= RENEW_NANOS
            else -> due(now, nextIdleRead).also {
                if (it) nextIdleRead = now + IDLE_NANOS + random.nextLong(IDLE_NANOS)
            }
        }
    }

    /** Names the limits and times. */
    public companion object {
        /** The most members of a generation. */
        public const val MAX_MEMBERS: Int = 256

        /** The most changes in a record's history beyond which nobody joins. */
        public const val MAX_HISTORY: Int = 64

        /** The time L in nanoseconds of real time within which a lease ends. */
        public const val LEASE_NANOS: Long = 3_000_000_000L

        /** How long a lease is valid on the clock of its member, which may be slow by 5%. */
        public const val VALID_NANOS: Long = LEASE_NANOS * 95 / 100

        /** How long a remover waits on its own clock, which may be fast by 5%. */
        public const val REMOVAL_WAIT_NANOS: Long = LEASE_NANOS * 105 / 100

        private const val HEARTBEAT_NANOS = 1_000_000_000L

        // Half of the lease: one lost round of heartbeats leads to a read, and its answer has 1.3 s to arrive.
        private const val RENEW_NANOS = LEASE_NANOS / 2
        private const val BEHIND_NANOS = 1_000_000_000L
        private const val IDLE_NANOS = 1_000_000_000L
        private const val REFUSED_NANOS = 2_000_000_000L

        // A longer gap between two ticks means that messages to this process may still be waiting.
        private const val PAUSE_NANOS = 1_000_000_000L
    }
}
