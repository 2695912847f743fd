package io.camphordrum.core.serving

/** Limits the size of a request, the time that its header may take, and the idle time of a connection. */
public data class CallerLimits(
    public val maxHeaderBytes: Int,
    public val maxBodyBytes: Long,
    public val headerMillis: Long,
    public val idleMillis: Long,
)
