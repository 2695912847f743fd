package io.camphordrum.core.once

import io.camphordrum.core.WriteOutcome

/** Settles the claims of one shard with at most one call to the store at a time. */
internal class ShardLedger(
    shard: Int,
    private val settings: ClaimSettings,
    private val emit: (ClaimEffect) -> Unit,
    private val proceeded: (ClaimKey, Running) -> Unit,
) {
    /** Locates the claim of a request that was let proceed. */
    class Running(val id: ClaimShardId, val attempt: AttemptId)

    /** Waits until [claim], which belongs to an object read or written later, is recorded as finished. */
    class Finish(val id: ClaimShardId, val claim: Claim)

    private class Waiting(val claim: Claim, val since: Long) {
        val checked = HashSet<ClaimShardId>()
        var written = false
    }

    private class Write(val id: ClaimShardId, val value: ClaimShard, val batch: List<Claim>, val finished: List<Finish>)

    private val log = ShardLog(shard, settings.retentionHours)
    private val waiting = LinkedHashMap<AttemptId, Waiting>()
    private val finishes = LinkedHashMap<AttemptId, Finish>()
    private var reading: ClaimShardId? = null
    private var write: Write? = null
    private var nextStep: Long? = null
    private var claimsNext = true

    val waitingCount: Int get() = waiting.size
    val keyCount: Int get() = log.keyCount

    fun claim(now: Long, claim: Claim) {
        if (waiting.isEmpty() && finishes.isEmpty()) nextStep = now + settings.periodNanos
        waiting[claim.attempt] = Waiting(claim, now)
    }

    /** Records a finished request; the oldest one that waits is dropped when too many do, and stays unknown. */
    fun finish(now: Long, finish: Finish) {
        if (waiting.isEmpty() && finishes.isEmpty()) nextStep = now + settings.periodNanos
        if (finishes.size >= settings.maxWaiting) finishes.remove(finishes.keys.first())
        finishes[finish.claim.attempt] = finish
    }

    fun tick(now: Long, hour: Long) {
        expire(now)
        val idle = reading == null && write == null && nextStep.let { it == null || now - it >= 0 }
        if (!idle || (waiting.isEmpty() && finishes.isEmpty())) return
        log.advance(hour)
        step(now)
    }

    fun storeRead(now: Long, id: ClaimShardId, value: ClaimShard?, version: Long) {
        if (id != reading) return
        reading = null
        expire(now)
        for (claim in value?.claims.orEmpty()) decide(id, claim)
        val finished = finishes.values.filter { it.id == id }
        if (log.mustSeal(id, value)) {
            val sealed = apply(finished, value ?: ClaimShard()).copy(state = ClaimShardState.SEALED)
            return write(Write(id, sealed, emptyList(), finished), version)
        }
        log.learn(id, value, version)
        for (entry in waiting.values) entry.checked += id
        if (finished.isEmpty() || log.head?.id == id) return step(now)
        if (value == null) finished.forEach { finishes.remove(it.claim.attempt) }
        if (value != null) write(Write(id, apply(finished, value), emptyList(), finished), version)
    }

    /** Refuses what was never written; what may have been written is settled by reading until it expires. */
    fun storeReadFailed(now: Long, id: ClaimShardId) {
        if (id != reading) return
        reading = null
        nextStep = now + RETRY_NANOS
        expire(now)
        refuse(waiting.values.filter { !it.written })
    }

    fun storeWritten(now: Long, id: ClaimShardId, outcome: WriteOutcome) {
        val ended = write ?: return
        if (ended.id != id) return
        write = null
        expire(now)
        nextStep = now + settings.periodNanos
        when (outcome) {
            is WriteOutcome.Applied -> applied(now, ended, outcome.version)
            WriteOutcome.Conflict, WriteOutcome.Unknown -> {
                if (outcome == WriteOutcome.Unknown) nextStep = now
                log.forgetHead()
            }
            WriteOutcome.Unavailable -> {
                nextStep = now + RETRY_NANOS
                refuse(waiting.values.toList())
            }
        }
    }

    private fun applied(now: Long, ended: Write, version: Long) {
        for (finish in ended.finished) finishes.remove(finish.claim.attempt, finish)
        log.learn(ended.id, ended.value, version)
        for (entry in waiting.values) entry.checked -= ended.id
        for (claim in ended.batch) {
            if (!proceed(ended.id, claim)) {
                // The claim expired while it was written; its key may be claimed again.
                finish(now, Finish(ended.id, claim.copy(state = ClaimState.RELEASED)))
            }
        }
    }

    private fun proceed(id: ClaimShardId, claim: Claim): Boolean {
        waiting.remove(claim.attempt) ?: return false
        proceeded(claim.key, Running(id, claim.attempt))
        emit(ClaimEffect.Proceed(claim.attempt))
        return true
    }

    private fun decide(id: ClaimShardId, found: Claim) {
        if (found.state == ClaimState.RELEASED) return
        for (entry in waiting.values.filter { it.claim.key == found.key }) {
            val attempt = entry.claim.attempt
            if (found.attempt == attempt) {
                proceed(id, found)
                continue
            }
            waiting.remove(attempt)
            val answer = found.answer
            emit(
                when {
                    found.fingerprint != entry.claim.fingerprint -> ClaimEffect.Conflict(attempt)
                    found.state == ClaimState.CLAIMED -> ClaimEffect.OutcomeUnknown(attempt)
                    answer != null -> ClaimEffect.Replay(attempt, answer)
                    else -> ClaimEffect.AnswerNotRecorded(attempt, found.answerHash)
                },
            )
        }
    }

    private fun step(now: Long) {
        val elsewhere = finishes.values.firstOrNull { it.id != log.head?.id }
        if (elsewhere != null && (waiting.isEmpty() || !claimsNext)) {
            claimsNext = true
            return read(elsewhere.id)
        }
        claimsNext = false
        if (waiting.isNotEmpty()) {
            val unknown = log.missing() ?: unchecked()
            if (unknown != null) return read(unknown)
        }
        writeHead(now)
    }

    /** Returns an object that may hold the key of a waiting claim; reading it decides the claim, or shows it absent. */
    private fun unchecked(): ClaimShardId? {
        val head = log.head
        val keys = head?.value?.claims.orEmpty().filter { it.state != ClaimState.RELEASED }.mapTo(HashSet()) { it.key }
        for (entry in waiting.values) {
            if (head != null && entry.claim.key in keys) return head.id
            log.candidates(entry.claim.key).firstOrNull { it !in entry.checked }?.let { return it }
        }
        return null
    }

    private fun writeHead(now: Long) {
        val head = log.head ?: return
        val finished = finishes.values.filter { it.id == head.id }
        val base = apply(finished, head.value)
        val room = settings.shardBytes - ClaimSize.of(base)
        val batch = batch(base, room)
        for (claim in batch) waiting.getValue(claim.attempt).written = true
        val keys = batch.mapTo(HashSet()) { it.key }
        val full = batch.isEmpty() && waiting.isNotEmpty()
        val state = if (full) ClaimShardState.CONTINUED else ClaimShardState.OPEN
        val value = ClaimShard(state, base.claims.filter { it.key !in keys } + batch)
        nextStep = now + settings.periodNanos
        if (value != head.value) write(Write(head.id, value, batch, finished), head.version)
    }

    /** Returns the waiting claims to add: one for each key, as many as fit into [room] bytes. */
    private fun batch(base: ClaimShard, room: Int): List<Claim> {
        val taken = base.claims.filter { it.state != ClaimState.RELEASED }.mapTo(HashSet()) { it.key }
        var left = room
        return waiting.values.map { it.claim }.filter { claim ->
            val fits = ClaimSize.of(claim) <= left && taken.add(claim.key)
            if (fits) left -= ClaimSize.of(claim)
            fits
        }
    }

    private fun apply(finished: List<Finish>, value: ClaimShard): ClaimShard {
        if (finished.isEmpty()) return value
        val byAttempt = finished.associate { it.claim.attempt to it.claim }
        var size = ClaimSize.of(value)
        return value.copy(
            claims = value.claims.map { found ->
                val claim = byAttempt[found.attempt]?.takeIf { found.state == ClaimState.CLAIMED } ?: return@map found
                val done = found.copy(state = claim.state, answer = claim.answer, answerHash = claim.answerHash)
                val grown = ClaimSize.of(done) - ClaimSize.of(found)
                if (size + grown > settings.objectBytes) return@map done.copy(answer = null)
                size += grown
                done
            },
        )
    }

    private fun read(id: ClaimShardId) {
        reading = id
        emit(ClaimEffect.ReadShard(id))
    }

    private fun write(next: Write, version: Long) {
        write = next
        emit(ClaimEffect.WriteShard(next.id, next.value, version))
    }

    private fun expire(now: Long) = refuse(waiting.values.filter { now - it.since >= settings.claimTimeoutNanos })

    private fun refuse(entries: List<Waiting>) {
        for (entry in entries) {
            waiting.remove(entry.claim.attempt)
            emit(ClaimEffect.RefuseNotRun(entry.claim.attempt, RETRY_AFTER_NANOS))
        }
    }

    private companion object {
        const val RETRY_NANOS = 500_000_000L
        const val RETRY_AFTER_NANOS = 1_000_000_000L
    }
}

/** Estimates stored sizes from above, whatever the encoding. */
internal object ClaimSize {
    private const val ENTRY_BYTES = 256

    fun of(claim: Claim): Int {
        val text = claim.key.account.name.length + claim.key.key.length + claim.attempt.name.length
        val answer = claim.answer?.let { it.bodyBase64.length + it.contentType.length } ?: 0
        return ENTRY_BYTES + 3 * text + answer
    }

    fun of(shard: ClaimShard): Int = shard.claims.sumOf { of(it) }
}
