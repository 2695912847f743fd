package io.camphordrum.core

/**
 * Knows the generations of all data centres, the peer addresses of their members, and which peers are down.
 *
 * What it tells about other data centres is a hint: rights there follow from their own leases.
 */
internal class Directory(private val self: Member) {
    private val generations = HashMap<DataCentreId, Generation>()
    private val addresses = HashMap<InstanceId, String>()
    private val members = HashMap<InstanceId, Member>()
    private val down = HashSet<String>()

    /** Keeps [generation] and returns the addresses that are gone; returns null when a newer one is known. */
    fun learn(generation: Generation): List<String>? {
        val known = generations[generation.dataCentre]
        if (known == null && generations.size >= MAX_DATA_CENTRES) return null
        if (known != null && known.number >= generation.number) return null
        generations[generation.dataCentre] = generation
        for (member in generation.members) met(member.member, member.peerAddress)
        val addresses = generation.members.map { it.peerAddress }.toSet()
        return (known?.members.orEmpty().map { it.peerAddress } - addresses).onEach(::forget)
    }

    /** Records where [member] is reached. */
    fun met(member: Member, address: String) {
        val known = members[member.instance]
        if (known != null && known.incarnation > member.incarnation) return
        if (known == null && members.size >= MAX_MEMBERS) return
        members[member.instance] = member
        addresses[member.instance] = address
    }

    fun up(address: String) {
        down -= address
    }

    fun down(address: String) {
        if (address in addresses.values) down += address
    }

    private fun forget(address: String) {
        val gone = addresses.filterValues { it == address }.keys
        addresses -= gone
        members -= gone
        down -= address
    }

    fun address(member: Member): String? = addresses[member.instance]

    /** Returns the member that owns [endpoint] according to the newest known generation of its data centre. */
    fun owner(endpoint: ListedEndpoint): Member? = generations[endpoint.dataCentre]?.owner(endpoint.id)

    fun reachable(member: Member): Boolean = member == self || address(member).let { it != null && it !in down }

    /** Returns the live members by data centre, this one among them. */
    fun live(): Map<DataCentreId, List<Member>> = generations.mapValues { (_, generation) -> generation.live }

    /** Returns the names of the live members by data centre. */
    fun names(): Map<String, List<String>> =
        generations.entries.associate { (id, known) -> id.name to known.live.map { it.instance.name } }

    private companion object {
        const val MAX_DATA_CENTRES = 16
        const val MAX_MEMBERS = 4_096
    }
}
