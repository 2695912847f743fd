package io.camphordrum.core.once

/**
 * Bounds a [ClaimLedger]; all daemons of a fleet use the same [shards], [shardBytes] and [retentionHours].
 *
 * @property periodNanos how long claims are collected before they are written together.
 * @property claimTimeoutNanos after this time a claim is refused "not run"; far below an hour.
 * @property shardBytes estimated size at which an object takes no more claims.
 * @property objectBytes estimated size beyond which answers are recorded by their hash only.
 * @property answerBytes largest body that is recorded.
 * @property maxWaiting claims, and separately finished claims, that wait for the store.
 * @property maxRunning requests that were let proceed and are not finished; further claims are refused.
 * @property maxKeys known keys of the retention, 8 bytes each; further claims are refused.
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
