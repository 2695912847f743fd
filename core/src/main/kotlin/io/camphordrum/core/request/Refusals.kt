package io.camphordrum.core.request

import io.camphordrum.core.Ran
import io.camphordrum.core.Refusal
import io.camphordrum.core.RefusalCode
import io.camphordrum.core.limits.Admission

internal fun unavailable(message: String) =
    Refusal(RefusalCode.UNAVAILABLE, message, retryAfterMillis = DEFAULT_RETRY_MILLIS)

internal fun unavailable(pending: PendingRequest) = Refusal(
    RefusalCode.UNAVAILABLE,
    pending.lastDenial.message,
    retryAfterMillis = retryMillis(pending.lastDenial.retryAfterNanos),
)

internal fun overLimit(target: ResolvedRequest, retryAfterNanos: Long): Refusal {
    val account = target.account
    if (retryAfterNanos == Admission.NEVER) {
        val message = "expected a charge within the burst of client account $account, but was ${target.charge} tokens"
        return Refusal(RefusalCode.TOO_LARGE, message)
    }
    val message = "client account $account is over its rate"
    return Refusal(RefusalCode.OVER_LIMIT, message, retryAfterMillis = retryMillis(retryAfterNanos))
}

internal fun beforeDeadline(pending: PendingRequest, retryAfterNanos: Long): Refusal {
    val message = "the request cannot finish before its deadline: ${pending.lastDenial.message}"
    return Refusal(RefusalCode.DEADLINE, message, retryAfterMillis = retryMillis(retryAfterNanos))
}

internal fun keyWithdrawn() = Refusal(RefusalCode.BAD_KEY, "the key was withdrawn")

internal fun endpointFailed(reason: String) =
    Refusal(RefusalCode.ENDPOINT_FAILED, "the endpoint failed: $reason", Ran.UNKNOWN)

internal fun deadlineWhileRunning() =
    Refusal(RefusalCode.DEADLINE, "the deadline passed while the request ran", Ran.UNKNOWN)

private fun retryMillis(nanos: Long): Long = maxOf(MIN_RETRY_MILLIS, (nanos + 999_999) / 1_000_000)

private const val DEFAULT_RETRY_MILLIS = 1_000L
private const val MIN_RETRY_MILLIS = 50L
