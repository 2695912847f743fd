package io.camphordrum.core.membership

import io.camphordrum.core.Member

/** Tracks from which time on this member's lease counts; every time is before the message that earned it was sent. */
internal class Lease {
    private val roundSentAt = LongArray(ROUNDS)
    private val acknowledged = HashMap<Member, Long>()
    private var witnesses = emptyList<Member>()
    private var proven: Long? = null
    private var byWitnesses: Long? = null
    private var sequence = 0L

    /** The start of the lease, or null when there is none. */
    val base: Long? get() = later(proven, byWitnesses)

    /** Tells whether witnesses alone keep the lease valid. */
    fun witnessed(now: Long): Boolean = byWitnesses.let { it != null && now - it < Membership.VALID_NANOS }

    /** Starts a round of heartbeats and returns its sequence number. */
    fun startRound(now: Long): Long {
        sequence++
        roundSentAt[(sequence % ROUNDS).toInt()] = now
        return sequence
    }

    fun acknowledge(from: Member, sequence: Long) {
        val known = sequence in 1..this.sequence && this.sequence - sequence < ROUNDS
        if (!known || from !in witnesses) return
        val sentAt = roundSentAt[(sequence % ROUNDS).toInt()]
        acknowledged.merge(from, sentAt, ::maxOf)
        val quorum = quorum(witnesses.size)
        if (acknowledged.size < quorum) return
        byWitnesses = acknowledged.values.sortedDescending()[quorum - 1]
    }

    /** Counts the store's answer to a request sent at [sentAt], which showed this member live. */
    fun prove(sentAt: Long) {
        proven = later(proven, sentAt)
    }

    /** Goes over to a generation with other [witnesses]; what was earned so far stays valid for its time. */
    fun carry(witnesses: List<Member>) {
        proven = base
        byWitnesses = null
        acknowledged.clear()
        this.witnesses = witnesses
    }

    fun clear() {
        carry(emptyList())
        proven = null
    }

    private fun later(a: Long?, b: Long?): Long? = if (a == null || b == null) a ?: b else maxOf(a, b)

    private companion object {
        // Acknowledgements of older rounds would extend the lease by nothing.
        const val ROUNDS = 16
    }
}

/** Returns how many of [witnesses] must acknowledge a heartbeat. */
internal fun quorum(witnesses: Int): Int = witnesses / 2 + 1

/** Returns how many of [witnesses] must have stopped acknowledging so that no quorum can form. */
internal fun blocking(witnesses: Int): Int = witnesses - quorum(witnesses) + 1
