package io.camphordrum.core.limits

/**
 * Answers whether a request may use tokens of its client account's limit.
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
    /** The tokens are charged. */
    public data object Granted : Admission

    /**
     * The local share cannot cover the request yet; more parts are being fetched or the share refills soon.
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

    /** Holds the value of a refusal that waiting cannot change. */
    public companion object {
        /** The request asks for more tokens than the account's burst, or for an account without a limit. */
        public const val NEVER: Long = Long.MAX_VALUE
    }
}
