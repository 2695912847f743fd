package io.camphordrum.core.metering

import kotlin.math.exp

/**
 * Holds what one daemon knows about the use of one account.
 *
 * The bucket of the fleet is refilled at the whole rate and loses the charges of all daemons. The bucket of the group
 * does the same with the part of the limit that belongs to the daemons that hear each other.
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

    private val fleet = DelayedBucket(now)
    private val group = DelayedBucket(now)
    private var groupRate = 0.0

    /** Level of the account as far as charges have arrived, over the whole fleet. */
    private fun fleetTokens(now: Long) = fleet.level(now, tokensPerSecond)

    /** Level of the part of the account that belongs to the group of daemons that hear each other. */
    private fun groupTokens(now: Long) = group.level(now, groupRate)

    fun level(now: Long) = minOf(fleetTokens(now), groupTokens(now))

    /** Tokens that this daemon may charge at its next request when little is left. */
    var rationTokens = 0.0
        private set
    private var rationFactor = 1.0
    private var scarceUntilNanos = Long.MIN_VALUE
    private var pausedTokens = 0.0
    private var pausedUntilNanos = Long.MIN_VALUE
    private var separatedTokens = 0.0
    var unreportedTokens = 0.0

    /** Average over the last seconds. */
    var peerTokensPerSecond = 0.0
        private set
    private var ownTokensPerSecond = 0.0
    private var slowPeerTokensPerSecond = 0.0

    private val lowTokens get() =
        if (reserveTokens > 0) reserveTokens * RATIONED_PART else depthTokens * RATIONED_DEPTH_PART

    /** Returns the level below which daemons charge their rations only; higher for seconds after it was reached. */
    fun rationedBelow(now: Long): Double = if (now < scarceUntilNanos) depthTokens * SCARCE_PART else lowTokens

    /** @param isNewAccount whether nobody has used the account before; otherwise its use before this call is unknown. */
    fun configure(now: Long, rate: Double, burstTokens: Double, isNewAccount: Boolean) {
        val windowSeconds = bound.windowMillis / MILLIS_PER_SECOND
        val windowTokens = (rate * windowSeconds + burstTokens) * (1 + bound.overage) + bound.slackTokens
        val before = depthTokens
        tokensPerSecond = rate * (1 + bound.overage * RATE_OVERAGE_PART)
        reserveTokens = (windowTokens - tokensPerSecond * windowSeconds - burstTokens) * (1 - KEPT_PART)
        depthTokens = burstTokens + reserveTokens
        if (before == 0.0) {
            // After the loss of all daemons, the account has had at least the time of a start to refill.
            val tokens = if (isNewAccount) depthTokens else reserveTokens * START_PART
            groupRate = tokensPerSecond
            adopt(now, tokens)
        }
        // A debt of the higher rate would block the lower one for longer.
        if (before > depthTokens) {
            val maxTokens = depthTokens + slowPeerTokensPerSecond * MAX_UNSEEN_SECONDS
            fleet.lower(now, tokensPerSecond, depthTokens / before, maxTokens)
            group.lower(now, groupRate, depthTokens / before, maxTokens)
        }
    }

    /** Adds the tokens since the last call. */
    fun refill(now: Long, groupPart: Double, ownPart: Double) {
        val elapsed = now - updatedNanos
        if (elapsed <= 0) return
        updatedNanos = now
        val seconds = elapsed / NANOS_PER_SECOND
        raiseCap(now, seconds, groupPart)
        groupRate = tokensPerSecond * groupPart
        fleet.settle(now, tokensPerSecond, depthTokens + pausedTokens + separatedTokens)
        group.settle(now, groupRate, depthTokens * groupPart + pausedTokens)
        val rationPerSecond = tokensPerSecond * groupPart * ownPart * rationFactor
        rationTokens =
            minOf(tokensPerSecond * groupPart * ownPart * MAX_RATION_SECONDS, rationTokens + rationPerSecond * seconds)
        val kept = exp(-seconds / AVERAGE_SECONDS)
        peerTokensPerSecond *= exp(-seconds / PEER_AVERAGE_SECONDS)
        ownTokensPerSecond *= kept
        slowPeerTokensPerSecond *= kept
    }

    // Charges made in a pause of this process, or by daemons that are not heard, arrive when the level is full already.
    private fun raiseCap(now: Long, seconds: Double, groupPart: Double) {
        if (seconds > PAUSE_SECONDS) {
            pausedTokens = tokensPerSecond * seconds
            pausedUntilNanos = now + PAUSED_CAP_NANOS
        } else if (now > pausedUntilNanos) {
            pausedTokens = 0.0
        }
        val maxTokens = tokensPerSecond * (1 - groupPart) * bound.windowMillis / MILLIS_PER_SECOND
        separatedTokens = minOf(maxTokens, separatedTokens + tokensPerSecond * (1 - groupPart) * seconds)
    }

    /** Returns the part of the group's tokens that this daemon may ration to itself, of [daemons] in the group. */
    fun ownPart(daemons: Int): Double {
        val total = ownTokensPerSecond + slowPeerTokensPerSecond
        val used = if (total > 0) ownTokensPerSecond / total else 1.0 / daemons
        return USED_PART * used + (1 - USED_PART) / daemons
    }

    /**
     * Adapts the rations to the [available] tokens, so that the daemons together use the rate and not all of what is
     * left at once.
     */
    fun observe(now: Long, available: Double, groupPart: Double) {
        if (available <= 0) scarceUntilNanos = now + SCARCE_NANOS
        rationFactor = (MIN_RATION_FACTOR + available / (depthTokens * groupPart * FULL_RATION_PART))
            .coerceIn(0.0, MAX_RATION_FACTOR)
    }

    /** Gives the group its part of what is left, if the others have used their part of the rate for [unheardSeconds]. */
    fun separate(now: Long, groupPart: Double, unheardSeconds: Double) {
        val fleetTokens = fleetTokens(now) - tokensPerSecond * (1 - groupPart) * unheardSeconds
        val part = if (fleetTokens > 0) fleetTokens * groupPart else fleetTokens
        val tokens = minOf(groupTokens(now), part, depthTokens * groupPart)
        groupRate = tokensPerSecond * groupPart
        group.reset(now, tokens, groupRate)
    }

    /** Gives a larger group its part; all charges of the daemons that are back have been subtracted. */
    fun join(now: Long, groupPart: Double) {
        separatedTokens = 0.0
        groupRate = tokensPerSecond * groupPart
        val fleetTokens = fleetTokens(now)
        val part = if (fleetTokens > 0) fleetTokens * groupPart else fleetTokens
        group.reset(now, if (groupPart < 1) part else fleetTokens, groupRate)
    }

    fun takeRation(): Double = rationTokens.also { rationTokens = 0.0 }

    fun takeOwn(now: Long, tokens: Long) {
        fleet.take(now, tokens, ageNanos = 0)
        group.take(now, tokens, ageNanos = 0)
        unreportedTokens += tokens
        ownTokensPerSecond = maxOf(0.0, ownTokensPerSecond + tokens / AVERAGE_SECONDS)
    }

    /**
     * Subtracts the charge of another daemon.
     *
     * @param gapSeconds time in which no charges had arrived before.
     * @param inGroup whether the charge was made out of the part of the group.
     */
    fun takePeer(now: Long, tokens: Long, gapSeconds: Double, inGroup: Boolean) {
        fleet.take(now, tokens, PEER_AGE_NANOS)
        if (!inGroup) return
        group.take(now, tokens, PEER_AGE_NANOS)
        val rate = peerTokensPerSecond + tokens / maxOf(PEER_AVERAGE_SECONDS, gapSeconds)
        peerTokensPerSecond = rate.coerceIn(0.0, tokensPerSecond * MAX_PEER_RATE)
        val slowRate = slowPeerTokensPerSecond + tokens / maxOf(AVERAGE_SECONDS, gapSeconds)
        slowPeerTokensPerSecond = maxOf(0.0, slowRate)
    }

    /** Replaces the level with the one that a longer running daemon knows. */
    fun adopt(now: Long, tokens: Double) {
        fleet.reset(now, tokens, tokensPerSecond)
        group.reset(now, tokens, groupRate)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val NANOS_PER_SECOND = 1e9

        // Part of the overage that is given as rate. The rest is depth: it bears charges that are not yet known.
        const val RATE_OVERAGE_PART = 0.0
        const val RATIONED_PART = 0.25

        // Part of the reserve that is never given: a surge is known only when it has lasted for a report.
        const val KEPT_PART = 0.5
        const val START_PART = 0.5

        // Without overage and slack, nothing but the burst bears unknown charges.
        const val RATIONED_DEPTH_PART = 0.1

        // Rations follow the use of the last seconds; the rest is for daemons that had no callers.
        const val SCARCE_NANOS = 4_000_000_000L
        const val SCARCE_PART = 0.6
        const val MIN_RATION_FACTOR = 0.5
        const val FULL_RATION_PART = 0.3
        const val MAX_RATION_FACTOR = 1.1
        const val PAUSE_SECONDS = 0.6
        const val PAUSED_CAP_NANOS = 500_000_000L
        const val USED_PART = 0.8
        const val MAX_RATION_SECONDS = 0.25
        const val AVERAGE_SECONDS = 2.0

        // Follows a surge within two reports.
        const val PEER_AVERAGE_SECONDS = 0.6

        // Mean age of a charge of another daemon when it arrives, through relays.
        const val PEER_AGE_NANOS = 450_000_000L
        const val MAX_UNSEEN_SECONDS = 0.75
        const val MAX_PEER_RATE = 1.0
    }
}
