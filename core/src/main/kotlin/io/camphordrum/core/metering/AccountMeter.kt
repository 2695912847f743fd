package io.camphordrum.core.metering

import io.camphordrum.core.Member
import io.camphordrum.core.serving.ServedAccount
import kotlin.random.Random

/**
 * Enforces account rate limits over all daemons: one account whose callers are spread unevenly over a hundred daemons,
 * each of which learns of the charges of the others up to a second late.
 *
 * Each daemon publishes the tokens that it charged, and every daemon subtracts the charges of all from a token bucket
 * of its own. The rate and depth of the bucket use what [LimitBound] allows in addition to rate and burst, so a caller
 * inside its limit never empties it, although charges arrive late. An estimate of the charges that have not arrived is
 * held back. When little is left, each daemon charges only its part of the rate, because all of them see the same level
 * and would otherwise use it at the same time. Daemons that are partitioned from the rest use only their part of the
 * limit.
 */
public class AccountMeter(
    private val self: Member,
    private val startedNanos: Long,
    private val bound: LimitBound = LimitBound(),
    private val dataCentreOf: (daemon: String) -> String? = { "" },
) {
    private class ReportedCharges(var incarnation: Long, var sequence: Long, val charged: HashMap<String, Long>)

    /** Tracks when charges of any daemon of one data centre last arrived, and how long none had arrived before. */
    private class DataCentreReports(var reportedNanos: Long) {
        var gapNanos = 0L

        // Until then, charges arrive that were made while the data centre was unreachable, out of its own part.
        var returningUntilNanos = Long.MIN_VALUE / 2
    }

    private val buckets = HashMap<String, AccountBucket>()
    private val ownCharges = HashMap<String, Long>()
    private val reportedCharges = HashMap<String, ReportedCharges>()
    private val refusals = LongArray(ChargeRefusal.entries.size)
    private var lastRefusal: ChargeRefusal? = null
    private val random = Random(self.instance.name.hashCode())
    private var groupPart = 1.0
    private var groupSize = 1
    private var lagNanos = 0L
    private val dataCentres = HashMap<String, DataCentreReports>()
    private var dataCentreSizes = emptyMap<String, Int>()
    private var largerPartSinceNanos: Long? = null
    private var knownCount = 1
    private var activeNanos = startedNanos
    private var resumedNanos = Long.MIN_VALUE / 2
    private var newPeerNanos = Long.MIN_VALUE / 2
    private var hasLevels = false
    private var isConfigured = false

    /** Tokens that this daemon has charged since its start, less refunds, by account. */
    public val charged: Map<String, Long> get() = ownCharges

    /** Returns the number of refused charges since the start. */
    public fun refusalCount(reason: ChargeRefusal): Long = refusals[reason.ordinal]

    /** Applies the limits of [accounts]. */
    public fun configure(now: Long, accounts: List<ServedAccount>) {
        val limited = accounts.filter { it.tokensPerSecond > 0 }
        buckets.keys.retainAll(limited.mapTo(HashSet()) { it.name })
        val isNewAccount = isConfigured && knowsLevels(now)
        isConfigured = true
        for (account in limited) {
            val bucket = buckets.getOrPut(account.name) { AccountBucket(bound, now) }
            refill(now, bucket)
            bucket.configure(now, account.tokensPerSecond, account.burstTokens, isNewAccount)
        }
    }

    /**
     * Reduces every limit to the part [reachable] / [known] of the daemons.
     *
     * A larger part takes effect when the charges of the daemons that are back have had time to arrive.
     *
     * @param dataCentreSizes number of daemons by data centre; those of a data centre that is not heard while others are
     *   do not count as reachable.
     */
    public fun updateShare(now: Long, reachable: Int, known: Int, dataCentreSizes: Map<String, Int> = emptyMap()) {
        observeActivity(now)
        this.dataCentreSizes = dataCentreSizes
        knownCount = maxOf(1, known)
        // A process that was paused has not read yet what the others sent.
        if (now - resumedNanos < RESUME_NANOS) return
        val size = minOf(reachable, knownCount - lateDaemons(now)).coerceIn(1, knownCount)
        val part = size.toDouble() / knownCount
        if (part < groupPart) {
            // A daemon that has just started has not heard the others yet.
            val unheardSeconds = if (now - startedNanos < STARTUP_NANOS) 0.0 else MAX_LATE_NANOS / 1e9
            for (bucket in buckets.values) {
                refill(now, bucket)
                bucket.separate(now, part, unheardSeconds)
            }
        }
        if (part <= groupPart || now - startedNanos < STARTUP_NANOS) {
            largerPartSinceNanos = null
        } else {
            val since = largerPartSinceNanos ?: now.also { largerPartSinceNanos = it }
            if (now - since < JOIN_NANOS) {
                for (bucket in buckets.values) bucket.observe(now, available(now, bucket), groupPart)
                return
            }
            largerPartSinceNanos = null
        }
        val joins = part > groupPart
        if (part != groupPart) buckets.values.forEach { refill(now, it) }
        groupSize = size
        groupPart = part
        if (joins) buckets.values.forEach { it.join(now, part) }
        // Right after a pause, the level is low only because reports are missing.
        if (now - resumedNanos < 4 * RESUME_NANOS) return
        for (bucket in buckets.values) bucket.observe(now, available(now, bucket), groupPart)
    }

    /**
     * Charges [tokens] and returns 0, or charges nothing and returns the estimated wait in milliseconds.
     *
     * While any token is available, all [tokens] are charged, even if that overdraws the bucket.
     */
    public fun charge(now: Long, account: String, tokens: Int): Long {
        val bucket = buckets[account] ?: return 0
        observeActivity(now)
        refill(now, bucket)
        val refusal = refusal(now, bucket, tokens)
        if (refusal == null) {
            deduct(now, account, bucket, tokens.toLong())
            return 0
        }
        refusals[refusal.ordinal]++
        lastRefusal = refusal
        return waitMillis(now, bucket, refusal, tokens)
    }

    /** Refunds [tokens] of a request that has not run. */
    public fun refund(now: Long, account: String, tokens: Int) {
        val bucket = buckets[account] ?: return
        refill(now, bucket)
        deduct(now, account, bucket, -tokens.toLong())
    }

    /** Returns what a refusal of [account] depends on, for the log. */
    public fun explain(now: Long, account: String): Map<String, Any?> {
        val bucket = buckets[account] ?: return emptyMap()
        return mapOf(
            "why" to lastRefusal?.name?.lowercase(),
            "level" to bucket.level(now).toLong(),
            "unseen" to unseenTokens(now, bucket).toLong(),
            "rationedBelow" to (bucket.rationedBelow(now) * groupPart).toLong(),
            "ration" to bucket.rationTokens.toLong(),
            "unreported" to bucket.unreportedTokens.toLong(),
            "othersPerSecond" to bucket.peerTokensPerSecond.toLong(),
            "reportAgeMillis" to
                dataCentres.values.minOfOrNull { it.reportedNanos }?.let { (now - it) / NANOS_PER_MILLI },
            "share" to groupPart,
            "perSecond" to bucket.tokensPerSecond.toLong(),
            "depth" to bucket.depthTokens.toLong(),
        )
    }

    /**
     * Records what [member] had charged when it sent its notice [sequence]; older notices are ignored.
     *
     * @param charged total tokens by account; accounts that are left out have not changed.
     */
    public fun recordPeerCharges(now: Long, member: Member, sequence: Long, charged: Map<String, Long>) {
        if (member.instance == self.instance) return
        observeActivity(now)
        val existing = reportedCharges[member.instance.name]
        val isNews = existing == null || existing.incarnation < member.incarnation || existing.sequence < sequence
        val dataCentre = recordArrival(now, member, isNews)
        val peer = when {
            existing == null || existing.incarnation < member.incarnation -> {
                newPeerNanos = now
                // Right after its start a daemon cannot distinguish recent charges from old ones. Its own buckets
                // were empty at the start, so it counts only the changes from then on.
                val startedLater = existing != null || member.incarnation > self.incarnation
                val counts = knowsLevels(now) && (startedLater || now - startedNanos >= STARTUP_NANOS)
                val initial = if (counts) HashMap() else HashMap(charged)
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
            if (newTokens == 0L) continue
            val bucket = buckets[account] ?: continue
            refill(now, bucket)
            val returning = dataCentre != null && now < dataCentre.returningUntilNanos
            bucket.takePeer(now, newTokens, (dataCentre?.gapNanos ?: 0) / 1e9, inGroup = !returning)
        }
    }

    /**
     * Returns the levels of all accounts for daemons that have just started.
     *
     * Empty while this daemon does not know them, and, unless [always] is set, while no other daemon has just started.
     */
    public fun levelsForNewPeers(now: Long, always: Boolean = false): Map<String, Long> {
        if (!knowsLevels(now)) return emptyMap()
        if (!always && now - newPeerNanos > STARTUP_NANOS) return emptyMap()
        return buckets.mapValues { (_, bucket) ->
            refill(now, bucket)
            bucket.level(now).toLong()
        }
    }

    /** Adopts the levels that a longer running daemon knows, if this one has just started. */
    public fun adoptLevels(now: Long, levels: Map<String, Long>) {
        if (levels.isEmpty() || knowsLevels(now)) return
        hasLevels = true
        for ((account, bucket) in buckets) {
            refill(now, bucket)
            bucket.adopt(now, (levels[account] ?: continue).toDouble() - (ownCharges[account] ?: 0))
        }
    }

    /**
     * Starts a new period of reports.
     *
     * @param lagMillis usual time from a charge until all other daemons know of it.
     */
    public fun renewAllowance(now: Long, lagMillis: Long) {
        lagNanos = lagMillis * NANOS_PER_MILLI
        for (bucket in buckets.values) {
            refill(now, bucket)
            bucket.unreportedTokens = 0.0
        }
    }

    private fun refusal(now: Long, bucket: AccountBucket, tokens: Int): ChargeRefusal? {
        val available = available(now, bucket)
        return when {
            available <= 0 -> ChargeRefusal.USED_UP
            groupSize == 1 -> null
            available < bucket.rationedBelow(now) * groupPart && !mayRation(bucket, tokens) -> ChargeRefusal.RATIONED
            // The charges in this period are part of the level already.
            bucket.unreportedTokens > (available + bucket.unreportedTokens) * UNREPORTED_PART ->
                ChargeRefusal.UNREPORTED
            else -> null
        }
    }

    // Most daemons ration less than one request at a time. Each admits a request with the probability that gives its
    // part on average: requests that are charged in advance would be followed by the same pause everywhere.
    private fun mayRation(bucket: AccountBucket, tokens: Int) = bucket.takeRation() > tokens * random.nextDouble()

    private fun waitMillis(now: Long, bucket: AccountBucket, refusal: ChargeRefusal, tokens: Int): Long {
        val perSecond = maxOf(1.0, bucket.tokensPerSecond * groupPart)
        val millis = when (refusal) {
            ChargeRefusal.USED_UP -> (tokens - available(now, bucket)) / perSecond
            ChargeRefusal.RATIONED -> tokens / (perSecond * bucket.ownPart(groupSize))
            ChargeRefusal.UNREPORTED -> lagNanos / 1e9
        } * 1_000
        return millis.toLong().coerceIn(MIN_WAIT_MILLIS, MAX_WAIT_MILLIS)
    }

    private fun available(now: Long, bucket: AccountBucket) =
        minOf(bucket.level(now) - unseenTokens(now, bucket), bucket.depthTokens * groupPart)

    /** Estimates the charges of the others that have not been reported. */
    private fun unseenTokens(now: Long, bucket: AccountBucket): Double {
        if (groupSize == 1) return 0.0
        var unseen = bucket.peerTokensPerSecond * lagNanos / 1e9
        // While nobody is heard, the others may have begun to use all that is left.
        val lateNanos = now - (dataCentres.values.maxOfOrNull { it.reportedNanos } ?: return unseen)
        if (lateNanos > MAX_SILENCE_NANOS) unseen += bucket.tokensPerSecond * groupPart * lateNanos / 1e9
        return unseen
    }

    /** Returns the number of daemons of data centres that are not heard, while others are. */
    private fun lateDaemons(now: Long): Int {
        val late = dataCentres.filterValues { now - it.reportedNanos > MAX_LATE_NANOS }.keys
        return if (late.size == dataCentres.size) 0 else late.sumOf { dataCentreSizes[it] ?: 0 }
    }

    private fun knowsLevels(now: Long) = hasLevels || now - startedNanos >= STARTUP_NANOS

    private fun recordArrival(now: Long, member: Member, isNews: Boolean): DataCentreReports? {
        val name = dataCentreOf(member.instance.name) ?: return null
        val reports = dataCentres.getOrPut(name) { DataCentreReports(now) }
        // Relays also forward what they heard before a data centre was cut off.
        if (!isNews || now - resumedNanos < RESUME_NANOS || now == reports.reportedNanos) return reports
        reports.gapNanos = now - reports.reportedNanos
        reports.reportedNanos = now
        if (groupPart < 1 && reports.gapNanos > MAX_LATE_NANOS) reports.returningUntilNanos = now + JOIN_NANOS
        return reports
    }

    // A process that was stopped reads old reports first when it resumes; they say nothing about the pause.
    private fun observeActivity(now: Long) {
        if (now - activeNanos > PAUSE_NANOS) resumedNanos = now
        activeNanos = maxOf(activeNanos, now)
    }

    private fun deduct(now: Long, account: String, bucket: AccountBucket, tokens: Long) {
        bucket.takeOwn(now, tokens)
        ownCharges.merge(account, tokens, Long::plus)
    }

    private fun refill(now: Long, bucket: AccountBucket) =
        bucket.refill(now, groupPart, bucket.ownPart(groupSize))

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        // Bounds what one daemon, with a burst of its own callers, takes before the others know of it.
        const val UNREPORTED_PART = 0.5
        const val STARTUP_NANOS = 3_000_000_000L

        // Ticks renew the allowance four times a second; after a longer time the process was stopped.
        const val PAUSE_NANOS = 600_000_000L
        const val RESUME_NANOS = 250_000_000L

        // Two digests between data centres; then each side has its part of the limit.
        const val MAX_LATE_NANOS = 1_100_000_000L

        // Two digests of the relay.
        const val MAX_SILENCE_NANOS = 600_000_000L

        // Two digests, so that all charges of a data centre that was cut off have arrived.
        const val JOIN_NANOS = 1_250_000_000L
        const val MIN_WAIT_MILLIS = 50L
        const val MAX_WAIT_MILLIS = 4_000L
    }
}
