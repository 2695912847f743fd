package io.camphordrum.core.once

/**
 * Configures the bounds of a [ClaimLedger]; all daemons use the same [shards], [shardBytes] and [retentionHours].
 *
 * @property periodNanos time for which claims are collected before they are written together.
 * @property claimTimeoutNanos time after which a claim is refused as not run; must be far below an hour.
 * @property shardBytes estimated size at which an object accepts no more claims.
 * @property objectBytes estimated size beyond which answers are recorded by their hash only.
 * @property answerBytes maximum size of a body that is recorded.
 * @property maxWaiting maximum number of claims that wait for the store; applies separately to finished claims, too.
 * @property maxRunning maximum number of requests that may run and are not finished; further claims are refused.
 * @property maxKeys maximum number of known keys within the retention, 8 bytes each; further claims are refused.
 */
public data class ClaimSettings(
    public val shards: Int = 16,
    public val periodNanos: Long = 50_000_000L,
    public val claimTimeoutNanos: Long = 5_000_000_000L,
    public val retentionHours: Int = 24,
    public val shardBytes: Int = 512 * 1024,
    public val objectBytes: Int = 900 * 1024,
    public val answerBytes: Int = 8 * 1024,
    public val maxWaiting: Int = 1_024,
    public val maxRunning: Int = 4_096,
    public val maxKeys: Int = 1_000_000,
)
