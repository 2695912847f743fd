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
 * Assumptions: reads and conditional writes of the store are linearizable; the clock of a process runs at a rate
 * within 5% of real time, also while the process is paused; the caller passes a time taken before a read was sent, and
 * checks the lease right before each use; a new incarnation at the same address proves that the old process has ended;
 * an operator's statement that an instance is gone is true.
 *
 * A member acts on the latest generation that it has adopted, and never returns to an earlier one.
 *
 * 1. *A lease is short.* It starts before the message that renewed it was sent and lasts 95% of L on the member's own
 *    clock, which is at most L of real time. Late, duplicate and reordered answers therefore do not extend it, and a
 *    process that resumes after a pause finds its lease expired.
 * 2. *Once a member is marked `leaving`, none of its leases starts.* Let the mark of member m be written at time t, and
 *    let g be any generation that m may still act on at t. The remover checks all of them, from the latest one that m
 *    is known to have adopted (older ones are covered by the record's history) to the current one. For each g it has
 *    promises from so many witnesses of m in g that the others do not form a quorum. A promise is given in the current
 *    generation N: its sender refuses m in N, and refuses all heartbeats of earlier generations, because a witness
 *    acknowledges only its own generation. So no quorum in g acknowledges a heartbeat sent after t. A read sent after
 *    t returns the mark.
 * 3. *Promises expire with their generation, which is safe.* A promise given in N is discarded only when its sender
 *    adopts a later generation. That generation was written, so a mark that is conditional on the version of N can no
 *    longer be written, even by a delayed request whose answer was lost. If the mark itself created the new generation,
 *    members that adopt it refuse m because it is leaving. A witness that restarts is another member; acknowledgements
 *    of its new incarnation do not count in generations that list the old one.
 * 4. *Rights are released after the lease has expired.* A member writes the generation without m only after 105% of L
 *    on its own clock since it first read the mark, which is at least L of real time after t. It restarts the wait if
 *    it skipped a generation, in which m may have rejoined. By 1 and 2, no lease of m is valid then. A member that
 *    leaves gracefully gives up its lease permanently before it sends the write. A replaced incarnation has ended.
 * 5. *Generations may overlap, ownership does not.* A member that has not received N + 1 keeps renewing its lease in N
 *    through witnesses that have not received it either. [holds] therefore requires more than the lease: the new
 *    owner of an endpoint waits until each listed member that owned it in an earlier generation is known to have
 *    adopted a generation in which it does not. Members report adoption in heartbeats and acknowledgements, and relay
 *    the adoption of others as a bit set. Members that are not listed hold nothing by 4. A member listed as leaving
 *    counts as owner until it is removed.
 * 6. *A lease may be carried over.* A member that adopts N + 1 keeps the lease it obtained in N until it expires. That
 *    lease started before the adoption; if it started after the mark of m was written, 2 is contradicted.
 *
 * Shares follow the same order: the coordinator of a new generation counts the parts of every listed member as held
 * until that member has acknowledged the generation, and parts of a member that is not listed are free.
 *
 * State is bounded: at most [MAX_MEMBERS] members, [MAX_HISTORY] changes in the history (no member joins while it is
 * full, until a member has removed the changes that are no longer needed), 16 rounds of heartbeats, one read and one
 * write.
 *
 * @param seed seed of the random jitter that prevents members from writing at the same time.
 */
public class Membership(
    private val self: Member,
    private val dataCentre: DataCentreId,
    peerAddress: String,
    seed: Long,
) {
    private val random = Random(seed)
    private val store = StoreCallLimiter(random)
    private val lease = Lease()
    private val adoption = Adoption()
    private val removals = Removals(self, adoption, random)
    private var view: RecordView? = null
    private var configRevision = 0L
    private var terminated = false
    private var leaving = false
    private var lastTick: Long? = null
    private var nextHeartbeat: Long? = null
    private var nextIdleRead: Long? = null
    private var refusedSince: Long? = null
    private var behindSince: Long? = null
    private val notices = NoticeLimiter()
    private val joining = Joining(dataCentre, GenerationMember(self, peerAddress, MemberState.LIVE))
    private val effects = ArrayList<MembershipEffect>()

    /** Latest adopted generation, or null before the first one is known. */
    public val generation: Generation? get() = view?.generation

    /** Whether every listed member is known to have adopted the current generation. */
    public val isAdoptedByAll: Boolean get() = view?.let { adoption.newestAdoptedByAll(it) == it.number } ?: false

    /** Returns whether the lease is valid; to be checked right before each use of a right. */
    public fun leaseValid(now: Long): Boolean {
        val startedAt = lease.startedAt ?: return false
        return isLive() && now - startedAt < VALID_NANOS
    }

    /**
     * Returns whether this instance owns [endpoint] with a valid lease, and no member that may still act on an earlier
     * generation owns it in that generation.
     */
    public fun holds(now: Long, endpoint: EndpointId): Boolean {
        val view = view ?: return false
        if (!leaseValid(now) || view.generation.owner(endpoint) != self) return false
        return isAdoptedByAll ||
            (view.oldestNumber until view.number).none { number ->
                val owner =
                    Rendezvous.first(endpoint.name, view.liveMembers(number)) { it.member.instance.name }?.member
                owner != null &&
                    owner != self &&
                    view.state(owner) != null &&
                    adoption.adoptedNumber(owner, view) <= number
            }
    }

    /** Sets the configuration revision that heartbeats carry. */
    public fun updateConfigRevision(revision: Long) {
        this.configRevision = revision
    }

    /** Handles [message] from [from]. */
    public fun receive(now: Long, from: Member, message: MembershipMessage): List<MembershipEffect> = collectEffects {
        if (terminated) return@collectEffects
        if (message is GenerationNotice) adopt(now, message.record, message.version)
        val view = view ?: return@collectEffects
        if (view.state(from) != null) {
            removals.recordMessage(now, from)
            adoption.recordAdopted(from, message.generation)
        }
        when {
            message.generation < view.number -> sendNotice(now, from, view)
            message.generation > view.number -> requestNotice(now, from, view)
            view.state(from) != null -> handle(now, from, message, view)
        }
    }

    /** Handles a read sent at [sentAt] that found [record] at [version], or no object (null, 0). */
    public fun storeRead(now: Long, sentAt: Long, record: MembershipRecord?, version: Long): List<MembershipEffect> =
        collectEffects {
            store.readSucceeded(now)
            if (terminated) return@collectEffects
            if (record != null) {
                adopt(now, record, version)
                if (record.generation.number == view?.number && isLive()) lease.confirmByStore(sentAt)
            }
            if (record == null || record.generation.number == view?.number) join(now)
        }

    /** Handles a read that received no answer. */
    public fun storeReadFailed(now: Long): List<MembershipEffect> = collectEffects { store.readFailed(now) }

    /**
     * Handles the outcome of the latest [MembershipEffect.WriteStore].
     *
     * The caller reports exactly one outcome for each write, and [WriteOutcome.Unknown] when it stops waiting; no
     * further write is requested before that.
     */
    public fun storeWritten(now: Long, outcome: WriteOutcome): List<MembershipEffect> = collectEffects {
        val write = store.writeEnded(now, outcome)
        if (write == null || outcome !is WriteOutcome.Applied) return@collectEffects
        val others = (view?.generation?.members.orEmpty() + write.record.generation.members).map { it.member }.toSet()
        adopt(now, write.record, outcome.version)
        if (write.record.generation.number == view?.number && isLive()) lease.confirmByStore(write.sentAt)
        view?.let { view -> for (other in others - self) sendNotice(now, other, view) }
    }

    /** Handles an operator's statement that the process of [instance] has ended and cannot act again. */
    public fun declareGone(now: Long, instance: InstanceId): List<MembershipEffect> = collectEffects {
        val view = view ?: return@collectEffects
        val known = view.generation.members + view.record.history.flatMap { it.left }
        removals.declareGone(known.map { it.member }.filter { it.instance == instance && it != self })
        updateMembers(now, view)
    }

    /** Performs the actions that are due at [now]. */
    public fun tick(now: Long): List<MembershipEffect> = collectEffects {
        if (terminated) return@collectEffects
        if (now - (lastTick ?: now) >= PAUSE_THRESHOLD_NANOS) removals.restartSilence(now)
        lastTick = now
        val view = view
        if (view != null && leaving) {
            advanceLeave(now, view)
        } else if (view != null) {
            if (isLive() && isDue(now, nextHeartbeat)) heartbeat(now, view)
            updateMembers(now, view)
        }
        if (!terminated && needsRead(now) && store.mayRead(now)) {
            store.readStarted(now)
            effects += MembershipEffect.ReadStore
        }
    }

    /** Gives up the lease permanently and leaves the generation; to be called after all rights are handed over. */
    public fun leave(now: Long): List<MembershipEffect> = collectEffects {
        leaving = true
        lease.clear()
        val view = view
        if (view == null) {
            terminate(MembershipEffect.Left)
        } else if (!terminated) {
            advanceLeave(now, view)
        }
    }

    private fun isLive(): Boolean = !leaving && !terminated && view?.isLive(self) == true

    private inline fun collectEffects(block: () -> Unit): List<MembershipEffect> {
        effects.clear()
        block()
        return effects.toList()
    }

    private fun send(to: Member, message: MembershipMessage) {
        effects += MembershipEffect.Send(to, message)
    }

    private fun isDue(now: Long, at: Long?): Boolean = at == null || now - at >= 0

    private fun terminate(effect: MembershipEffect) {
        terminated = true
        lease.clear()
        effects += effect
    }

    private fun adopt(now: Long, record: MembershipRecord, version: Long) {
        val previous = view
        val foreign = record.generation.dataCentre != dataCentre
        if (foreign || !RecordView.isValid(record) || record.generation.number <= (previous?.number ?: 0)) return
        val view = RecordView(record, version)
        this.view = view
        adoption.retainListed(view)
        if (view.state(self) != null) adoption.recordAdopted(self, view.number)
        removals.reset(now, view, previous)
        refusedSince = null
        behindSince = null
        store.mustRead = false
        joining.recordListed(now, view.state(self) != null)
        if (isLive()) lease.carryOver(view.witnesses(self).map { it.member }) else lease.clear()
        effects += MembershipEffect.GenerationChanged(view.generation)
        val newerIncarnation = view.generation.members.map { it.member }
            .filter { it.instance == self.instance && it > self }.maxOrNull()
        if (newerIncarnation != null) terminate(MembershipEffect.Superseded(newerIncarnation))
        if (isLive()) heartbeat(now, view)
    }

    private fun heartbeat(now: Long, view: RecordView) {
        nextHeartbeat = now + HEARTBEAT_INTERVAL_NANOS
        val message = Heartbeat(view.number, lease.startRound(now), configRevision, adoption.toBitSet(view))
        for (witness in view.witnesses(self)) send(witness.member, message)
    }

    private fun sendNotice(now: Long, to: Member, view: RecordView) {
        if (!notices.tryAcquire(now, to, view.number)) return
        send(to, GenerationNotice(view.record, view.version))
    }

    private fun requestNotice(now: Long, from: Member, view: RecordView) {
        if (behindSince == null) behindSince = now
        send(from, acknowledgement(view, sequence = 0, granted = false))
    }

    private fun acknowledgement(view: RecordView, sequence: Long, granted: Boolean) =
        Acknowledgement(view.number, sequence, granted, configRevision, adoption.toBitSet(view))

    private fun handle(now: Long, from: Member, message: MembershipMessage, view: RecordView) {
        when (message) {
            is Heartbeat -> {
                recordPeerState(from, message.revision, message.adopted, view)
                val granted = view.isLive(from) && !removals.hasPromised(from)
                send(from, acknowledgement(view, message.sequence, granted))
            }
            is Acknowledgement -> {
                recordPeerState(from, message.revision, message.adopted, view)
                if (message.granted) lease.recordAcknowledgement(from, message.sequence)
                if (!message.granted && refusedSince == null) refusedSince = now
            }
            is RemovalRequest -> if (removals.tryPromise(now, view, message.target)) {
                send(from, RemovalPromise(view.number, message.target))
            }
            is RemovalPromise -> removals.recordPromise(from, message.target)
            is GenerationNotice -> Unit
        }
    }

    private fun recordPeerState(from: Member, revision: Long, adopted: List<Long>, view: RecordView) {
        adoption.merge(adopted, view)
        if (revision > this.configRevision) effects += MembershipEffect.RevisionSeen(from, revision)
    }

    /** Joins after a read that returned the current record or no record. */
    private fun join(now: Long) {
        if (leaving || terminated) return
        if (!store.mayWrite(now) || !joining.isDue(now)) return
        val view = view
        if (view == null) {
            write(now, joining.initialRecord(), expectedVersion = 0)
        } else if (view.state(self) == null) {
            joining.membersWithSelf(view)?.let { write(now, view, it) }
        }
    }

    private fun advanceLeave(now: Long, view: RecordView) {
        if (view.state(self) == null) terminate(MembershipEffect.Left) else writeWithoutSelf(now, view)
    }

    private fun writeWithoutSelf(now: Long, view: RecordView) {
        if (store.mayWrite(now)) write(now, view, view.generation.members.filter { it.member != self })
    }

    private fun updateMembers(now: Long, view: RecordView) {
        // The lease ended with the adoption of this generation, so the removal needs no wait.
        if (view.state(self) == MemberState.LEAVING) writeWithoutSelf(now, view)
        if (!isLive()) return
        val membersToMark = removals.collectPromises(now, view, ::send).toSet()
        if (!store.mayWrite(now)) return
        val membersToRemove = removals.withExpiredLease(now, view).toSet()
        val members = view.generation.members.filter { it.member !in membersToRemove }
            .map { if (it.member in membersToMark) it.copy(state = MemberState.LEAVING) else it }
        if (members != view.generation.members || needsNewGeneration(now, view)) write(now, view, members)
    }

    /** Returns whether the same members need a new generation: to void promises against this member or trim history. */
    private fun needsNewGeneration(now: Long, view: RecordView): Boolean {
        val refused = refusedSince.let { it != null && now - it >= REFUSED_GENERATION_DELAY_NANOS }
        if (refused && !lease.validByWitnesses(now) && leaseValid(now)) return true
        val isFirstLive = view.liveMembers(view.number).first().member == self
        return isFirstLive && view.record.history.size >= MAX_HISTORY / 2 && isAdoptedByAll
    }

    private fun write(now: Long, view: RecordView, members: List<GenerationMember>) =
        write(now, view.nextRecord(members, self, adoption.newestAdoptedByAll(view)), view.version)

    private fun write(now: Long, record: MembershipRecord, expectedVersion: Long) {
        store.writeStarted(now, record, expectedVersion)
        effects += MembershipEffect.WriteStore(record, expectedVersion)
    }

    private fun needsRead(now: Long): Boolean {
        val startedAt = lease.startedAt
        return when {
            store.mustRead -> true
            leaving -> false
            behindSince.let { it != null && now - it >= BEHIND_READ_DELAY_NANOS } -> true
            isLive() -> startedAt == null || now - startedAt >= READ_AFTER_NANOS
            else -> isDue(now, nextIdleRead).also {
                if (it) nextIdleRead = now + IDLE_READ_INTERVAL_NANOS + random.nextLong(IDLE_READ_INTERVAL_NANOS)
            }
        }
    }

    /** Contains the limits and durations. */
    public companion object {
        /** Maximum number of members of a generation. */
        public const val MAX_MEMBERS: Int = 256

        /** Maximum number of changes in a record's history; no member joins while it is full. */
        public const val MAX_HISTORY: Int = 64

        /** Duration L in nanoseconds of real time within which a lease expires. */
        public const val LEASE_NANOS: Long = 3_000_000_000L

        /** How long a lease is valid in nanoseconds on the clock of its member, which may be slow by 5%. */
        public const val VALID_NANOS: Long = LEASE_NANOS * 95 / 100

        /** How long a remover waits in nanoseconds on its own clock, which may be fast by 5%. */
        public const val REMOVAL_WAIT_NANOS: Long = LEASE_NANOS * 105 / 100

        private const val HEARTBEAT_INTERVAL_NANOS = 1_000_000_000L

        // Half of the lease: one lost round of heartbeats triggers a read, whose answer has 1.3 s to arrive.
        private const val READ_AFTER_NANOS = LEASE_NANOS / 2
        private const val BEHIND_READ_DELAY_NANOS = 1_000_000_000L
        private const val IDLE_READ_INTERVAL_NANOS = 1_000_000_000L
        private const val REFUSED_GENERATION_DELAY_NANOS = 2_000_000_000L

        // After a longer gap between two ticks, messages to this process may not be processed yet.
        private const val PAUSE_THRESHOLD_NANOS = 1_000_000_000L
    }
}
