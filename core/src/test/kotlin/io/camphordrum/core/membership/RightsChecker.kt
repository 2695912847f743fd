package io.camphordrum.core.membership

import io.camphordrum.core.EndpointId
import io.camphordrum.core.Member

/** Checks the claims of members against the stored records, independently of the implementation. */
class RightsChecker {
    private var listed = emptySet<Member>()

    fun recordWrite(record: MembershipRecord) {
        listed = record.generation.members.map { it.member }.toSet()
    }

    /** Fails if the store no longer lists [member], so that its rights are released, while its lease is still valid. */
    fun checkLease(member: Member, atNanos: Long) {
        check(member in listed) { "$member has a valid lease at $atNanos, but the store lists only $listed" }
    }

    /** Fails if [endpoint] has more than one holder. */
    fun checkHolders(endpoint: EndpointId, members: List<Member>, atNanos: Long) {
        check(members.size <= 1) { "$endpoint is held at $atNanos by $members" }
    }
}
