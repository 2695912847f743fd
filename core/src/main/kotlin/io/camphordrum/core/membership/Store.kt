package io.camphordrum.core.membership

import io.camphordrum.core.WriteOutcome
import kotlin.random.Random

/** Spaces out calls to the store; at most one read and one write are outstanding. */
internal class Store(private val random: Random) {
    class Write(val record: MembershipRecord, val expectedVersion: Long, val sentAt: Long)

    private var readSentAt: Long? = null
    private var nextRead: Long? = null
    private var nextWrite: Long? = null
    private var failures = 0
    private var conflicts = 0
    private var write: Write? = null

    /** Set when the store must be read before anything else is written. */
    var mustRead: Boolean = false

    fun mayRead(now: Long): Boolean {
        val sentAt = readSentAt
        if (sentAt != null && now - sentAt >= READ_TIMEOUT_NANOS) readFailed(now)
        return readSentAt == null && due(now, nextRead)
    }

    fun reading(now: Long) {
        readSentAt = now
    }

    fun readAnswered(now: Long) {
        readSentAt = null
        mustRead = false
        failures = 0
        nextRead = now + READ_SPACING_NANOS
    }

    fun readFailed(now: Long) {
        readSentAt = null
        failures = (failures + 1).coerceAtMost(MAX_DOUBLINGS)
        nextRead = now + jitter(READ_SPACING_NANOS shl failures)
    }

    fun mayWrite(now: Long): Boolean {
        // No time-out here: a late answer would be taken for the answer of the next write.
        return write == null && !mustRead && due(now, nextWrite)
    }

    fun writing(now: Long, record: MembershipRecord, expectedVersion: Long) {
        write = Write(record, expectedVersion, now)
    }

    /** Ends the outstanding write, and returns it if there was one. */
    fun writeEnded(now: Long, outcome: WriteOutcome): Write? {
        val ended = write ?: return null
        write = null
        mustRead = outcome == WriteOutcome.Unknown || outcome == WriteOutcome.Conflict
        conflicts = if (outcome == WriteOutcome.Conflict) (conflicts + 1).coerceAtMost(MAX_DOUBLINGS) else 0
        if (mustRead) nextRead = now + jitter(CONFLICT_PAUSE_NANOS shl conflicts)
        if (outcome == WriteOutcome.Unavailable) nextWrite = now + jitter(WRITE_PAUSE_NANOS)
        return ended
    }

    private fun due(now: Long, at: Long?): Boolean = at == null || now - at >= 0

    private fun jitter(nanos: Long): Long = nanos / 2 + random.nextLong(nanos)

    private companion object {
        const val READ_SPACING_NANOS = 200_000_000L
        const val CONFLICT_PAUSE_NANOS = 50_000_000L
        const val READ_TIMEOUT_NANOS = 3_000_000_000L
        const val WRITE_PAUSE_NANOS = 1_000_000_000L

        // 200 ms doubled five times spaces reads by about 6 s while the store is out.
        const val MAX_DOUBLINGS = 5
    }
}
