package io.camphordrum.core

/**
 * Tracks the generations of all data centres, the peer addresses of their members, and which peers are down.
 *
 * Information about other data centres may be outdated and must not be used to decide about rights, which depend on
 * leases there. The owner of an endpoint here is the one that [Generation.owner] returns; the classes in `serving`
 * use order rights in the platform's store instead.
 */
internal class Directory(private val self: Member) {
    private val generations = HashMap<DataCentreId, Generation>()
    private val addresses = HashMap<InstanceId, String>()
    private val members = HashMap<InstanceId, Member>()
    private val down = HashSet<String>()

    /** Records [generation] and returns the addresses it no longer lists, or null if it is not newer or not tracked. */
    fun recordGeneration(generation: Generation): List<String>? {
        val known = generations[generation.dataCentre]
        if (known == null && generations.size >= MAX_DATA_CENTRES) return null
        if (known != null && known.number >= generation.number) return null
        generations[generation.dataCentre] = generation
        for (member in generation.members) recordAddress(member.member, member.peerAddress)
        val addresses = generation.members.map { it.peerAddress }.toSet()
        return (known?.members.orEmpty().map { it.peerAddress } - addresses).onEach(::remove)
    }

    /** Records the peer address of [member]. */
    fun recordAddress(member: Member, address: String) {
        val known = members[member.instance]
        if (known != null && known.incarnation > member.incarnation) return
        if (known == null && members.size >= MAX_MEMBERS) return
        members[member.instance] = member
        addresses[member.instance] = address
    }

    fun markUp(address: String) {
        down -= address
    }

    fun markDown(address: String) {
        if (address in addresses.values) down += address
    }

    private fun remove(address: String) {
        val removed = addresses.filterValues { it == address }.keys
        addresses -= removed
        members -= removed
        down -= address
    }

    fun address(member: Member): String? = addresses[member.instance]

    /** Returns the member that owns [endpoint] according to the newest known generation of its data centre. */
    fun owner(endpoint: ListedEndpoint): Member? = generations[endpoint.dataCentre]?.owner(endpoint.id)

    fun isReachable(member: Member): Boolean = member == self || address(member).let { it != null && it !in down }

    /** Returns the live members by data centre, including this one. */
    fun liveMembers(): Map<DataCentreId, List<Member>> = generations.mapValues { (_, generation) -> generation.live }

    /** Returns the instance names of the live members by data centre. */
    fun liveNames(): Map<String, List<String>> =
        generations.entries.associate { (id, known) -> id.name to known.live.map { it.instance.name } }

    private companion object {
        const val MAX_DATA_CENTRES = 16
        const val MAX_MEMBERS = 4_096
    }
}
