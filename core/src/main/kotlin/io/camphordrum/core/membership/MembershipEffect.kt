package io.camphordrum.core.membership

import io.camphordrum.core.Generation
import io.camphordrum.core.Member

/** Names what [Membership] asks its caller to do. */
public sealed interface MembershipEffect {
    /** Send [message] to [to]; loss is allowed. */
    public data class Send(public val to: Member, public val message: MembershipMessage) : MembershipEffect

    /** Read the membership object, and pass the time before the read was sent to [Membership.storeRead]. */
    public data object ReadStore : MembershipEffect

    /** Write [record] if the object still has [expectedVersion] (0: if it does not exist). */
    public data class WriteStore(public val record: MembershipRecord, public val expectedVersion: Long) :
        MembershipEffect

    /** [generation] was adopted; shares and endpoint ownership follow it. */
    public data class GenerationChanged(public val generation: Generation) : MembershipEffect

    /** [from] has the newer configuration [revision]. */
    public data class RevisionSeen(public val from: Member, public val revision: Long) : MembershipEffect

    /** The graceful leave is recorded, and the process may end. */
    public data object Left : MembershipEffect

    /** [by] is a newer incarnation of this instance; this process can hold rights no more. */
    public data class Superseded(public val by: Member) : MembershipEffect
}
