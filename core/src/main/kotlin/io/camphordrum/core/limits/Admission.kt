package io.camphordrum.core.limits

/**
 * Represents the result of an admission check against a client account's limit.
 *
 * ```kotlin
 * when (val admission = holder.admit(now, account, tokens)) {
 *     is Admission.Granted -> start()
 *     is Admission.Wait -> retryAt(admission.untilNanos)
 *     is Admission.Refused -> refuse(admission.retryAfterNanos)
 * }
 * ```
 */
public sealed interface Admission {
    /** The request is admitted and its tokens are charged. */
    public data object Granted : Admission

    /**
     * The local share does not cover the request yet; more parts are requested from other members, or it refills soon.
     *
     * @property untilNanos monotonic time at which to call `admit` again.
     */
    public data class Wait(public val untilNanos: Long) : Admission

    /**
     * The account is over its limit, unknown, or this instance holds no usable share.
     *
     * @property retryAfterNanos estimated time until the request can be admitted; [NEVER] if it exceeds the burst.
     */
    public data class Refused(public val retryAfterNanos: Long) : Admission

    /** Defines the retry time of a refusal that waiting cannot resolve. */
    public companion object {
        /** The request needs more tokens than the account's burst, or the account has no limit. */
        public const val NEVER: Long = Long.MAX_VALUE
    }
}
