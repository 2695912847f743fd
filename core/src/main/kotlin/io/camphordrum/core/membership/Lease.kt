package io.camphordrum.core.membership

import io.camphordrum.core.Member

/** Tracks the start of this member's lease, which is always before the sending of the message that renewed it. */
internal class Lease {
    private val roundSentAt = LongArray(TRACKED_ROUNDS)
    private val acknowledgedRounds = HashMap<Member, Long>()
    private var witnesses = emptyList<Member>()
    private var confirmedByStore: Long? = null
    private var confirmedByWitnesses: Long? = null
    private var sequence = 0L

    /** Start of the lease in monotonic nanoseconds, or null when there is none. */
    val startedAt: Long? get() = latest(confirmedByStore, confirmedByWitnesses)

    /** Returns whether acknowledgements of witnesses alone keep the lease valid. */
    fun validByWitnesses(now: Long): Boolean =
        confirmedByWitnesses.let { it != null && now - it < Membership.VALID_NANOS }

    /** Starts a round of heartbeats and returns its sequence number. */
    fun startRound(now: Long): Long {
        sequence++
        roundSentAt[(sequence % TRACKED_ROUNDS).toInt()] = now
        return sequence
    }

    fun recordAcknowledgement(from: Member, sequence: Long) {
        val tracked = sequence in 1..this.sequence && this.sequence - sequence < TRACKED_ROUNDS
        if (!tracked || from !in witnesses) return
        val sentAt = roundSentAt[(sequence % TRACKED_ROUNDS).toInt()]
        acknowledgedRounds.merge(from, sentAt, ::maxOf)
        val required = quorumSize(witnesses.size)
        if (acknowledgedRounds.size < required) return
        confirmedByWitnesses = acknowledgedRounds.values.sortedDescending()[required - 1]
    }

    /** Renews the lease by the store's answer to a request sent at [sentAt] that showed this member as live. */
    fun confirmByStore(sentAt: Long) {
        confirmedByStore = latest(confirmedByStore, sentAt)
    }

    /** Switches to a generation with other [witnesses]; the lease obtained so far stays valid until it expires. */
    fun carryOver(witnesses: List<Member>) {
        confirmedByStore = startedAt
        confirmedByWitnesses = null
        acknowledgedRounds.clear()
        this.witnesses = witnesses
    }

    fun clear() {
        carryOver(emptyList())
        confirmedByStore = null
    }

    private fun latest(a: Long?, b: Long?): Long? = if (a == null || b == null) a ?: b else maxOf(a, b)

    private companion object {
        // Acknowledgements of older rounds would not extend the lease.
        const val TRACKED_ROUNDS = 16
    }
}

/** Returns how many of [witnessCount] witnesses must acknowledge a heartbeat. */
internal fun quorumSize(witnessCount: Int): Int = witnessCount / 2 + 1

/** Returns how many of [witnessCount] witnesses must refuse acknowledgement so that no quorum can form. */
internal fun blockingSize(witnessCount: Int): Int = witnessCount - quorumSize(witnessCount) + 1
