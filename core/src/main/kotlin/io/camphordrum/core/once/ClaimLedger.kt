package io.camphordrum.core.once

import io.camphordrum.core.WriteOutcome

/**
 * Issues the right to run a request at most once for each key.
 *
 * ```kotlin
 * run(ledger.claim(now, ClaimKey(account, "order-17"), fingerprint, AttemptId("edge-1#5/42")))
 * run(ledger.tick(clock.nanos())) // at least every period
 * ```
 *
 * @param epochMillis wall-clock time in milliseconds since the Unix epoch; it selects the hour of new claims.
 */
@Suppress("UnusedParameter", "UnusedPrivateProperty", "FunctionOnlyReturningConstant")
public class ClaimLedger(private val epochMillis: () -> Long, private val settings: ClaimSettings = ClaimSettings()) {
    /** Claims [key] for [attempt]; the decision follows at once or after the store has answered. */
    public fun claim(now: Long, key: ClaimKey, fingerprint: Long, attempt: AttemptId): List<ClaimEffect> =
        listOf(ClaimEffect.RefuseNotRun(attempt, 1_000_000_000L))

    /** Records the [answer] of a request that this ledger let proceed. */
    public fun complete(now: Long, key: ClaimKey, answer: RecordedAnswer): List<ClaimEffect> = emptyList()

    /** Records that a request that this ledger let proceed has certainly not run. */
    public fun release(now: Long, key: ClaimKey): List<ClaimEffect> = emptyList()

    /** Handles a read of [id] that found [value] at [version], or no object (null, 0). */
    public fun storeRead(now: Long, id: ClaimShardId, value: ClaimShard?, version: Long): List<ClaimEffect> =
        emptyList()

    /** Handles a read of [id] without an answer. */
    public fun storeReadFailed(now: Long, id: ClaimShardId): List<ClaimEffect> = emptyList()

    /** Handles the end of the latest write of [id]. */
    public fun storeWritten(now: Long, id: ClaimShardId, outcome: WriteOutcome): List<ClaimEffect> = emptyList()

    /** Does what is due at [now]. */
    public fun tick(now: Long): List<ClaimEffect> = emptyList()
}
