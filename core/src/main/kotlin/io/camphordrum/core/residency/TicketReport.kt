package io.camphordrum.core.residency

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Tells how the use of a ticket ended. */
@Serializable
public enum class TicketOutcome {
    /** The endpoint gave its whole answer. */
    @SerialName("c")
    COMPLETED,

    /** The endpoint answered with an error and no longer works on the request. */
    @SerialName("e")
    FAILED,

    /** The request was not sent to the endpoint and will not be sent under this ticket. */
    @SerialName("n")
    NOT_RUN,

    /** The holder does not know whether the endpoint still works on the request. */
    @SerialName("u")
    UNKNOWN,
}

/**
 * Reports the end of a ticket to its [EndpointOwner].
 *
 * @property usedTokens prompt plus generated tokens; the rest of the charge is credited to the account's turn.
 * @property firstTokenNanos time from dispatch to the first byte of the answer, or 0 when there was none.
 */
public data class TicketReport(
    public val outcome: TicketOutcome,
    public val usedTokens: Long = 0,
    public val firstTokenNanos: Long = 0,
)
