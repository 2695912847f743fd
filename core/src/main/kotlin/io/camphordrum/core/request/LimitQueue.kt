package io.camphordrum.core.request

import io.camphordrum.core.AccountId
import io.camphordrum.core.RateLimit
import io.camphordrum.core.limits.Admission

/** The result of charging a request to the limit of its account. */
internal sealed interface ChargeResult {
    /** The tokens have been charged. */
    data object Charged : ChargeResult

    /** The request is queued for tokens of its account. */
    data object Queued : ChargeResult

    /** The request cannot be charged within its maximum wait; [retryAfterNanos] may be [Admission.NEVER]. */
    class Refused(val retryAfterNanos: Long) : ChargeResult
}

/**
 * Queues requests for a short time, in order of arrival, for tokens of their account's limit.
 *
 * Tokens reach a daemon with a delay while parts move between daemons. Without a queue, a request within the rate would
 * be refused during that time, or be overtaken by later and smaller ones. A request that is not expected to be charged
 * within its maximum wait is refused at once.
 *
 * @param admit charges tokens to an account.
 * @param limit the limit of an account, for the estimate of the wait; null when it has none.
 */
internal class LimitQueue(
    private val admit: (now: Long, account: AccountId, tokens: Long) -> Admission,
    private val limit: (AccountId) -> RateLimit?,
) {
    private class AccountQueue {
        val requests = ArrayDeque<PendingRequest>()
        var queuedTokens = 0L
        var nextAttemptNanos = 0L
    }

    private val queues = HashMap<AccountId, AccountQueue>()

    /** Charges [pending], or queues it. */
    fun add(now: Long, pending: PendingRequest): ChargeResult {
        val queue = queues[pending.target.account]
        if (queue != null) return enqueue(now, pending, queue, queue.nextAttemptNanos - now)
        return when (val admission = admit(now, pending.target.account, pending.target.charge)) {
            Admission.Granted -> ChargeResult.Charged
            is Admission.Wait -> enqueue(now, pending, AccountQueue(), admission.untilNanos - now)
            is Admission.Refused -> enqueue(now, pending, AccountQueue(), admission.retryAfterNanos)
        }
    }

    private fun enqueue(now: Long, pending: PendingRequest, queue: AccountQueue, headDelayNanos: Long): ChargeResult {
        if (headDelayNanos == Admission.NEVER) return ChargeResult.Refused(Admission.NEVER)
        val waitNanos = maxOf(0, headDelayNanos) + refillNanos(pending.target.account, queue.queuedTokens)
        if (now + waitNanos - pending.limitDeadlineNanos > 0) return ChargeResult.Refused(waitNanos)
        if (queue.requests.isEmpty()) {
            queue.nextAttemptNanos = now + maxOf(MIN_RETRY_DELAY_NANOS, headDelayNanos)
            queues[pending.target.account] = queue
        }
        queue.requests += pending
        queue.queuedTokens += pending.target.charge
        return ChargeResult.Queued
    }

    private fun refillNanos(account: AccountId, queuedTokens: Long): Long {
        val rate = limit(account)?.tokensPerSecond ?: return 0
        return if (queuedTokens == 0L) 0 else (queuedTokens.toDouble() * SECOND / maxOf(1, rate)).toLong()
    }

    /** Removes [pending] if it is queued. */
    fun remove(pending: PendingRequest) {
        val queue = queues[pending.target.account] ?: return
        if (queue.requests.remove(pending)) queue.queuedTokens -= pending.target.charge
        if (queue.requests.isEmpty()) queues.remove(pending.target.account)
    }

    /**
     * Processes the queues that are due; [onCharged] receives the charged requests, [onRefused] those whose wait has
     * expired.
     */
    fun tick(
        now: Long,
        onCharged: (PendingRequest) -> Unit,
        onRefused: (PendingRequest, retryAfterNanos: Long) -> Unit,
    ) {
        for ((account, queue) in queues.entries.toList()) {
            if (now - queue.nextAttemptNanos >= 0) processQueue(now, account, queue, onCharged, onRefused)
        }
    }

    private fun processQueue(
        now: Long,
        account: AccountId,
        queue: AccountQueue,
        onCharged: (PendingRequest) -> Unit,
        onRefused: (PendingRequest, Long) -> Unit,
    ) {
        while (queue.requests.isNotEmpty()) {
            val head = queue.requests.first()
            val delayNanos = when (val admission = admit(now, account, head.target.charge)) {
                Admission.Granted -> null
                is Admission.Wait -> admission.untilNanos - now
                is Admission.Refused -> admission.retryAfterNanos
            }
            if (delayNanos == null) {
                remove(head)
                onCharged(head)
            } else if (delayNanos == Admission.NEVER || now - head.limitDeadlineNanos >= 0) {
                remove(head)
                onRefused(head, delayNanos)
            } else {
                queue.nextAttemptNanos = minOf(now + maxOf(MIN_RETRY_DELAY_NANOS, delayNanos), head.limitDeadlineNanos)
                return
            }
        }
    }

    private companion object {
        const val SECOND = 1_000_000_000L
        const val MIN_RETRY_DELAY_NANOS = 2_000_000L
    }
}
