package io.camphordrum.core.residency

import io.camphordrum.core.AccountId
import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.EndpointId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A message about tickets between a daemon and the owner of an endpoint. */
@Serializable
public sealed interface TicketMessage {
    /**
     * Requests a ticket from the owner of [endpoint]; a repeated message with the same [id] receives the same answer.
     *
     * @property id unique among the requests of the sending member.
     * @property version null on a plain service.
     * @property tokens prompt plus maximum output tokens.
     * @property priority higher values are served first within the account.
     * @property remainingMillis time from sending until the deadline of the request.
     * @property maxWaitMillis the owner denies at once when it expects a longer wait; 0 means no limit.
     */
    @Serializable
    @SerialName("q")
    public data class Request(
        @SerialName("i") public val id: Long,
        @SerialName("e") public val endpoint: EndpointId,
        @SerialName("v") public val version: AdapterVersion? = null,
        @SerialName("a") public val account: AccountId,
        @SerialName("t") public val tokens: Long,
        @SerialName("p") public val priority: Int = 0,
        @SerialName("d") public val remainingMillis: Int,
        @SerialName("w") public val maxWaitMillis: Int = 0,
    ) : TicketMessage

    /**
     * Grants a ticket to dispatch the request [id].
     *
     * @property dispatchWithinMillis time within which the request must be sent to the endpoint, counted like
     *   [validMillis].
     * @property validMillis life of the ticket, counted by the holder from when it first sent the request, so that the
     *   ticket never expires later for the holder than for the owner.
     * @property waitMillis the expected wait of the next request of the same account.
     */
    @Serializable
    @SerialName("g")
    public data class Grant(
        @SerialName("i") public val id: Long,
        @SerialName("k") public val ticket: Long,
        @SerialName("f") public val fencing: Long,
        @SerialName("s") public val dispatchWithinMillis: Int,
        @SerialName("l") public val validMillis: Int,
        @SerialName("w") public val waitMillis: Int = 0,
    ) : TicketMessage

    /** Denies a ticket to the request [id], which has not run; [waitMillis] is the wait that the owner expects. */
    @Serializable
    @SerialName("d")
    public data class Deny(
        @SerialName("i") public val id: Long,
        @SerialName("r") public val reason: DenyReason,
        @SerialName("b") public val retryAfterMillis: Int,
        @SerialName("w") public val waitMillis: Int = 0,
    ) : TicketMessage

    /** Reports that the [ticket] of [endpoint] is returned to the owner; [usedTokens] counts prompt and output. */
    @Serializable
    @SerialName("f")
    public data class Finish(
        @SerialName("e") public val endpoint: EndpointId,
        @SerialName("k") public val ticket: Long,
        @SerialName("o") public val outcome: TicketOutcome,
        @SerialName("u") public val usedTokens: Long = 0,
        @SerialName("l") public val firstTokenMillis: Int = 0,
    ) : TicketMessage
}
