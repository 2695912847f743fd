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

    /** Keeps [generation] unless a newer one is known; returns whether it is news. */
    fun learn(generation: Generation): Boolean {
        val known = generations[generation.dataCentre]
        if (known == null && generations.size >= MAX_DATA_CENTRES) return false
        if (known != null && known.number >= generation.number) return false
        generations[generation.dataCentre] = generation
        for (member in generation.members) met(member.member, member.peerAddress)
        return true
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

    /** Forgets the members at [address], which have left. */
    fun forget(address: String) {
        val gone = addresses.filterValues { it == address }.keys
        addresses -= gone
        members -= gone
        down -= address
    }

    fun address(member: Member): String? = addresses[member.instance]

    /** Returns the member that owns [endpoint] according to the newest known generation of its data centre. */
    fun owner(endpoint: ListedEndpoint): Member? = generations[endpoint.dataCentre]?.owner(endpoint.id)

    fun reachable(member: Member): Boolean = member == self || address(member).let { it != null && it !in down }

    fun generation(dataCentre: DataCentreId): Generation? = generations[dataCentre]

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
