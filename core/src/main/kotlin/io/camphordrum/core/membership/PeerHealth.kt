package io.camphordrum.core.membership

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import io.camphordrum.core.Rendezvous

/**
 * Tracks which members of other data centres can be reached; its answers are hints and prove nothing.
 *
 * ```kotlin
 * health.members(now, DataCentreId("b"), listOf(first, second))
 * health.heard(now, first, DataCentreId("b"))
 * health.reachable(now, DataCentreId("b")) // true
 * ```
 *
 * Holds at most [MAX_DATA_CENTRES] data centres of [MAX_MEMBERS] members; what exceeds this is ignored.
 *
 * @param linksPerDataCentre how many members of each other data centre are contacted.
 */
public class PeerHealth(private val self: Member, private val linksPerDataCentre: Int = 3) {
    private class Peer(val member: Member, val heardAt: Long, val heard: Boolean)

    private val dataCentres = LinkedHashMap<DataCentreId, LinkedHashMap<InstanceId, Peer>>()

    /** Replaces the known members of [dataCentre]; a newer incarnation that was heard already stays. */
    public fun members(now: Long, dataCentre: DataCentreId, members: List<Member>) {
        val before = peers(dataCentre) ?: return
        val after = LinkedHashMap<InstanceId, Peer>()
        for (member in members.take(MAX_MEMBERS)) {
            val known = before[member.instance]
            val keep = known != null && known.member.incarnation >= member.incarnation
            after[member.instance] = if (keep) known else Peer(member, now, heard = false)
        }
        dataCentres[dataCentre] = after
    }

    /** Records a message of [from]; returns false when a newer incarnation of the instance is known. */
    public fun heard(now: Long, from: Member, dataCentre: DataCentreId): Boolean {
        val peers = peers(dataCentre) ?: return true
        val known = peers[from.instance]
        if (known != null && known.member.incarnation > from.incarnation) return false
        if (known != null || peers.size < MAX_MEMBERS) peers[from.instance] = Peer(from, now, heard = true)
        return true
    }

    /** Returns the members of [dataCentre] to keep in contact with; members that are not suspected come first. */
    public fun links(now: Long, dataCentre: DataCentreId): List<Member> {
        val members = dataCentres[dataCentre]?.values?.map { it.member }.orEmpty()
        return Rendezvous.order(self.instance.name, members) { it.instance.name }
            .sortedBy { suspected(now, it) }
            .take(linksPerDataCentre)
    }

    /** Tells whether [member] was silent for [SUSPECT_NANOS], is replaced by a newer incarnation, or is unknown. */
    public fun suspected(now: Long, member: Member): Boolean {
        val peer = dataCentres.values.firstNotNullOfOrNull { it[member.instance] } ?: return true
        return peer.member != member || now - peer.heardAt > SUSPECT_NANOS
    }

    /** Tells whether any member of [dataCentre] was heard within [SUSPECT_NANOS]. */
    public fun reachable(now: Long, dataCentre: DataCentreId): Boolean =
        dataCentres[dataCentre]?.values.orEmpty().any { it.heard && now - it.heardAt <= SUSPECT_NANOS }

    private fun peers(dataCentre: DataCentreId): LinkedHashMap<InstanceId, Peer>? =
        if (dataCentre in dataCentres || dataCentres.size < MAX_DATA_CENTRES) {
            dataCentres.getOrPut(dataCentre) { LinkedHashMap() }
        } else {
            null
        }

    /** Names the limits. */
    public companion object {
        /** The most data centres tracked. */
        public const val MAX_DATA_CENTRES: Int = 16

        /** The most members tracked for each data centre. */
        public const val MAX_MEMBERS: Int = 256

        /** Silence after which a member is suspected, in nanoseconds. */
        public const val SUSPECT_NANOS: Long = 5_000_000_000L
    }
}
