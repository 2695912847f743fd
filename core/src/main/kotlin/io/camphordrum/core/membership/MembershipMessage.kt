package io.camphordrum.core.membership

import io.camphordrum.core.Member
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Represents a message between members of one data centre that renews leases or coordinates removals. */
@Serializable
public sealed interface MembershipMessage {
    /** Number of the generation that the sender has adopted. */
    public val generation: Long
}

/**
 * Requests that a witness extends the sender's lease.
 *
 * @property sequence increases by one with every round; the sender records the time at which it sent the round.
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
 * Acknowledges or refuses a heartbeat.
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

/** Requests that a witness of [target] stops acknowledging its heartbeats within [generation]. */
@Serializable
@SerialName("rm")
public data class RemovalRequest(override val generation: Long, public val target: Member) : MembershipMessage

/** Promises that the sender no longer acknowledges heartbeats of [target] within [generation]. */
@Serializable
@SerialName("prm")
public data class RemovalPromise(override val generation: Long, public val target: Member) : MembershipMessage

/** Carries the stored record of the latest generation known to the sender, with the object's [version]. */
@Serializable
@SerialName("gen")
public data class GenerationNotice(public val record: MembershipRecord, public val version: Long) : MembershipMessage {
    override val generation: Long get() = record.generation.number
}
