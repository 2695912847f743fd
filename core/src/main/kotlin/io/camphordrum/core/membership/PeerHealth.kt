package io.camphordrum.core.membership

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import io.camphordrum.core.Rendezvous

/**
 * Tracks which members of other data centres can be reached; its results must not be used to decide
 * about rights.
 *
 * ```kotlin
 * health.replaceMembers(now, DataCentreId("b"), listOf(first, second))
 * health.recordMessage(now, first, DataCentreId("b"))
 * health.isReachable(now, DataCentreId("b")) // true
 * ```
 *
 * Holds at most [MAX_DATA_CENTRES] data centres of [MAX_MEMBERS] members each; further ones are ignored.
 *
 * @param linksPerDataCentre number of members of each other data centre to keep connections to.
 */
public class PeerHealth(private val self: Member, private val linksPerDataCentre: Int = 3) {
    private class Peer(val member: Member, val lastMessageAt: Long, val contacted: Boolean)

    private val dataCentres = LinkedHashMap<DataCentreId, LinkedHashMap<InstanceId, Peer>>()

    /** Replaces the known members of [dataCentre]; a known newer incarnation of a listed instance stays. */
    public fun replaceMembers(now: Long, dataCentre: DataCentreId, members: List<Member>) {
        val previous = peers(dataCentre) ?: return
        val updated = LinkedHashMap<InstanceId, Peer>()
        for (member in members.take(MAX_MEMBERS)) {
            val known = previous[member.instance]
            val keep = known != null && known.member.incarnation >= member.incarnation
            updated[member.instance] = if (keep) known else Peer(member, now, contacted = false)
        }
        dataCentres[dataCentre] = updated
    }

    /** Records a message of [from]; returns false when a newer incarnation of the instance is known. */
    public fun recordMessage(now: Long, from: Member, dataCentre: DataCentreId): Boolean {
        val peers = peers(dataCentre) ?: return true
        val known = peers[from.instance]
        if (known != null && known.member.incarnation > from.incarnation) return false
        if (known != null || peers.size < MAX_MEMBERS) peers[from.instance] = Peer(from, now, contacted = true)
        return true
    }

    /** Returns the members of [dataCentre] to keep connections to; members that are not suspected come first. */
    public fun links(now: Long, dataCentre: DataCentreId): List<Member> {
        val members = dataCentres[dataCentre]?.values?.map { it.member }.orEmpty()
        return Rendezvous.order(self.instance.name, members) { it.instance.name }
            .sortedBy { isSuspected(now, it) }
            .take(linksPerDataCentre)
    }

    /** Returns whether [member] is unknown, superseded, or silent for longer than [SUSPECT_AFTER_NANOS]. */
    public fun isSuspected(now: Long, member: Member): Boolean {
        val peer = dataCentres.values.firstNotNullOfOrNull { it[member.instance] } ?: return true
        return peer.member != member || now - peer.lastMessageAt > SUSPECT_AFTER_NANOS
    }

    /** Returns whether any member of [dataCentre] sent a message within the last [SUSPECT_AFTER_NANOS]. */
    public fun isReachable(now: Long, dataCentre: DataCentreId): Boolean =
        dataCentres[dataCentre]?.values.orEmpty().any { it.contacted && now - it.lastMessageAt <= SUSPECT_AFTER_NANOS }

    private fun peers(dataCentre: DataCentreId): LinkedHashMap<InstanceId, Peer>? =
        if (dataCentre in dataCentres || dataCentres.size < MAX_DATA_CENTRES) {
            dataCentres.getOrPut(dataCentre) { LinkedHashMap() }
        } else {
            null
        }

    /** Contains the limits. */
    public companion object {
        /** Maximum number of data centres tracked. */
        public const val MAX_DATA_CENTRES: Int = 16

        /** Maximum number of members tracked for each data centre. */
        public const val MAX_MEMBERS: Int = 256

        /** Time without a message after which a member is suspected, in nanoseconds. */
        public const val SUSPECT_AFTER_NANOS: Long = 5_000_000_000L
    }
}
