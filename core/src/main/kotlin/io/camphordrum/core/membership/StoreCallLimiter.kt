package io.camphordrum.core.membership

import io.camphordrum.core.WriteOutcome
import kotlin.random.Random

/** Limits the rate of calls to the store; at most one read and one write are outstanding. */
internal class StoreCallLimiter(private val random: Random) {
    class Write(val record: MembershipRecord, val expectedVersion: Long, val sentAt: Long)

    private var readSentAt: Long? = null
    private var nextRead: Long? = null
    private var nextWrite: Long? = null
    private var readFailures = 0
    private var writeConflicts = 0
    private var write: Write? = null

    /** Whether the store must be read before the next write. */
    var mustRead: Boolean = false

    fun mayRead(now: Long): Boolean {
        val sentAt = readSentAt
        if (sentAt != null && now - sentAt >= READ_TIMEOUT_NANOS) readFailed(now)
        return readSentAt == null && isDue(now, nextRead)
    }

    fun readStarted(now: Long) {
        readSentAt = now
    }

    fun readSucceeded(now: Long) {
        readSentAt = null
        mustRead = false
        readFailures = 0
        nextRead = now + READ_INTERVAL_NANOS
    }

    fun readFailed(now: Long) {
        readSentAt = null
        readFailures = (readFailures + 1).coerceAtMost(MAX_DOUBLINGS)
        nextRead = now + jitter(READ_INTERVAL_NANOS shl readFailures)
    }

    fun mayWrite(now: Long): Boolean {
        // Writes have no timeout: a late answer would be mistaken for the answer to the next write.
        return write == null && !mustRead && isDue(now, nextWrite)
    }

    fun writeStarted(now: Long, record: MembershipRecord, expectedVersion: Long) {
        write = Write(record, expectedVersion, now)
    }

    /** Completes the outstanding write, and returns it if there was one. */
    fun writeEnded(now: Long, outcome: WriteOutcome): Write? {
        val completed = write ?: return null
        write = null
        mustRead = outcome == WriteOutcome.Unknown || outcome == WriteOutcome.Conflict
        writeConflicts = if (outcome == WriteOutcome.Conflict) (writeConflicts + 1).coerceAtMost(MAX_DOUBLINGS) else 0
        if (mustRead) nextRead = now + jitter(CONFLICT_BACKOFF_NANOS shl writeConflicts)
        if (outcome == WriteOutcome.Unavailable) nextWrite = now + jitter(WRITE_RETRY_NANOS)
        return completed
    }

    private fun isDue(now: Long, at: Long?): Boolean = at == null || now - at >= 0

    private fun jitter(nanos: Long): Long = nanos / 2 + random.nextLong(nanos)

    private companion object {
        const val READ_INTERVAL_NANOS = 200_000_000L
        const val CONFLICT_BACKOFF_NANOS = 50_000_000L
        const val READ_TIMEOUT_NANOS = 3_000_000_000L
        const val WRITE_RETRY_NANOS = 1_000_000_000L

        // 200 ms doubled five times spaces reads by about 6 s while the store is unavailable.
        const val MAX_DOUBLINGS = 5
    }
}
