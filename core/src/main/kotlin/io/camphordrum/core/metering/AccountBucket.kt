package io.camphordrum.core.metering

import kotlin.math.exp

/**
 * Holds what one daemon knows about the use of one account.
 *
 * [fleetTokens] is refilled at the whole rate and loses the charges of all daemons. [groupTokens] does the same with
 * the part of the limit that belongs to the daemons that hear each other.
 */
internal class AccountBucket(private val bound: LimitBound, now: Long) {
    private var updatedNanos = now

    /** Rate and depth of the bucket; together they use exactly what the bound allows in a window. */
    var tokensPerSecond = 0.0
        private set
    var depthTokens = 0.0
        private set

    /** Tokens that remain of [depthTokens] when a caller has used its rate and its whole burst. */
    private var reserveTokens = 0.0

    var fleetTokens = 0.0
        private set
    var groupTokens = 0.0
        private set

    /** Tokens that this daemon may still charge when little is left; below 0 after a large request. */
    var rationTokens = 0.0
        private set
    private var rationPerSecond = 0.0
    var unreportedTokens = 0.0

    /** Average over the last seconds. */
    var peerTokensPerSecond = 0.0
        private set
    private var ownTokensPerSecond = 0.0

    /** Below this level, daemons charge their rations only. */
    val rationedBelowTokens: Double
        get() = if (reserveTokens > 0) reserveTokens * RATIONED_PART else depthTokens * RATIONED_DEPTH_PART

    fun configure(rate: Double, burstTokens: Double) {
        val windowSeconds = bound.windowMillis / MILLIS_PER_SECOND
        val windowTokens = (rate * windowSeconds + burstTokens) * (1 + bound.overage) + bound.slackTokens
        val before = depthTokens
        tokensPerSecond = rate * (1 + bound.overage * RATE_OVERAGE_PART)
        depthTokens = windowTokens - tokensPerSecond * windowSeconds
        reserveTokens = depthTokens - burstTokens
        // A lower limit keeps the same part of its bucket: neither its level nor its debt of the higher rate is left.
        if (before > depthTokens) {
            fleetTokens *= depthTokens / before
            groupTokens *= depthTokens / before
            rationTokens *= depthTokens / before
        }
    }

    fun refill(now: Long, groupPart: Double, ownPart: Double) {
        val elapsed = now - updatedNanos
        if (elapsed <= 0) return
        updatedNanos = now
        val seconds = elapsed / NANOS_PER_SECOND
        fleetTokens = minOf(depthTokens, fleetTokens + tokensPerSecond * seconds)
        groupTokens = minOf(depthTokens * groupPart, groupTokens + tokensPerSecond * groupPart * seconds)
        rationPerSecond = tokensPerSecond * groupPart * ownPart
        rationTokens = minOf(rationPerSecond * MAX_RATION_SECONDS, rationTokens + rationPerSecond * seconds)
        val kept = exp(-seconds / AVERAGE_SECONDS)
        peerTokensPerSecond *= kept
        ownTokensPerSecond *= kept
    }

    /** Returns the part of the group's tokens that this daemon may ration to itself, of [daemons] in the group. */
    fun ownPart(daemons: Int): Double {
        val total = ownTokensPerSecond + peerTokensPerSecond
        val used = if (total > 0) ownTokensPerSecond / total else 1.0 / daemons
        return USED_PART * used + (1 - USED_PART) / daemons
    }

    fun capGroup(groupPart: Double) {
        groupTokens = minOf(groupTokens, depthTokens * groupPart)
    }

    /** Ends the separation of the group: all charges of the others have been subtracted from [fleetTokens]. */
    fun joinFleet() {
        groupTokens = fleetTokens
    }

    fun takeOwn(tokens: Long) {
        fleetTokens -= tokens
        groupTokens -= tokens
        unreportedTokens += tokens
        // A daemon repays its last request, but not all that it charged while enough was left.
        val maxDebt = maxOf(tokens.toDouble(), rationPerSecond * MAX_RATION_SECONDS)
        rationTokens = maxOf(rationTokens - tokens, minOf(rationTokens, -maxDebt))
        ownTokensPerSecond = maxOf(0.0, ownTokensPerSecond + tokens / AVERAGE_SECONDS)
    }

    fun takePeer(tokens: Long) {
        fleetTokens -= tokens
        groupTokens -= tokens
        val rate = peerTokensPerSecond + tokens / AVERAGE_SECONDS
        // Charges of many seconds arrive at once when a connection is back.
        peerTokensPerSecond = rate.coerceIn(0.0, tokensPerSecond * MAX_PEER_RATE)
    }

    /** Replaces the level with the one that a longer running daemon knows. */
    fun adopt(tokens: Double) {
        fleetTokens = minOf(depthTokens, tokens)
        groupTokens = fleetTokens
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val NANOS_PER_SECOND = 1e9

        // Part of the overage that is given as rate. The rest is depth: it bears charges that are not yet known.
        const val RATE_OVERAGE_PART = 0.5
        const val RATIONED_PART = 0.5

        // Without overage and slack, nothing but the burst bears unknown charges.
        const val RATIONED_DEPTH_PART = 0.25

        // Rations follow the use of the last seconds; the rest is for daemons that had no callers.
        const val USED_PART = 0.8
        const val MAX_RATION_SECONDS = 1.0
        const val AVERAGE_SECONDS = 2.0
        const val MAX_PEER_RATE = 2.0
    }
}
