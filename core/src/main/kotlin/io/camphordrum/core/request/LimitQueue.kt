package io.camphordrum.core.request

import io.camphordrum.core.AccountId
import io.camphordrum.core.RateLimit
import io.camphordrum.core.limits.Admission

/** Tells what became of a request that asked for tokens of its account's limit. */
internal sealed interface LimitAnswer {
    /** The tokens are charged. */
    data object Charged : LimitAnswer

    /** The request waits in the queue of its account. */
    data object Queued : LimitAnswer

    /** The request cannot be charged within its wait; [retryAfterNanos] may be [Admission.NEVER]. */
    class Refused(val retryAfterNanos: Long) : LimitAnswer
}

/**
 * Lets requests wait briefly, in order of arrival, for tokens of their account's limit.
 *
 * Tokens reach a daemon with a delay while parts move between daemons. Without a queue, a request inside the rate
 * would be refused in that time, or be overtaken by later and smaller ones. A request that is not expected to be
 * charged within its wait is refused at once.
 *
 * @param admit charges tokens to an account.
 * @param limit the limit of an account, for estimating the wait; null when it has none.
 */
internal class LimitQueue(
    private val admit: (now: Long, account: AccountId, tokens: Long) -> Admission,
    private val limit: (AccountId) -> RateLimit?,
) {
    private class Lane {
        val waiting = ArrayDeque<Pending>()
        var tokens = 0L
        var wakeNanos = 0L
    }

    private val lanes = HashMap<AccountId, Lane>()

    /** Charges [p] or queues it. */
    fun add(now: Long, p: Pending): LimitAnswer {
        val lane = lanes[p.target.account]
        if (lane != null) return queue(now, p, lane, lane.wakeNanos - now)
        return when (val admission = admit(now, p.target.account, p.target.charge)) {
            Admission.Granted -> LimitAnswer.Charged
            is Admission.Wait -> queue(now, p, Lane(), admission.untilNanos - now)
            is Admission.Refused -> queue(now, p, Lane(), admission.retryAfterNanos)
        }
    }

    private fun queue(now: Long, p: Pending, lane: Lane, headNanos: Long): LimitAnswer {
        if (headNanos == Admission.NEVER) return LimitAnswer.Refused(Admission.NEVER)
        val wait = maxOf(0, headNanos) + refillNanos(p.target.account, lane.tokens)
        if (now + wait - p.limitUntilNanos > 0) return LimitAnswer.Refused(wait)
        if (lane.waiting.isEmpty()) {
            lane.wakeNanos = now + maxOf(SHORTEST_PAUSE_NANOS, headNanos)
            lanes[p.target.account] = lane
        }
        lane.waiting += p
        lane.tokens += p.target.charge
        return LimitAnswer.Queued
    }

    private fun refillNanos(account: AccountId, tokens: Long): Long {
        val rate = limit(account)?.tokensPerSecond ?: return 0
        return if (tokens == 0L) 0 else (tokens.toDouble() * SECOND / maxOf(1, rate)).toLong()
    }

    /** Removes [p] if it waits. */
    fun remove(p: Pending) {
        val lane = lanes[p.target.account] ?: return
        if (lane.waiting.remove(p)) lane.tokens -= p.target.charge
        if (lane.waiting.isEmpty()) lanes.remove(p.target.account)
    }

    /** Serves the queues that are due: [charged] takes the charged requests, [refused] those whose wait has ended. */
    fun tick(now: Long, charged: (Pending) -> Unit, refused: (Pending, retryAfterNanos: Long) -> Unit) {
        for ((account, lane) in lanes.entries.toList()) {
            if (now - lane.wakeNanos >= 0) serve(now, account, lane, charged, refused)
        }
    }

    private fun serve(
        now: Long,
        account: AccountId,
        lane: Lane,
        charged: (Pending) -> Unit,
        refused: (Pending, Long) -> Unit,
    ) {
        while (lane.waiting.isNotEmpty()) {
            val head = lane.waiting.first()
            val pause = when (val admission = admit(now, account, head.target.charge)) {
                Admission.Granted -> null
                is Admission.Wait -> admission.untilNanos - now
                is Admission.Refused -> admission.retryAfterNanos
            }
            if (pause == null) {
                remove(head)
                charged(head)
            } else if (pause == Admission.NEVER || now - head.limitUntilNanos >= 0) {
                remove(head)
                refused(head, pause)
            } else {
                lane.wakeNanos = minOf(now + maxOf(SHORTEST_PAUSE_NANOS, pause), head.limitUntilNanos)
                return
            }
        }
    }

    private companion object {
        const val SECOND = 1_000_000_000L
        const val SHORTEST_PAUSE_NANOS = 2_000_000L
    }
}
