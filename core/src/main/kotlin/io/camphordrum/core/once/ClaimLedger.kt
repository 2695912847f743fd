package io.camphordrum.core.once

import io.camphordrum.core.WriteOutcome

/**
 * Grants the right to run a request at most once for each idempotency key within the retention.
 *
 * ```kotlin
 * run(ledger.claim(now, ClaimKey(account, "order-17"), fingerprint, AttemptId("edge-1#5/42")))
 * run(ledger.tick(clock.nanos())) // at least every period
 * ```
 *
 * A claim is added by a conditional update to the open object of its shard, after every earlier object within the
 * retention has been read without finding the key. Objects form a chain: before a claim is added in an hour, the last
 * objects of the two preceding hours are sealed, and a full object is marked as continued, so that no other writer can
 * add a claim to an earlier object. [ClaimEffect.Proceed] is emitted only when the store contains the claim with this
 * attempt. A refused attempt is removed and never proceeds, even if its write takes effect later.
 *
 * Requirements: wall clocks differ by less than an hour, writes take effect within an hour or never, attempt ids are
 * unique, and each effect is followed by exactly one call of [storeRead], [storeReadFailed] or [storeWritten]; on a
 * timeout the caller reports a failure or [WriteOutcome.Unknown]. A process that stops between the claim and [complete]
 * leaves the outcome unknown for the retention.
 *
 * @param epochMillis wall-clock time in milliseconds since the Unix epoch; it selects the hour of new claims.
 */
public class ClaimLedger(private val epochMillis: () -> Long, private val settings: ClaimSettings = ClaimSettings()) {
    private val effects = ArrayList<ClaimEffect>()
    private val runningClaims = HashMap<ClaimKey, ShardLedger.RunningClaim>()
    private val shards = List(settings.shards) { shard ->
        ShardLedger(shard, settings, { effects += it }, { key, runningClaim -> runningClaims[key] = runningClaim })
    }

    /** Claims [key] for [attempt]; the decision is emitted at once or after the store has responded. */
    public fun claim(now: Long, key: ClaimKey, fingerprint: Long, attempt: AttemptId): List<ClaimEffect> = collect {
        val isFull = shards.sumOf { it.waitingCount } >= settings.maxWaiting ||
            runningClaims.size >= settings.maxRunning ||
            shards.sumOf { it.keyCount } >= settings.maxKeys
        if (isFull) {
            effects += ClaimEffect.RefuseNotRun(attempt, FULL_RETRY_NANOS)
        } else {
            shards[shardOf(key)].claim(now, Claim(key, fingerprint, attempt))
        }
    }

    /** Records the [answer] of a request that this ledger let proceed; only the hash if the answer is too large. */
    public fun complete(now: Long, key: ClaimKey, answer: RecordedAnswer): List<ClaimEffect> = collect {
        val recorded = answer.takeIf { it.bodyBase64.length <= settings.answerBytes / 3 * 4 + 4 }
        var hash = 0L
        for (char in answer.bodyBase64) hash = hash * 31 + char.code
        finish(now, key) { it.copy(state = ClaimState.COMPLETED, answer = recorded, answerHash = hash) }
    }

    /** Records that a request that this ledger let proceed did not run; its key may be claimed again. */
    public fun release(now: Long, key: ClaimKey): List<ClaimEffect> = collect {
        finish(now, key) { it.copy(state = ClaimState.RELEASED) }
    }

    /** Handles a read of [id] that found [value] at [version], or no object (null, 0). */
    public fun storeRead(now: Long, id: ClaimShardId, value: ClaimShard?, version: Long): List<ClaimEffect> =
        collect { shards[id.shard].storeRead(now, id, value, version) }

    /** Handles a failed read of [id], which may have timed out. */
    public fun storeReadFailed(now: Long, id: ClaimShardId): List<ClaimEffect> =
        collect { shards[id.shard].storeReadFailed(now, id) }

    /** Handles the outcome of the latest write of [id]. */
    public fun storeWritten(now: Long, id: ClaimShardId, outcome: WriteOutcome): List<ClaimEffect> =
        collect { shards[id.shard].storeWritten(now, id, outcome) }

    /** Performs the work that is due at [now]: expires claims and starts store calls. */
    public fun tick(now: Long): List<ClaimEffect> = collect {
        val hour = Math.floorDiv(epochMillis(), HOUR_MILLIS)
        for (shard in shards) shard.tick(now, hour)
    }

    private inline fun finish(now: Long, key: ClaimKey, change: (Claim) -> Claim) {
        val claim = runningClaims.remove(key) ?: return
        shards[shardOf(key)].finish(now, ShardLedger.FinishedClaim(claim.id, change(Claim(key, 0, claim.attempt))))
    }

    private fun shardOf(key: ClaimKey): Int = Math.floorMod(ShardIndex.hash(key), settings.shards.toLong()).toInt()

    private inline fun collect(block: () -> Unit): List<ClaimEffect> {
        effects.clear()
        block()
        return effects.toList()
    }

    private companion object {
        const val HOUR_MILLIS = 3_600_000L
        const val FULL_RETRY_NANOS = 1_000_000_000L
    }
}
