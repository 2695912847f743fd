package io.camphordrum.core

import kotlinx.serialization.Serializable

/**
 * Describes to a caller why its request is not answered.
 *
 * ```kotlin
 * Refusal(RefusalCode.OVER_LIMIT, "client account demo is over its rate", retryAfterMillis = 400)
 * ```
 *
 * @property ran whether the request may have run.
 * @property retryAfterMillis delay before a retry in milliseconds; null when a retry cannot succeed.
 */
@Serializable
public data class Refusal(
    public val code: RefusalCode,
    public val message: String,
    public val ran: Ran = Ran.NO,
    public val retryAfterMillis: Long? = null,
)

/** Indicates whether a refused request may have run. */
@Serializable
public enum class Ran {
    /** Guarantees that the request has not run. */
    NO,

    /** Indicates that the request may have run in part or in full. */
    UNKNOWN,
}

/**
 * Classifies refusals.
 *
 * @property status HTTP status that callers receive.
 * @property code stable name in the error body.
 */
@Serializable
public enum class RefusalCode(public val status: Int, public val code: String) {
    /** The body, a header or a field is malformed. */
    BAD_REQUEST(400, "bad_request"),

    /** The request carries no key, or one that is unknown or withdrawn. */
    BAD_KEY(401, "bad_key"),

    /** The client account may not use the adapter or route. */
    NOT_ALLOWED(403, "not_allowed"),

    /** The tree has no such adapter, version or route. */
    NOT_FOUND(404, "not_found"),

    /** The idempotency key belongs to a different request. */
    KEY_REUSED(409, "idempotency_key_reused"),

    /** An earlier request with the same idempotency key has an outcome that is not known. */
    OUTCOME_UNKNOWN(409, "outcome_unknown"),

    /** An earlier request with the same idempotency key has run, but its answer is not stored. */
    ANSWER_NOT_RECORDED(409, "answer_not_recorded"),

    /** The body, or the token charge of the request, is larger than allowed. */
    TOO_LARGE(413, "too_large"),

    /** The client account has used up its rate and burst. */
    OVER_LIMIT(429, "over_limit"),

    /** The daemon cannot accept the request at present. */
    UNAVAILABLE(503, "unavailable"),

    /** The endpoint failed while it ran the request. */
    ENDPOINT_FAILED(502, "endpoint_failed"),

    /** The deadline has passed, or would pass before an answer. */
    DEADLINE(504, "deadline"),
}
