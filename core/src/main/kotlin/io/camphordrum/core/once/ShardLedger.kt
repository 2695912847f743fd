package io.camphordrum.core.once

import io.camphordrum.core.WriteOutcome

/** Decides the claims of one shard, with at most one pending call to the store. */
internal class ShardLedger(
    shard: Int,
    private val settings: ClaimSettings,
    private val emit: (ClaimEffect) -> Unit,
    private val onProceed: (ClaimKey, RunningClaim) -> Unit,
) {
    /** Locates the stored claim of a request that may run. */
    class RunningClaim(val id: ClaimShardId, val attempt: AttemptId)

    /** Holds the final state [claim] of a finished request until it is recorded in the object [id]. */
    class FinishedClaim(val id: ClaimShardId, val claim: Claim)

    private class WaitingClaim(val claim: Claim, val since: Long) {
        // Objects that have been read since the claim was made, and not written since.
        val checkedObjects = HashSet<ClaimShardId>()
        var writeAttempted = false
    }

    private class Write(
        val id: ClaimShardId,
        val value: ClaimShard,
        val batch: List<Claim>,
        val finished: List<FinishedClaim>,
    )

    private val index = ShardIndex(shard, settings.retentionHours)
    private val waitingClaims = LinkedHashMap<AttemptId, WaitingClaim>()
    private val finishedClaims = LinkedHashMap<AttemptId, FinishedClaim>()
    private var pendingRead: ClaimShardId? = null
    private var pendingWrite: Write? = null
    private var nextCallAt: Long? = null
    private var preferClaims = true

    val waitingCount: Int get() = waitingClaims.size
    val keyCount: Int get() = index.keyCount

    fun claim(now: Long, claim: Claim) {
        if (waitingClaims.isEmpty() && finishedClaims.isEmpty()) nextCallAt = now + settings.periodNanos
        waitingClaims[claim.attempt] = WaitingClaim(claim, now)
    }

    /** Queues a finished claim for recording; if too many wait, discards the oldest, whose outcome stays unknown. */
    fun finish(now: Long, finished: FinishedClaim) {
        if (waitingClaims.isEmpty() && finishedClaims.isEmpty()) nextCallAt = now + settings.periodNanos
        if (finishedClaims.size >= settings.maxWaiting) finishedClaims.remove(finishedClaims.keys.first())
        finishedClaims[finished.claim.attempt] = finished
    }

    fun tick(now: Long, hour: Long) {
        refuseExpired(now)
        val isCallDue = pendingRead == null && pendingWrite == null && nextCallAt.let { it == null || now - it >= 0 }
        if (!isCallDue || (waitingClaims.isEmpty() && finishedClaims.isEmpty())) return
        index.advance(hour)
        startNextCall(now)
    }

    fun storeRead(now: Long, id: ClaimShardId, value: ClaimShard?, version: Long) {
        if (id != pendingRead) return
        pendingRead = null
        refuseExpired(now)
        for (claim in value?.claims.orEmpty()) decide(id, claim)
        val finished = finishedClaims.values.filter { it.id == id }
        if (index.mustSeal(id, value)) {
            val sealed = withFinished(finished, value ?: ClaimShard()).copy(state = ClaimShardState.SEALED)
            return startWrite(Write(id, sealed, emptyList(), finished), version)
        }
        index.record(id, value, version)
        for (waiting in waitingClaims.values) waiting.checkedObjects += id
        if (finished.isEmpty() || index.head?.id == id) return startNextCall(now)
        if (value == null) finished.forEach { finishedClaims.remove(it.claim.attempt) }
        if (value != null) startWrite(Write(id, withFinished(finished, value), emptyList(), finished), version)
    }

    /** Refuses claims that were never written; the others are decided by further reads until they expire. */
    fun storeReadFailed(now: Long, id: ClaimShardId) {
        if (id != pendingRead) return
        pendingRead = null
        nextCallAt = now + STORE_RETRY_NANOS
        refuseExpired(now)
        refuse(waitingClaims.values.filter { !it.writeAttempted })
    }

    fun storeWritten(now: Long, id: ClaimShardId, outcome: WriteOutcome) {
        val write = pendingWrite ?: return
        if (write.id != id) return
        pendingWrite = null
        refuseExpired(now)
        nextCallAt = now + settings.periodNanos
        when (outcome) {
            is WriteOutcome.Applied -> onApplied(now, write, outcome.version)
            WriteOutcome.Conflict, WriteOutcome.Unknown -> {
                if (outcome == WriteOutcome.Unknown) nextCallAt = now
                index.invalidateHead()
            }
            WriteOutcome.Unavailable -> {
                nextCallAt = now + STORE_RETRY_NANOS
                refuse(waitingClaims.values.toList())
            }
        }
    }

    private fun onApplied(now: Long, write: Write, version: Long) {
        for (finished in write.finished) finishedClaims.remove(finished.claim.attempt, finished)
        index.record(write.id, write.value, version)
        for (waiting in waitingClaims.values) waiting.checkedObjects -= write.id
        for (claim in write.batch) {
            if (!proceed(write.id, claim)) {
                // The claim expired during the write; its key may be claimed again.
                finish(now, FinishedClaim(write.id, claim.copy(state = ClaimState.RELEASED)))
            }
        }
    }

    private fun proceed(id: ClaimShardId, claim: Claim): Boolean {
        waitingClaims.remove(claim.attempt) ?: return false
        onProceed(claim.key, RunningClaim(id, claim.attempt))
        emit(ClaimEffect.Proceed(claim.attempt))
        return true
    }

    private fun decide(id: ClaimShardId, found: Claim) {
        if (found.state == ClaimState.RELEASED) return
        for (waiting in waitingClaims.values.filter { it.claim.key == found.key }) {
            val attempt = waiting.claim.attempt
            if (found.attempt == attempt) {
                proceed(id, found)
                continue
            }
            waitingClaims.remove(attempt)
            val answer = found.answer
            emit(
                when {
                    found.fingerprint != waiting.claim.fingerprint -> ClaimEffect.Conflict(attempt)
                    found.state == ClaimState.CLAIMED -> ClaimEffect.OutcomeUnknown(attempt)
                    answer != null -> ClaimEffect.Replay(attempt, answer)
                    else -> ClaimEffect.AnswerNotRecorded(attempt, found.answerHash)
                },
            )
        }
    }

    private fun startNextCall(now: Long) {
        val finishedOutsideHead = finishedClaims.values.firstOrNull { it.id != index.head?.id }
        if (finishedOutsideHead != null && (waitingClaims.isEmpty() || !preferClaims)) {
            preferClaims = true
            return startRead(finishedOutsideHead.id)
        }
        preferClaims = false
        if (waitingClaims.isNotEmpty()) {
            val unread = index.nextUnread() ?: nextUncheckedObject()
            if (unread != null) return startRead(unread)
        }
        writeHead(now)
    }

    /** Returns an unchecked object that may contain the key of a waiting claim; reading it shows whether it does. */
    private fun nextUncheckedObject(): ClaimShardId? {
        val head = index.head
        val keys = head?.value?.claims.orEmpty().filter { it.state != ClaimState.RELEASED }.mapTo(HashSet()) { it.key }
        for (waiting in waitingClaims.values) {
            if (head != null && waiting.claim.key in keys) return head.id
            index.possibleObjects(waiting.claim.key).firstOrNull { it !in waiting.checkedObjects }?.let { return it }
        }
        return null
    }

    private fun writeHead(now: Long) {
        val head = index.head ?: return
        val finished = finishedClaims.values.filter { it.id == head.id }
        val base = withFinished(finished, head.value)
        val roomBytes = settings.shardBytes - ClaimSize.of(base)
        val batch = nextBatch(base, roomBytes)
        for (claim in batch) waitingClaims.getValue(claim.attempt).writeAttempted = true
        val keys = batch.mapTo(HashSet()) { it.key }
        val isFull = batch.isEmpty() && waitingClaims.isNotEmpty()
        val state = if (isFull) ClaimShardState.CONTINUED else ClaimShardState.OPEN
        val value = ClaimShard(state, base.claims.filter { it.key !in keys } + batch)
        nextCallAt = now + settings.periodNanos
        if (value != head.value) startWrite(Write(head.id, value, batch, finished), head.version)
    }

    /** Returns the waiting claims to add: one for each key, as many as fit into [roomBytes] bytes. */
    private fun nextBatch(base: ClaimShard, roomBytes: Int): List<Claim> {
        val keys = base.claims.filter { it.state != ClaimState.RELEASED }.mapTo(HashSet()) { it.key }
        var remainingBytes = roomBytes
        return waitingClaims.values.map { it.claim }.filter { claim ->
            val fits = ClaimSize.of(claim) <= remainingBytes && keys.add(claim.key)
            if (fits) remainingBytes -= ClaimSize.of(claim)
            fits
        }
    }

    private fun withFinished(finished: List<FinishedClaim>, value: ClaimShard): ClaimShard {
        if (finished.isEmpty()) return value
        val byAttempt = finished.associate { it.claim.attempt to it.claim }
        var size = ClaimSize.of(value)
        return value.copy(
            claims = value.claims.map { found ->
                val claim = byAttempt[found.attempt]?.takeIf { found.state == ClaimState.CLAIMED } ?: return@map found
                val updated = found.copy(state = claim.state, answer = claim.answer, answerHash = claim.answerHash)
                val growth = ClaimSize.of(updated) - ClaimSize.of(found)
                if (size + growth > settings.objectBytes) return@map updated.copy(answer = null)
                size += growth
                updated
            },
        )
    }

    private fun startRead(id: ClaimShardId) {
        pendingRead = id
        emit(ClaimEffect.ReadShard(id))
    }

    private fun startWrite(write: Write, version: Long) {
        pendingWrite = write
        emit(ClaimEffect.WriteShard(write.id, write.value, version))
    }

    private fun refuseExpired(now: Long) =
        refuse(waitingClaims.values.filter { now - it.since >= settings.claimTimeoutNanos })

    private fun refuse(entries: List<WaitingClaim>) {
        for (waiting in entries) {
            waitingClaims.remove(waiting.claim.attempt)
            emit(ClaimEffect.RefuseNotRun(waiting.claim.attempt, RETRY_AFTER_NANOS))
        }
    }

    private companion object {
        const val STORE_RETRY_NANOS = 500_000_000L
        const val RETRY_AFTER_NANOS = 1_000_000_000L
    }
}

/** Computes upper bounds of stored sizes that hold for any encoding. */
internal object ClaimSize {
    private const val ENTRY_BYTES = 256

    fun of(claim: Claim): Int {
        val text = claim.key.account.name.length + claim.key.key.length + claim.attempt.name.length
        val answer = claim.answer?.let { it.bodyBase64.length + it.contentType.length } ?: 0
        return ENTRY_BYTES + 3 * text + answer
    }

    fun of(shard: ClaimShard): Int = shard.claims.sumOf { of(it) }
}
