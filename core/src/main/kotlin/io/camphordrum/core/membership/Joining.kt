package io.camphordrum.core.membership

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.Generation
import io.camphordrum.core.GenerationMember

/** Decides when an instance adds itself to the membership record, and builds the record to write. */
internal class Joining(private val dataCentre: DataCentreId, private val entry: GenerationMember) {
    private var nextJoinAt: Long? = null
    private var listedSince: Long? = null
    private var delay = INITIAL_DELAY_NANOS

    /** Records whether this member is listed; each removal soon after a join doubles the delay before the next join. */
    fun recordListed(now: Long, listed: Boolean) {
        val since = listedSince
        if (listed) {
            if (since == null) listedSince = now
            return
        }
        if (since == null) return
        listedSince = null
        delay = if (now - since >= STABLE_NANOS) INITIAL_DELAY_NANOS else (delay * 2).coerceAtMost(MAX_DELAY_NANOS)
        nextJoinAt = now + delay
    }

    fun isDue(now: Long): Boolean = nextJoinAt.let { it == null || now - it >= 0 }

    /** Returns the initial record of a data centre, which lists this member only. */
    fun initialRecord(): MembershipRecord = MembershipRecord(Generation(dataCentre, 1, listOf(entry), entry.member))

    /**
     * Returns the members with this one added, or null while it cannot join: the member list or the history is full,
     * or an older incarnation at another address must be removed first, since nothing proves that its process has
     * ended.
     */
    fun membersWithSelf(view: RecordView): List<GenerationMember>? {
        val (sameInstance, others) = view.generation.members.partition { it.member.instance == entry.member.instance }
        val full = others.size >= Membership.MAX_MEMBERS || view.record.history.size >= Membership.MAX_HISTORY
        val replaceable = sameInstance.all { it.member < entry.member && it.peerAddress == entry.peerAddress }
        return if (full || !replaceable) null else others + entry
    }

    private companion object {
        const val INITIAL_DELAY_NANOS = 500_000_000L
        const val MAX_DELAY_NANOS = 32_000_000_000L
        const val STABLE_NANOS = 60_000_000_000L
    }
}
