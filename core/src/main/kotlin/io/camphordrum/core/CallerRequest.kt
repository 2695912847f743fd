package io.camphordrum.core

/**
 * Describes one request of a caller, without its body.
 *
 * @property id identifier that is unique within the process.
 * @property keyHash keyed hash of the caller's key in hexadecimal; null when the request carries none.
 * @property operation requested operation.
 * @property arrivedNanos monotonic arrival time.
 * @property deadlineMillis the caller's deadline in milliseconds after arrival; null for the default of the settings.
 * @property idempotencyKey key under which the request runs at most once; null when the request carries none.
 * @property fingerprint hash of the content, which detects an idempotency key that is reused for other content.
 */
public data class CallerRequest(
    public val id: Long,
    public val keyHash: String?,
    public val operation: Operation,
    public val arrivedNanos: Long,
    public val deadlineMillis: Long? = null,
    public val idempotencyKey: String? = null,
    public val fingerprint: Long = 0,
)

/** Describes the operation that a request asks for. */
public sealed interface Operation {
    /**
     * Requests a completion by a model with an adapter.
     *
     * @property model `adapter` or `adapter@version`.
     * @property promptTokens estimated upper bound of the prompt's length in tokens.
     * @property maxTokens maximum length of the output in tokens; null for the limit of the settings.
     */
    public data class Completion(val model: String, val promptTokens: Long, val maxTokens: Long?) : Operation

    /** Calls a plain service, which is selected by the prefix of [path]. */
    public data class Call(val method: String, val path: String) : Operation
}
