package io.camphordrum.daemon.edge

/**
 * Bounds the connections of one daemon to callers and to endpoints.
 *
 * @property connectMillis timeout for opening a connection to an endpoint.
 * @property unresponsiveMillis time after which a connection with unacknowledged bytes is closed.
 * @property idleMillis how long an idle connection to an endpoint is kept when the endpoint states no timeout.
 * @property maxBufferedAnswerBytes answers of plain services up to this size are buffered until they are complete.
 * @property maxAnswerMemoryBytes memory for the incomplete answers of all endpoints.
 * @property maxConnections maximum number of concurrent connections of callers.
 * @property headerMillis time after which a connection with an incomplete request is closed.
 * @property idleCallerMillis time after which an idle connection of a caller is closed.
 */
data class EdgeSettings(
    val connectMillis: Int = 300,
    val unresponsiveMillis: Int = 1_500,
    val idleMillis: Long = 3_000,
    val maxBufferedAnswerBytes: Int = 256 * 1024,
    val maxAnswerMemoryBytes: Long = 24L shl 20,
    val maxConnections: Int = 2_500,
    val maxHeaderBytes: Int = 32 * 1024,
    val maxBodyBytes: Long = 8L shl 20,
    val headerMillis: Long = 10_000,
    val idleCallerMillis: Long = 60_000,
)
