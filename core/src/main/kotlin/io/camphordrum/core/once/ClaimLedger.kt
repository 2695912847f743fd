package io.camphordrum.core.once

import io.camphordrum.core.WriteOutcome

/**
 * Issues the right to run a request at most once for each key within the retention.
 *
 * ```kotlin
 * run(ledger.claim(now, ClaimKey(account, "order-17"), fingerprint, AttemptId("edge-1#5/42")))
 * run(ledger.tick(clock.nanos())) // at least every period
 * ```
 *
 * A claim is added by a conditional update to the open object of its shard, after every earlier object within the
 * retention was seen to lack the key. Objects form a chain: before a claim is added in an hour, the last objects of the
 * two hours before are sealed, and a full object is marked as continued, so that no claim is added behind the writer.
 * A proceed is issued only when the store shows the claim with this attempt. An attempt that was refused is forgotten
 * and never proceeds, even if its write takes effect later.
 *
 * This needs wall clocks that differ by less than an hour, writes that take effect within an hour or never, attempt ids
 * that are never used twice, and exactly one call of [storeRead], [storeReadFailed] or [storeWritten] for each effect;
 * the caller reports a failure or [WriteOutcome.Unknown] when it stops waiting. A process that ends between the claim
 * and [complete] leaves the outcome unknown for the retention.
 *
 * @param epochMillis wall-clock time in milliseconds since the Unix epoch; it selects the hour of new claims.
 */
public class ClaimLedger(private val epochMillis: () -> Long, private val settings: ClaimSettings = ClaimSettings()) {
    private val effects = ArrayList<ClaimEffect>()
    private val running = HashMap<ClaimKey, ShardLedger.Running>()
    private val shards = List(settings.shards) { shard ->
        ShardLedger(shard, settings, { effects += it }, { key, entry -> running[key] = entry })
    }

    /** Claims [key] for [attempt]; the decision follows at once or after the store has answered. */
    public fun claim(now: Long, key: ClaimKey, fingerprint: Long, attempt: AttemptId): List<ClaimEffect> = collect {
        val full = shards.sumOf { it.waitingCount } >= settings.maxWaiting ||
            running.size >= settings.maxRunning ||
            shards.sumOf { it.keyCount } >= settings.maxKeys
        if (full) {
            effects += ClaimEffect.RefuseNotRun(attempt, FULL_RETRY_NANOS)
        } else {
            shards[shard(key)].claim(now, Claim(key, fingerprint, attempt))
        }
    }

    /** Records the [answer] of a request that this ledger let proceed; a large one is recorded by its hash only. */
    public fun complete(now: Long, key: ClaimKey, answer: RecordedAnswer): List<ClaimEffect> = collect {
        val recorded = answer.takeIf { it.bodyBase64.length <= settings.answerBytes / 3 * 4 + 4 }
        var hash = 0L
        for (c in answer.bodyBase64) hash = hash * 31 + c.code
        finish(now, key) { it.copy(state = ClaimState.COMPLETED, answer = recorded, answerHash = hash) }
    }

    /** Records that a request that this ledger let proceed has certainly not run; its key may be claimed again. */
    public fun release(now: Long, key: ClaimKey): List<ClaimEffect> = collect {
        finish(now, key) { it.copy(state = ClaimState.RELEASED) }
    }

    /** Handles a read of [id] that found [value] at [version], or no object (null, 0). */
    public fun storeRead(now: Long, id: ClaimShardId, value: ClaimShard?, version: Long): List<ClaimEffect> =
        collect { shards[id.shard].storeRead(now, id, value, version) }

    /** Handles a read of [id] without an answer. */
    public fun storeReadFailed(now: Long, id: ClaimShardId): List<ClaimEffect> =
        collect { shards[id.shard].storeReadFailed(now, id) }

    /** Handles the end of the latest write of [id]. */
    public fun storeWritten(now: Long, id: ClaimShardId, outcome: WriteOutcome): List<ClaimEffect> =
        collect { shards[id.shard].storeWritten(now, id, outcome) }

    /** Does what is due at [now]. */
    public fun tick(now: Long): List<ClaimEffect> = collect {
        val hour = Math.floorDiv(epochMillis(), HOUR_MILLIS)
        for (shard in shards) shard.tick(now, hour)
    }

    private inline fun finish(now: Long, key: ClaimKey, change: (Claim) -> Claim) {
        val entry = running.remove(key) ?: return
        shards[shard(key)].finish(now, ShardLedger.Finish(entry.id, change(Claim(key, 0, entry.attempt))))
    }

    private fun shard(key: ClaimKey): Int = Math.floorMod(ShardLog.hash(key), settings.shards.toLong()).toInt()

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
