package io.camphordrum.core.serving

import io.camphordrum.core.Member

/**
 * Enforces account rate limits over all daemons.
 *
 * Each daemon publishes the tokens that it charged, and every daemon subtracts the charges of all from a token bucket
 * of its own. Charges of other daemons arrive late, so a daemon charges at most a part of the bucket between two
 * notices ([ALLOWANCE_PART]); a bucket that is overdrawn all the same refuses requests until it has refilled. Daemons
 * that are partitioned from the rest use only their share of the limit ([limitShare]).
 */
public class AccountMeter(private val self: Member, private val startedNanos: Long, slackTokens: Double = 0.0) {
    private class Bucket(
        var tokensPerSecond: Double,
        var burstTokens: Double,
        var tokens: Double,
        var refilledNanos: Long,
    ) {
        var allowanceTokens = 0.0
    }

    private class ReportedCharges(var incarnation: Long, var sequence: Long, val charged: HashMap<String, Long>)

    // Part of the slack that this daemon may overdraw. The rest covers charges that it has not received yet.
    private val overdraftTokens = slackTokens * OVERDRAFT_PART

    private val buckets = HashMap<String, Bucket>()
    private val ownCharges = HashMap<String, Long>()
    private val fleetCharges = HashMap<String, Long>()
    private val reportedCharges = HashMap<String, ReportedCharges>()
    private var limitShare = 1.0
    private var daemonCount = 1

    /** Tokens that this daemon has charged since its start, less refunds, by account. */
    public val charged: Map<String, Long> get() = ownCharges

    /** Tokens that all daemons have charged since this daemon has heard of them, by account. */
    public val fleetCharged: Map<String, Long> get() = fleetCharges

    /** Applies the limits of [accounts]; a lower limit takes effect at once. */
    public fun configure(now: Long, accounts: List<ServedAccount>) {
        val limited = accounts.filter { it.tokensPerSecond > 0 }
        buckets.keys.retainAll(limited.mapTo(HashSet()) { it.name })
        for (account in limited) {
            val bucket = buckets.getOrPut(account.name) { Bucket(0.0, 0.0, 0.0, now) }
            refill(now, bucket)
            bucket.tokensPerSecond = account.tokensPerSecond
            bucket.burstTokens = account.burstTokens
            bucket.tokens = minOf(bucket.tokens, bucket.burstTokens * limitShare)
        }
    }

    /** Reduces every limit to the fraction [reachable] / [known] of the daemons. */
    public fun updateShare(now: Long, reachable: Int, known: Int) {
        buckets.values.forEach { refill(now, it) }
        daemonCount = maxOf(1, known)
        limitShare = (reachable.toDouble() / daemonCount).coerceIn(0.0, 1.0)
        for (bucket in buckets.values) bucket.tokens = minOf(bucket.tokens, bucket.burstTokens * limitShare)
    }

    /**
     * Charges [tokens] and returns 0, or charges nothing and returns the estimated wait in milliseconds.
     *
     * While any token is available, all [tokens] are charged, even if that overdraws the bucket.
     */
    public fun charge(now: Long, account: String, tokens: Int): Long {
        val bucket = buckets[account] ?: return 0
        refill(now, bucket)
        val availableTokens = minOf(bucket.tokens + overdraftTokens * limitShare, bucket.allowanceTokens)
        if (availableTokens <= 0) {
            return (1_000 * (tokens - availableTokens) / maxOf(1.0, bucket.tokensPerSecond * limitShare)).toLong()
                .coerceIn(50, 4_000)
        }
        deduct(account, bucket, tokens.toLong())
        return 0
    }

    /** Refunds [tokens] of a request that has not run. */
    public fun refund(account: String, tokens: Int) {
        val bucket = buckets[account] ?: return
        deduct(account, bucket, -tokens.toLong())
    }

    /**
     * Records what [member] had charged when it sent its notice [sequence]; older notices are ignored.
     *
     * @param charged total tokens by account; accounts that are left out have not changed.
     */
    public fun recordPeerCharges(now: Long, member: Member, sequence: Long, charged: Map<String, Long>) {
        if (member.instance == self.instance) return
        val existing = reportedCharges[member.instance.name]
        val peer = when {
            existing == null || existing.incarnation < member.incarnation -> {
                // Right after its start a daemon cannot distinguish recent charges from old ones. Its own buckets
                // were empty at the start, so it counts only the changes from then on.
                val startingUp = now - startedNanos < STARTUP_NANOS
                val initial = if (startingUp) HashMap(charged) else HashMap()
                ReportedCharges(member.incarnation, sequence, initial).also {
                    reportedCharges[member.instance.name] = it
                }
            }
            existing.incarnation > member.incarnation || existing.sequence > sequence -> return
            else -> existing
        }
        peer.sequence = sequence
        for ((account, tokens) in charged) {
            val newTokens = tokens - (peer.charged.put(account, tokens) ?: 0)
            buckets[account]?.let { it.tokens -= newTokens }
            fleetCharges.merge(account, newTokens, Long::plus)
        }
    }

    /** Sets the tokens of each account that this daemon may charge until the next notice in [noticeMillis]. */
    public fun renewAllowance(now: Long, noticeMillis: Long) {
        for (bucket in buckets.values) {
            refill(now, bucket)
            val availableTokens = bucket.tokens + overdraftTokens * limitShare
            bucket.allowanceTokens = if (daemonCount == 1) {
                availableTokens
            } else {
                maxOf(0.0, availableTokens) * ALLOWANCE_PART +
                    bucket.tokensPerSecond * limitShare * noticeMillis / 1_000 / daemonCount
            }
        }
    }

    private fun deduct(account: String, bucket: Bucket, tokens: Long) {
        bucket.tokens -= tokens
        bucket.allowanceTokens -= tokens
        ownCharges.merge(account, tokens, Long::plus)
        fleetCharges.merge(account, tokens, Long::plus)
    }

    private fun refill(now: Long, bucket: Bucket) {
        val elapsed = now - bucket.refilledNanos
        if (elapsed <= 0) return
        bucket.tokens =
            minOf(bucket.burstTokens * limitShare, bucket.tokens + bucket.tokensPerSecond * limitShare * elapsed / 1e9)
        bucket.refilledNanos = now
    }

    private companion object {
        // Bounds the overdraft: between two notices, n daemons can charge at most n times this part of a bucket and its
        // refill.
        const val ALLOWANCE_PART = 1.0 / 3

        const val OVERDRAFT_PART = 0.4

        const val STARTUP_NANOS = 3_000_000_000L
    }
}
