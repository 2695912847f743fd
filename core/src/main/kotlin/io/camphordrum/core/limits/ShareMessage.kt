package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.Member
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Carries parts of client accounts' limits between members of one generation. */
@Serializable
public sealed interface ShareMessage {
    /** The number of the generation in which the message is valid; other receivers ignore it. */
    public val generation: Long

    /**
     * Asks for parts and level; the receiver sends a [Transfer] of its surplus if it has any.
     *
     * @property onBehalfOf the member that gets the surplus; null if it is the sender, and the receiver shall also
     *   collect from the other members.
     */
    @Serializable
    @SerialName("ask")
    public data class Ask(
        override val generation: Long,
        val needs: List<ShareAmount>,
        val onBehalfOf: Member? = null,
    ) : ShareMessage

    /** Tells a member that asked that no more surplus of [accounts] will come for its ask. */
    @Serializable
    @SerialName("none")
    public data class NoSurplus(override val generation: Long, val accounts: List<AccountId>) : ShareMessage

    /**
     * Moves parts and level; the sender has debited them, and repeats the message until a [Receipt] arrives.
     *
     * @property sequence grows by one for each transfer between the two members; a repeated number is not credited.
     * @property floorParts the receiver's new floor, set by the coordinator; null leaves it unchanged.
     * @property isReturn true if level is given back that the sender had no room for; it is not given back again.
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
     * Acknowledges a new generation to its coordinator with the parts held when the sender entered it.
     *
     * @property held parts per account, the floor included; accounts without parts are left out.
     * @property floorParts parts of every account that the sender may still use after losing its lease.
     * @property informed true if [floors] lists every floor that may still be in use by a former member.
     * @property floors floors of former members that the sender knows of.
     */
    @Serializable
    @SerialName("ack")
    public data class GenerationAck(
        override val generation: Long,
        val held: Map<AccountId, Int>,
        val floorParts: Int,
        val informed: Boolean,
        val floors: List<ReservedFloor>,
    ) : ShareMessage

    /**
     * Ends the settlement of a generation and shares the coordinator's knowledge of floors.
     *
     * @property floorTotalParts the most parts that all floors of the data centre together may use.
     * @property memberFloors upper bound of each present member's floor.
     * @property floors floors of former members that may still be in use.
     */
    @Serializable
    @SerialName("settled")
    public data class Settled(
        override val generation: Long,
        val floorTotalParts: Int,
        val memberFloors: List<MemberFloor>,
        val floors: List<ReservedFloor>,
    ) : ShareMessage

    /** Reports the parts that the sender's demand uses, to the coordinator. */
    @Serializable
    @SerialName("demand")
    public data class Demand(override val generation: Long, val wanted: Map<AccountId, Int>) : ShareMessage

    /** Announces that the sender has given up all parts and its floor, for good. */
    @Serializable
    @SerialName("released")
    public data class Released(override val generation: Long) : ShareMessage
}

/**
 * Names an amount of one account's limit.
 *
 * @property parts parts of [AllotmentRecord.PARTS].
 * @property levelNanoTokens available tokens, in billionths.
 */
@Serializable
public data class ShareAmount(public val account: AccountId, public val parts: Int, public val levelNanoTokens: Long)

/** Bounds the floor of a present member. */
@Serializable
public data class MemberFloor(public val member: Member, public val parts: Int)

/**
 * Describes the floor of a former member that may still use it.
 *
 * @property peerAddress the former member's address; a newer incarnation at this address proves its process ended.
 * @property remainingNanos time until the floor can no longer be in use, from the sending of the message.
 */
@Serializable
public data class ReservedFloor(
    public val member: Member,
    public val peerAddress: String,
    public val parts: Int,
    public val remainingNanos: Long,
)
