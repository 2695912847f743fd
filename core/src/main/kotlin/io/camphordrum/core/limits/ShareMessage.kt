package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.Member
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Represents a message about parts of client accounts' limits between members of one generation. */
@Serializable
public sealed interface ShareMessage {
    /** The number of the generation in which the message is valid; receivers in another generation ignore it. */
    public val generation: Long

    /**
     * Requests parts and level; the receiver sends a [Transfer] of its surplus if it has any.
     *
     * @property amounts the requested amounts.
     * @property onBehalfOf the member that receives the surplus; null if that is the sender and the receiver must also
     *   collect surplus from the other members.
     */
    @Serializable
    @SerialName("ask")
    public data class SurplusRequest(
        override val generation: Long,
        @SerialName("needs") val amounts: List<ShareAmount>,
        val onBehalfOf: Member? = null,
    ) : ShareMessage

    /** Notifies a member that its [SurplusRequest] yields no more surplus of [accounts]. */
    @Serializable
    @SerialName("none")
    public data class NoSurplus(override val generation: Long, val accounts: List<AccountId>) : ShareMessage

    /**
     * Transfers parts and level; the sender has debited them and repeats the message until a [Receipt] arrives.
     *
     * @property sequence increases by one for each transfer between the two members; a duplicate is not credited.
     * @property floorParts the receiver's new floor, set by the coordinator; null leaves it unchanged.
     * @property isReturn true if the sender returns level that exceeded its capacity; it is not returned again.
     */
    @Serializable
    @SerialName("transfer")
    public data class Transfer(
        override val generation: Long,
        val sequence: Long,
        val amounts: List<ShareAmount>,
        val floorParts: Int? = null,
        val isReturn: Boolean = false,
    ) : ShareMessage

    /** Confirms that the transfer with [sequence] was credited. */
    @Serializable
    @SerialName("receipt")
    public data class Receipt(override val generation: Long, val sequence: Long) : ShareMessage

    /**
     * Acknowledges a new generation to its coordinator and reports the parts that the sender held when it entered it.
     *
     * @property held parts by account, including the floor; accounts without parts are omitted.
     * @property floorParts parts of every account that the sender may still use after losing its lease.
     * @property floorsComplete true if [reservedFloors] contains every floor that a former member may still use.
     * @property reservedFloors floors of former members that the sender has recorded.
     */
    @Serializable
    @SerialName("ack")
    public data class GenerationAck(
        override val generation: Long,
        val held: Map<AccountId, Int>,
        val floorParts: Int,
        @SerialName("informed") val floorsComplete: Boolean,
        @SerialName("floors") val reservedFloors: List<ReservedFloor>,
    ) : ShareMessage

    /**
     * Announces that the coordinator has reconciled the generation, and distributes its list of floors.
     *
     * @property floorTotalParts upper bound of the sum of all floors of the data centre.
     * @property memberFloors upper bound of each current member's floor.
     * @property reservedFloors floors of former members that may still be in use.
     */
    @Serializable
    @SerialName("settled")
    public data class Reconciled(
        override val generation: Long,
        val floorTotalParts: Int,
        val memberFloors: List<MemberFloor>,
        @SerialName("floors") val reservedFloors: List<ReservedFloor>,
    ) : ShareMessage

    /** Reports to the coordinator the parts that the sender's demand uses, by account. */
    @Serializable
    @SerialName("demand")
    public data class Demand(
        override val generation: Long,
        @SerialName("wanted") val demandParts: Map<AccountId, Int>,
    ) : ShareMessage

    /** Announces that the sender has permanently released all parts and its floor. */
    @Serializable
    @SerialName("released")
    public data class Released(override val generation: Long) : ShareMessage
}

/**
 * Represents an amount of one account's limit.
 *
 * @property parts parts out of [AllotmentRecord.PARTS].
 * @property levelNanoTokens available tokens, in billionths.
 */
@Serializable
public data class ShareAmount(public val account: AccountId, public val parts: Int, public val levelNanoTokens: Long)

/** States the upper bound of a current member's floor, in parts of every account. */
@Serializable
public data class MemberFloor(public val member: Member, public val parts: Int)

/**
 * Describes the floor of a former member that may still use it, in parts of every account.
 *
 * @property peerAddress the former member's address; a newer incarnation at this address proves that its process
 *   exited.
 * @property remainingNanos time from the sending of the message until the floor expires.
 */
@Serializable
public data class ReservedFloor(
    public val member: Member,
    public val peerAddress: String,
    public val parts: Int,
    public val remainingNanos: Long,
)
