package io.camphordrum.core.membership

import io.camphordrum.core.EndpointId
import io.camphordrum.core.Member

/** Judges what the store recorded and what members claim; it knows nothing of how they decide. */
class RightsChecker {
    private var listed = emptySet<Member>()

    fun written(record: MembershipRecord) {
        listed = record.generation.members.map { it.member }.toSet()
    }

    /** Fails when the rights of [member] are free in the store and it still finds its lease valid. */
    fun leaseValid(member: Member, atNanos: Long) {
        check(member in listed) { "$member finds its lease valid at $atNanos, but the store lists only $listed" }
    }

    /** Fails when [endpoint] has more than one holder. */
    fun holders(endpoint: EndpointId, members: List<Member>, atNanos: Long) {
        check(members.size <= 1) { "$endpoint is held at $atNanos by $members" }
    }
}
