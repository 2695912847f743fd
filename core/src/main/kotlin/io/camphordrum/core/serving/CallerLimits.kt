package io.camphordrum.core.serving

/** Bounds what a caller may send, and how long it may take or stay idle. */
public data class CallerLimits(
    public val maxHeaderBytes: Int,
    public val maxBodyBytes: Long,
    public val headerMillis: Long,
    public val idleMillis: Long,
)
