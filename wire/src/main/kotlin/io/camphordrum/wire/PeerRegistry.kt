package io.camphordrum.wire

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member

/** Tracks which incarnations are connected; confined to the thread of the network. */
internal class PeerRegistry(private val events: PeerEvents, private val maxInstances: Int) {
    private val connections = HashMap<Member, Int>()
    private val latest = object : LinkedHashMap<Pair<DataCentreId, InstanceId>, Long>() {
        override fun removeEldestEntry(eldest: Map.Entry<Pair<DataCentreId, InstanceId>, Long>): Boolean =
            size > maxInstances
    }

    /** Returns why [hello] is refused, or null after counting its connection. */
    fun opened(hello: Hello): String? {
        if (hello.version != Hello.PROTOCOL_VERSION) {
            return "expected protocol version ${Hello.PROTOCOL_VERSION}, but was ${hello.version}"
        }
        if (!current(
                hello,
            )
        ) {
            return "expected the latest incarnation of ${hello.member.instance}, but was ${hello.member}"
        }
        latest[key(hello)] = hello.member.incarnation
        val count = connections.merge(hello.member, 1, Int::plus)
        if (count == 1) events.onUp(hello)
        return null
    }

    /** Tells whether no newer incarnation than the sender of [hello] has said hello. */
    fun current(hello: Hello): Boolean = (latest[key(hello)] ?: Long.MIN_VALUE) <= hello.member.incarnation

    fun closed(hello: Hello, reason: String) {
        val count = connections.merge(hello.member, -1, Int::plus) ?: return
        if (count > 0) return
        connections.remove(hello.member)
        events.onDown(hello, reason)
    }

    private fun key(hello: Hello) = hello.dataCentre to hello.member.instance
}
