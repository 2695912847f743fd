package io.camphordrum.core.membership

import io.camphordrum.core.Member
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Renews leases and agrees on removals between members of one data centre. */
@Serializable
public sealed interface MembershipMessage {
    /** The number of the generation that the sender has adopted. */
    public val generation: Long
}

/**
 * Asks a witness to extend the sender's lease.
 *
 * @property sequence grows by one with every round; the sender keeps the time at which it sent the round.
 * @property revision the sender's configuration revision.
 * @property adopted bit set over the members of [generation], by position: those known to have adopted it.
 */
@Serializable
@SerialName("hb")
public data class Heartbeat(
    override val generation: Long,
    public val sequence: Long,
    public val revision: Long,
    public val adopted: List<Long> = emptyList(),
) : MembershipMessage

/**
 * Answers a heartbeat.
 *
 * @property granted false when the sender has another generation or has promised the removal of the receiver.
 */
@Serializable
@SerialName("ack")
public data class Acknowledgement(
    override val generation: Long,
    public val sequence: Long,
    public val granted: Boolean,
    public val revision: Long,
    public val adopted: List<Long> = emptyList(),
) : MembershipMessage

/** Asks a witness of [target] to stop acknowledging it within [generation]. */
@Serializable
@SerialName("rm")
public data class RemovalRequest(override val generation: Long, public val target: Member) : MembershipMessage

/** States that the sender acknowledges [target] no more within [generation]. */
@Serializable
@SerialName("prm")
public data class RemovalPromise(override val generation: Long, public val target: Member) : MembershipMessage

/** Passes on the stored record of the latest generation that the sender knows, with the object's [version]. */
@Serializable
@SerialName("gen")
public data class GenerationNotice(public val record: MembershipRecord, public val version: Long) : MembershipMessage {
    override val generation: Long get() = record.generation.number
}
