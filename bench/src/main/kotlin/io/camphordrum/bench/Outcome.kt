package io.camphordrum.bench

/** Tells how a request ended for its caller. */
enum class Ending {
    /** A whole answer to the own request. */
    WHOLE,

    /** 429: over the limit. */
    LIMITED,

    /** 503 or 504. */
    UNAVAILABLE,

    /** 409 on an order whose outcome is not known. */
    OUTCOME_UNKNOWN,

    /** Any other status. */
    OTHER_STATUS,

    /** An explicit error event after the start of the stream. */
    ERROR_EVENT,

    /** The connection broke. */
    LOST,

    /** A success status with missing, repeated or foreign tokens, or without an end. */
    TORN,

    /** The answer names another adapter or version. */
    WRONG_ADAPTER,
}

/**
 * Is what one caller saw of one request; times are in nanoseconds from the start of the run.
 *
 * @property firstTokenNanos 0 when there was none.
 * @property usedTokens prompt and output tokens as the engine counted them.
 * @property ran what an error said: `no`, `unknown`, or null.
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
    /** Time to the first token from the planned time of sending, so that a slow load tool hides nothing. */
    val toFirstTokenNanos: Long get() = firstTokenNanos - arrival.atNanos
}
