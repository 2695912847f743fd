package io.camphordrum.core.config

/**
 * Configures the object names and limits of a [ConfigStore].
 *
 * @property rootName name of the root object; the code that runs the store watches it.
 * @property prefix name prefix of content-addressed objects.
 * @property retryNanos first retry delay after a failed call; it doubles up to 32 times this value, with jitter.
 * @property submitTimeoutNanos time after which a change without a known outcome is answered anyway.
 * @property maxQueuedChanges maximum number of changes queued behind the one in progress.
 * @property maxCalls maximum number of reads, and of writes, in flight; further calls are queued.
 * @property recentChanges number of accepted change ids kept in the root object.
 * @property maxInlineBytes estimated size of a record above which its edits are stored in separate objects.
 * @property maxHistoryRecords maximum number of records returned by one query.
 */
public data class StoreOptions(
    public val rootName: String = "config/root",
    public val prefix: String = "config/chunks/",
    public val retryNanos: Long = 200_000_000,
    public val submitTimeoutNanos: Long = 10_000_000_000,
    public val maxQueuedChanges: Int = 64,
    public val maxCalls: Int = 8,
    public val recentChanges: Int = 128,
    public val maxInlineBytes: Int = 64 shl 10,
    public val maxHistoryRecords: Int = 256,
)
