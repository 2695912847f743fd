package io.camphordrum.wire

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member

/** Tracks the connected incarnations of peers; used only on the thread of the network. */
internal class PeerRegistry(private val events: PeerEvents, private val maxInstances: Int) {
    private val connectionCounts = HashMap<Member, Int>()
    private val latestIncarnations = object : LinkedHashMap<Pair<DataCentreId, InstanceId>, Long>() {
        override fun removeEldestEntry(eldest: Map.Entry<Pair<DataCentreId, InstanceId>, Long>): Boolean =
            size > maxInstances
    }

    /** Counts the connection of [hello] and returns null, or returns the reason for refusing it. */
    fun register(hello: Hello): String? {
        if (hello.version != Hello.PROTOCOL_VERSION) {
            return "expected protocol version ${Hello.PROTOCOL_VERSION}, but was ${hello.version}"
        }
        if (!isCurrent(
                hello,
            )
        ) {
            return "expected the latest incarnation of ${hello.member.instance}, but was ${hello.member}"
        }
        latestIncarnations[instanceKey(hello)] = hello.member.incarnation
        val count = connectionCounts.merge(hello.member, 1, Int::plus)
        if (count == 1) events.onUp(hello)
        return null
    }

    /** Returns whether no hello of a newer incarnation than the sender of [hello] has arrived. */
    fun isCurrent(hello: Hello): Boolean =
        (latestIncarnations[instanceKey(hello)] ?: Long.MIN_VALUE) <= hello.member.incarnation

    fun unregister(hello: Hello, reason: String) {
        val count = connectionCounts.merge(hello.member, -1, Int::plus) ?: return
        if (count > 0) return
        connectionCounts.remove(hello.member)
        events.onDown(hello, reason)
    }

    private fun instanceKey(hello: Hello) = hello.dataCentre to hello.member.instance
}
