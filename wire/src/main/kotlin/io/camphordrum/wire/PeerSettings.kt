package io.camphordrum.wire

/**
 * Bounds the peer connections of one daemon.
 *
 * @property port port to listen on; 0 lets the system choose, which [PeerNetwork.start] returns.
 * @property queueSlots messages that wait for one peer; the oldest is dropped and counted when it is full.
 * @property maxFrameBytes largest frame sent or accepted.
 * @property maxPeers the most peer addresses with a connection, and the most accepted connections.
 * @property helloTimeoutMillis how long a new connection may take until its hello has arrived.
 * @property backOffMillis first wait before a reconnect; it doubles up to [maxBackOffMillis], with jitter.
 * @property seed seeds the jitter.
 * @property advertised `host:port` that the hello names; null names the host and port listened on.
 */
public data class PeerSettings(
    public val host: String = "127.0.0.1",
    public val port: Int,
    public val queueSlots: Int = 1_024,
    public val maxFrameBytes: Int = 1 shl 20,
    public val maxPeers: Int = 512,
    public val helloTimeoutMillis: Long = 5_000,
    public val backOffMillis: Long = 50,
    public val maxBackOffMillis: Long = 5_000,
    public val seed: Long = 0,
    public val advertised: String? = null,
)
