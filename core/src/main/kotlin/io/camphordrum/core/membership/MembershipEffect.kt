package io.camphordrum.core.membership

import io.camphordrum.core.Generation
import io.camphordrum.core.Member

/** Describes an action that [Membership] requests from its caller, or an event that it reports. */
public sealed interface MembershipEffect {
    /** Sends [message] to [to]; the message may be lost. */
    public data class Send(public val to: Member, public val message: MembershipMessage) : MembershipEffect

    /** Reads the membership object; [Membership.storeRead] receives a time taken before the read was sent. */
    public data object ReadStore : MembershipEffect

    /** Writes [record] if the object still has [expectedVersion] (0: if it does not exist). */
    public data class WriteStore(public val record: MembershipRecord, public val expectedVersion: Long) :
        MembershipEffect

    /** Reports that [generation] was adopted, which determines shares and endpoint ownership. */
    public data class GenerationChanged(public val generation: Generation) : MembershipEffect

    /** Reports that [from] has the newer configuration [revision]. */
    public data class RevisionSeen(public val from: Member, public val revision: Long) : MembershipEffect

    /** Reports that the graceful leave is recorded, so that the process may exit. */
    public data object Left : MembershipEffect

    /** Reports [by], a newer incarnation of this instance; this process can no longer hold rights. */
    public data class Superseded(public val by: Member) : MembershipEffect
}
