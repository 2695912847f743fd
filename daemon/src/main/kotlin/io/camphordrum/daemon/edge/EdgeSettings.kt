package io.camphordrum.daemon.edge

/**
 * Bounds the connections of one daemon at its two raw edges.
 *
 * @property connectMillis longest time to open a connection to an endpoint.
 * @property silentMillis time after which unacknowledged bytes end a connection.
 * @property idleMillis how long an unused connection to an endpoint is kept when the endpoint does not say.
 * @property maxBufferedAnswerBytes answers of plain services up to this size are held until they are whole.
 * @property maxConnections callers' connections at once.
 */
data class EdgeSettings(
    val connectMillis: Int = 300,
    val silentMillis: Int = 1_500,
    val idleMillis: Long = 3_000,
    val maxBufferedAnswerBytes: Int = 256 * 1024,
    val maxConnections: Int = 2_500,
    val maxHeaderBytes: Int = 32 * 1024,
    val maxBodyBytes: Long = 8L shl 20,
    val headerMillis: Long = 10_000,
    val idleCallerMillis: Long = 60_000,
)
