package io.camphordrum.core.membership

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.Generation
import io.camphordrum.core.GenerationMember

/** Decides when and how an instance adds itself to the members. */
internal class Joining(private val dataCentre: DataCentreId, private val entry: GenerationMember) {
    private var joinAt: Long? = null
    private var liveSince: Long? = null
    private var delay = FIRST_DELAY_NANOS

    /** Notes whether this member is listed; a member that keeps being removed waits longer each time. */
    fun listed(now: Long, listed: Boolean) {
        val since = liveSince
        if (listed) {
            if (since == null) liveSince = now
            return
        }
        if (since == null) return
        liveSince = null
        delay = if (now - since >= STABLE_NANOS) FIRST_DELAY_NANOS else (delay * 2).coerceAtMost(MAX_DELAY_NANOS)
        joinAt = now + delay
    }

    fun due(now: Long): Boolean = joinAt.let { it == null || now - it >= 0 }

    /** Returns the first record of a data centre. */
    fun first(): MembershipRecord = MembershipRecord(Generation(dataCentre, 1, listOf(entry), entry.member))

    /**
     * Returns the members with this one added, or null while it has to wait: the lists are full, or an older
     * incarnation at another address must be removed first, since nothing proves that its process has ended.
     */
    fun members(view: RecordView): List<GenerationMember>? {
        val (same, others) = view.generation.members.partition { it.member.instance == entry.member.instance }
        val full = others.size >= Membership.MAX_MEMBERS || view.record.history.size >= Membership.MAX_HISTORY
        val replaceable = same.all { it.member < entry.member && it.peerAddress == entry.peerAddress }
        return if (full || !replaceable) null else others + entry
    }

    private companion object {
        const val FIRST_DELAY_NANOS = 500_000_000L
        const val MAX_DELAY_NANOS = 32_000_000_000L
        const val STABLE_NANOS = 60_000_000_000L
    }
}
