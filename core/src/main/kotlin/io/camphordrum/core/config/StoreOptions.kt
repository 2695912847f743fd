package io.camphordrum.core.config

/**
 * Sets the names and bounds of a [ConfigStore].
 *
 * @property rootName name of the root object, to be watched.
 * @property prefix start of the names of content-addressed objects.
 * @property retryNanos first pause after a failed call; doubles up to 32 times, with jitter.
 * @property submitNanos time after which an unsettled change is answered.
 * @property maxWaiting most changes that wait for the one in progress.
 * @property maxCalls most reads, and most writes, in flight; others wait.
 * @property recentChanges number of change ids kept in the root.
 * @property inlineBytes estimated bytes of edits above which they are stored apart from their record.
 * @property historyRecords most records that one query gets.
 */
public data class StoreOptions(
    public val rootName: String = "config/root",
    public val prefix: String = "config/chunks/",
    public val retryNanos: Long = 200_000_000,
    public val submitNanos: Long = 10_000_000_000,
    public val maxWaiting: Int = 64,
    public val maxCalls: Int = 8,
    public val recentChanges: Int = 128,
    public val inlineBytes: Int = 64 shl 10,
    public val historyRecords: Int = 256,
)
