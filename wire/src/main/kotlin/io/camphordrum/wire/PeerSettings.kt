package io.camphordrum.wire

/**
 * Configures the peer connections of one daemon.
 *
 * @property port port to listen on; with 0 the system chooses one, and [PeerNetwork.start] returns it.
 * @property queueCapacity maximum number of queued messages per peer; a full queue drops and counts the oldest.
 * @property maxFrameBytes largest frame sent or accepted.
 * @property maxPeers maximum number of peer addresses connected to, and of accepted connections.
 * @property helloTimeoutMillis time limit for the hello of a new connection.
 * @property backOffMillis delay before the first reconnect; it doubles up to [maxBackOffMillis], with jitter.
 * @property seed seed of the jitter.
 * @property advertisedAddress `host:port` sent in the hello; null sends the listening host and port.
 */
public data class PeerSettings(
    public val host: String = "127.0.0.1",
    public val port: Int,
    public val queueCapacity: Int = 1_024,
    public val maxFrameBytes: Int = 1 shl 20,
    public val maxPeers: Int = 512,
    public val helloTimeoutMillis: Long = 5_000,
    public val backOffMillis: Long = 50,
    public val maxBackOffMillis: Long = 5_000,
    public val seed: Long = 0,
    public val advertisedAddress: String? = null,
)
