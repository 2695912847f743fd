package io.camphordrum.bench

/** Classifies how a request ended for its caller. */
enum class Ending {
    /** A complete answer to the request itself. */
    WHOLE,

    /** Status 429: over the rate limit. */
    LIMITED,

    /** Status 503 or 504. */
    UNAVAILABLE,

    /** Status 409 to an order whose outcome is unknown. */
    OUTCOME_UNKNOWN,

    /** Any other status. */
    OTHER_STATUS,

    /** An explicit error event after the start of the stream. */
    ERROR_EVENT,

    /** The connection failed or no answer came. */
    LOST,

    /** A success status with missing, repeated or foreign tokens, or a body without its end marker. */
    TORN,

    /** The answer names another adapter or version. */
    WRONG_ADAPTER,
}

/**
 * Holds the outcome of one request as its caller observed it; times are in nanoseconds from the start of the run.
 *
 * @property firstTokenNanos the time of the first token; 0 if there was none.
 * @property usedTokens prompt and output tokens as the engine counted them.
 * @property ran the field `ran` of an error answer: `no`, `unknown`, or null if absent.
 */
data class Outcome(
    val arrival: Arrival,
    val ending: Ending,
    val firstTokenNanos: Long,
    val endNanos: Long,
    val usedTokens: Long = 0,
    val ran: String? = null,
    val detail: String = "",
) {
    /** Time from the planned sending to the first token, which includes delays of a slow load tool. */
    val timeToFirstTokenNanos: Long get() = firstTokenNanos - arrival.atNanos
}
