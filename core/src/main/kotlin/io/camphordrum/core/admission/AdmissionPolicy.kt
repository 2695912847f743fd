package io.camphordrum.core.admission

import kotlin.math.max
import kotlin.math.min

/**
 * Decides who is served when not all can be: who is refused and why, in which order the others are served, and when a
 * refused caller may return.
 *
 * Answers loads such as a burst of the least urgent kind beside the usual load of the others, an account at several
 * times its usual load, or all kinds at twice the room. A request gets a rank, and an endpoint counts for it as busy
 * only with the prompts of its rank and lower ones:
 *
 * | rank | requests |
 * |---|---|
 * | priority, 0 to 9 | can be in time; one in [FLOOR_PARTS] of each kind ranks as 0, so that none is starved |
 * | priority + [EXCESS_LEVELS] | can be in time; beyond its account's fair share ([AccountShares]) |
 * | 20 | too late for its target; its caller has returned after a refusal |
 * | 21 | too late for its target |
 *
 * Requests that are too late use only room that is left over: an endpoint where no request waits that can be in time.
 * All other requests are refused at once if their answer is not expected to begin in time.
 */
internal class AdmissionPolicy(private val shares: AccountShares) {
    private val returns = ReturnTimes()

    /** Ranks [request] as one that can be in time. */
    fun rank(request: AdmissionRequest): Int {
        val priority = request.priority.coerceIn(0, MAX_PRIORITY)
        // Different bits of the id, so that a floor does not depend on the share of the account.
        val lot = request.lot.toInt() and Int.MAX_VALUE
        val shareLot = ((request.lot ushr Int.SIZE_BITS).toInt() and Int.MAX_VALUE) / Int.MAX_VALUE.toDouble()
        return when {
            shareLot < shares.excessPart(request.account) -> priority + EXCESS_LEVELS
            lot % FLOOR_PARTS == 0 -> 0
            else -> priority
        }
    }

    /**
     * Decides about [request].
     *
     * @param choose returns the best endpoint for the request at a rank, if its answer may begin within the given
     *   milliseconds, or else the one where it begins first; null if there is none.
     * @param millis returns the expected milliseconds until the answer begins at an endpoint.
     * @param tokensAhead returns the prompt tokens that wait at an endpoint at a rank or a lower one.
     */
    fun <T : Any> decide(
        now: Long,
        request: AdmissionRequest,
        choose: (rank: Int, boundMillis: Double) -> T?,
        millis: (T) -> Double,
        tokensAhead: (T, rank: Int) -> Int,
    ): AdmissionDecision<T> {
        val rank = rank(request)
        val inTimeMillis = inTimeMillis(request)
        val first = choose(rank, inTimeMillis) ?: return AdmissionDecision.NoEndpoint
        if (millis(first) <= inTimeMillis) return AdmissionDecision.Admit(first, rank)
        val lateMillis = lateMillis(request)
        if (lateMillis > inTimeMillis) {
            val late = choose(lateRank(request), lateMillis)
            val spare = late != null && millis(late) <= lateMillis && tokensAhead(late, LATE_RANK - 1) == 0
            if (late != null && spare) return AdmissionDecision.Admit(late, lateRank(request))
        }
        val excessMillis = millis(first) - max(inTimeMillis, lateMillis)
        return AdmissionDecision.Refuse(first, rank, returns.retryMillis(now, request, excessMillis))
    }

    /** Returns how long the turn of [request], admitted at [rank], may take from now if reading takes [readMillis]. */
    fun turnMillis(request: AdmissionRequest, rank: Int, readMillis: Double): Double {
        if (rank >= LATE_RANK) return min(LATE_TURN_MILLIS, request.leftMillis)
        return min(request.targetMillis - request.spentMillis - readMillis, request.leftMillis)
    }

    private fun lateRank(request: AdmissionRequest) = if (request.returning) LATE_RANK else LATE_RANK + 1

    private fun inTimeMillis(request: AdmissionRequest): Double =
        max(MIN_BOUND_MILLIS, min(request.targetMillis - request.spentMillis, request.leftMillis * DEADLINE_PART))

    // Plain endpoints have no queue of turns that keeps late requests behind the others.
    private fun lateMillis(request: AdmissionRequest): Double =
        if (request.ranked) min(MAX_LATE_MILLIS, request.leftMillis * LATE_DEADLINE_PART) else 0.0

    companion object {
        /**
         * Levels of priority by which requests beyond the fair share of their account rank lower: the most urgent ones
         * of an account compete with others two levels below, and its excess with no request of the same kind.
         */
        const val EXCESS_LEVELS = 2

        /** Lowest rank of requests that are too late for their target. */
        const val LATE_RANK = 20

        /** At twice the room an eighth of a kind is a quarter of the share of all that is served. */
        const val FLOOR_PARTS = 8

        /** Least urgent priority; a larger one counts as this. */
        const val MAX_PRIORITY = 9

        private const val DEADLINE_PART = 0.8
        private const val MIN_BOUND_MILLIS = 150.0

        private const val MAX_LATE_MILLIS = 1_500.0

        // A caller that is refused after a longer wait has lost the time for a return.
        private const val LATE_TURN_MILLIS = 250.0
        private const val LATE_DEADLINE_PART = 0.15
    }
}

/**
 * Describes a request that asks for admission.
 *
 * @property lot 64 bits that are uniformly distributed over requests.
 * @property targetMillis target time until the first part of the answer.
 * @property spentMillis time since the first attempt of the caller.
 * @property leftMillis time until the deadline.
 * @property returning whether the caller was refused before.
 * @property ranked whether turns at the endpoints of the service are granted by rank.
 */
internal data class AdmissionRequest(
    val service: String,
    val priority: Int,
    val account: String?,
    val lot: Long,
    val targetMillis: Double,
    val spentMillis: Double,
    val leftMillis: Double,
    val returning: Boolean = false,
    val ranked: Boolean = true,
)

/** Describes whether a request is admitted. */
internal sealed interface AdmissionDecision<out T> {
    /** The request may be sent to [endpoint] at [rank]. */
    data class Admit<T>(val endpoint: T, val rank: Int) : AdmissionDecision<T>

    /** The answer would begin too late even at [endpoint]; the caller may return after [retryMillis]. */
    data class Refuse<T>(val endpoint: T, val rank: Int, val retryMillis: Long) : AdmissionDecision<T>

    /** No endpoint can take the request. */
    data object NoEndpoint : AdmissionDecision<Nothing>
}
