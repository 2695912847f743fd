package io.camphordrum.core.serving

import io.camphordrum.core.InstanceId

/** Shares what the parts of a [ServingCore] know and how they reach other daemons. */
internal class ServingContext(
    val options: ServingOptions,
    val ports: ServingPorts,
    val peers: PeerTable,
    val book: EndpointBook,
) {
    var config: ServingConfig? = null

    val self: InstanceId get() = options.self.instance

    fun engine(state: EndpointState): EngineLimits? = config?.services?.get(state.record.service)?.engine

    /** Sends [message] to the daemon of that name; false when it is not registered. */
    fun send(daemon: String?, message: ServingMessage): Boolean {
        val to = peers.others.firstOrNull { it.member.instance.name == daemon } ?: return false
        ports.send(to, message)
        return true
    }
}
