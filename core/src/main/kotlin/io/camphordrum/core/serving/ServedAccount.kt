package io.camphordrum.core.serving

/**
 * Describes a client account.
 *
 * @property keys what its callers send to prove who they are.
 * @property priority goes before the priority of a route; null leaves that in force.
 * @property tokensPerSecond limit over all daemons; 0 means none.
 * @property burstTokens tokens that may be used at once on top of the rate.
 * @property plainTokens what a request without token counts is charged.
 */
public data class ServedAccount(
    public val name: String,
    public val keys: Set<String>,
    public val priority: Int?,
    public val tokensPerSecond: Double,
    public val burstTokens: Double,
    public val plainTokens: Int,
)
