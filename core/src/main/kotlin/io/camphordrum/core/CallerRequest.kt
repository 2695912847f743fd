package io.camphordrum.core

/**
 * Describes one request of a caller, without its body.
 *
 * @property id unique within the process.
 * @property keyHash keyed hash of the caller's key in hexadecimal; null when the request carries none.
 * @property arrivedNanos monotonic arrival time.
 * @property deadlineMillis the caller's deadline counted from arrival; null for the default of the settings.
 */
public data class CallerRequest(
    public val id: Long,
    public val keyHash: String?,
    public val work: Work,
    public val arrivedNanos: Long,
    public val deadlineMillis: Long? = null,
    public val idempotencyKey: String? = null,
    public val fingerprint: Long = 0,
)

/** Tells what a request asks for. */
public sealed interface Work {
    /**
     * A completion by a model with an adapter.
     *
     * @property model `adapter` or `adapter@version`.
     * @property promptTokens estimated upper bound of the prompt's length in tokens.
     * @property maxTokens largest output in tokens; null for the limit of the settings.
     */
    public data class Completion(val model: String, val promptTokens: Long, val maxTokens: Long?) : Work

    /** A call of a plain service, routed by the prefix of [path]. */
    public data class Call(val method: String, val path: String) : Work
}
