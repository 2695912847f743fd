package io.camphordrum.core.serving

/**
 * Describes a client account.
 *
 * @property keys credentials that the callers of the account send.
 * @property priority overrides the priority of a route; null keeps the priority of the route.
 * @property tokensPerSecond rate limit over all daemons; 0 means no limit.
 * @property burstTokens tokens that may be used at once in addition to the rate.
 * @property plainTokens tokens charged for a request without token counts.
 */
public data class ServedAccount(
    public val name: String,
    public val keys: Set<String>,
    public val priority: Int?,
    public val tokensPerSecond: Double,
    public val burstTokens: Double,
    public val plainTokens: Int,
)
