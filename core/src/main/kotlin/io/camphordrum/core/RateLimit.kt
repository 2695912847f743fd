package io.camphordrum.core

import kotlinx.serialization.Serializable

/**
 * Bounds what a client account may use over all instances together.
 *
 * @property tokensPerSecond sustained rate in tokens a second.
 * @property burstTokens the most tokens that may be used at once.
 */
@Serializable
public data class RateLimit(public val tokensPerSecond: Long, public val burstTokens: Long)
