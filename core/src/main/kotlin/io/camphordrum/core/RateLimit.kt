package io.camphordrum.core

import kotlinx.serialization.Serializable

/**
 * Limits the token usage of a client account over all instances together.
 *
 * @property tokensPerSecond sustained rate in tokens per second.
 * @property burstTokens maximum number of tokens that may be used at once.
 */
@Serializable
public data class RateLimit(public val tokensPerSecond: Long, public val burstTokens: Long)
