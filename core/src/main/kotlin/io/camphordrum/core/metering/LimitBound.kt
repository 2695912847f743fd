package io.camphordrum.core.metering

/**
 * States how far the tokens of an account over all daemons may exceed its rate and burst.
 *
 * In any window of [windowMillis], an account may use at most
 * `(rate x window + burst) x (1 + overage) + slackTokens`.
 *
 * @property overage part of the limit of a window that may be used in addition to it.
 * @property slackTokens tokens in each window in addition to [overage].
 */
public data class LimitBound(
    public val windowMillis: Long = 8_000,
    public val overage: Double = 0.0,
    public val slackTokens: Double = 0.0,
)
