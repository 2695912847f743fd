package io.camphordrum.core.residency

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The outcome of the use of a ticket. */
@Serializable
public enum class TicketOutcome {
    /** The endpoint returned its complete answer. */
    @SerialName("c")
    COMPLETED,

    /** The endpoint returned an error and no longer processes the request. */
    @SerialName("e")
    FAILED,

    /** The request was not sent to the endpoint and will not be sent under this ticket. */
    @SerialName("n")
    NOT_RUN,

    /** It is unknown whether the endpoint still processes the request. */
    @SerialName("u")
    UNKNOWN,
}

/**
 * Reports the end of the use of a ticket to its [EndpointOwner].
 *
 * @property usedTokens prompt plus generated tokens; the rest of the charge is refunded to the account in the fair
 *   queue.
 * @property firstTokenNanos time from dispatch to the first byte of the answer, or 0 when there was none.
 */
public data class TicketReport(
    public val outcome: TicketOutcome,
    public val usedTokens: Long = 0,
    public val firstTokenNanos: Long = 0,
)
