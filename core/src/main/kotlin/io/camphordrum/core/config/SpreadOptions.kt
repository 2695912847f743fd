package io.camphordrum.core.config

/**
 * Sets the periods and bounds of a [ConfigSpread].
 *
 * @property noticeNanos period of notices to one peer of the own data centre, in turn.
 * @property remoteNoticeNanos period of notices to one peer in another data centre, in turn.
 * @property fetchTimeoutNanos time after which an unanswered fetch is sent to another peer.
 * @property remotePeers peers in each other data centre that get a new change directly.
 * @property logRecords most change records kept for peers that lag.
 * @property logBytes most estimated bytes of them.
 * @property messageBytes most estimated bytes of records in one message; the frame limit is 1 MB.
 */
public data class SpreadOptions(
    public val noticeNanos: Long = 500_000_000,
    public val remoteNoticeNanos: Long = 2_000_000_000,
    public val fetchTimeoutNanos: Long = 1_000_000_000,
    public val remotePeers: Int = 2,
    public val logRecords: Int = 512,
    public val logBytes: Int = 4 shl 20,
    public val messageBytes: Int = 256 shl 10,
)
