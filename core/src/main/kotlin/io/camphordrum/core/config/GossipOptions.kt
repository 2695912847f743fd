package io.camphordrum.core.config

/**
 * Configures the periods and limits of a [ConfigGossip].
 *
 * @property noticePeriodNanos period of notices; each goes to the next peer in the local data centre (round robin).
 * @property remoteNoticePeriodNanos period of notices to the next peer in another data centre (round robin).
 * @property fetchTimeoutNanos time after which an unanswered fetch is cancelled and may be sent to another peer.
 * @property remotePushPeers number of peers in each other data centre that receive a new change directly.
 * @property maxLogRecords maximum number of change records kept for peers that are behind.
 * @property maxLogBytes maximum estimated size of these records.
 * @property maxMessageBytes maximum estimated size of the records in one message; the frame limit is 1 MB.
 */
public data class GossipOptions(
    public val noticePeriodNanos: Long = 500_000_000,
    public val remoteNoticePeriodNanos: Long = 2_000_000_000,
    public val fetchTimeoutNanos: Long = 1_000_000_000,
    public val remotePushPeers: Int = 2,
    public val maxLogRecords: Int = 512,
    public val maxLogBytes: Int = 4 shl 20,
    public val maxMessageBytes: Int = 256 shl 10,
)
