package io.camphordrum.core

import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient

/** Indicates whether a member may hold rights. */
@Serializable
public enum class MemberState {
    /** Allows the member to hold rights while its lease is valid. */
    LIVE,

    /** Marks a member that is being removed or stops; it receives no rights. */
    LEAVING,
}

/**
 * Describes one member of a generation.
 *
 * @property peerAddress `host:port` on which the member accepts peer connections.
 */
@Serializable
public data class GenerationMember(
    public val member: Member,
    public val peerAddress: String,
    public val state: MemberState,
)

/**
 * Determines the members that may hold rights in a data centre until the next generation.
 *
 * @property number increases by one with every change, and serves as fencing token of orders to endpoints.
 * @property members all members, sorted by instance name.
 * @property coordinator member that wrote this generation; only it reassigns rights that no member holds any more.
 */
@Serializable
public data class Generation(
    public val dataCentre: DataCentreId,
    public val number: Long,
    public val members: List<GenerationMember>,
    public val coordinator: Member,
) {
    /** Members that may hold rights. */
    @Transient
    public val live: List<Member> = members.filter { it.state == MemberState.LIVE }.map { it.member }

    // Cached, because every request and every tick looks up owners: ranking 65 members each time costs more than all
    // other decisions.
    @Transient
    private val ownersByEndpoint = HashMap<EndpointId, Member>()

    /**
     * Returns the live member that owns [endpoint], or null when there is none.
     *
     * The result is cached without synchronization, so this must be called from one thread only.
     */
    public fun owner(endpoint: EndpointId): Member? {
        ownersByEndpoint[endpoint]?.let { return it }
        val owner = Rendezvous.first(endpoint.name, live) { it.instance.name } ?: return null
        if (ownersByEndpoint.size >= MAX_CACHED_OWNERS) ownersByEndpoint.clear()
        ownersByEndpoint[endpoint] = owner
        return owner
    }

    private companion object {
        const val MAX_CACHED_OWNERS = 8_192
    }
}
