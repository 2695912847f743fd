package io.camphordrum.core

import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient

/** Tells whether a member may hold rights. */
@Serializable
public enum class MemberState {
    /** The member may hold rights while its lease is valid. */
    LIVE,

    /** The member is being removed or stops; it receives no rights. */
    LEAVING,
}

/**
 * Lists one member of a generation.
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
 * Fixes who may hold rights in a data centre, until the next generation.
 *
 * @property number grows by one with every change; it is the fencing number of orders to endpoints.
 * @property members sorted by instance name.
 * @property coordinator the member that wrote this generation; only it hands out orphaned rights.
 */
@Serializable
public data class Generation(
    public val dataCentre: DataCentreId,
    public val number: Long,
    public val members: List<GenerationMember>,
    public val coordinator: Member,
) {
    /** The members that may hold rights. */
    @Transient
    public val live: List<Member> = members.filter { it.state == MemberState.LIVE }.map { it.member }

    // Every request and every tick asks for owners; ranking 65 members each time cost more than all other decisions.
    @Transient
    private val owners = HashMap<EndpointId, Member>()

    /**
     * Returns the live member that owns [endpoint], or null when there is none.
     *
     * The answer is remembered, so that this must be called from one thread only.
     */
    public fun owner(endpoint: EndpointId): Member? {
        owners[endpoint]?.let { return it }
        val owner = Rendezvous.first(endpoint.name, live) { it.instance.name } ?: return null
        if (owners.size >= MAX_REMEMBERED) owners.clear()
        owners[endpoint] = owner
        return owner
    }

    private companion object {
        const val MAX_REMEMBERED = 8_192
    }
}
