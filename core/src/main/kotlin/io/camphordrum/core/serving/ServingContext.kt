package io.camphordrum.core.serving

import io.camphordrum.core.InstanceId

/** Holds the state that the parts of a [ServingCore] share and sends their messages to other daemons. */
internal class ServingContext(
    val options: ServingOptions,
    val ports: ServingPorts,
    val peers: PeerTable,
    val registry: EndpointRegistry,
) {
    var config: ServingConfig? = null

    private val speeds = HashMap<String, EngineSpeed>()

    /** Returns the estimated speed of the engines of [service]. */
    fun speed(service: String): EngineSpeed = speeds.getOrPut(service) { EngineSpeed() }

    /** Returns the rate at which prompts may be sent to an engine of [service] that is slower by [slowness]. */
    fun pace(service: String, slowness: Double): Pace {
        val events = config?.services?.get(service)?.engine?.eventTokens ?: EngineLimits.EVENT_TOKENS
        return speed(service).pace(events, config?.pauseMillis(service) ?: DEFAULT_PAUSE_MILLIS, slowness)
    }

    val self: InstanceId get() = options.self.instance

    fun engine(state: EndpointState): EngineLimits? = config?.services?.get(state.record.service)?.engine

    /** Sends [message] to the daemon named [daemon]; returns false if it is not registered. */
    fun send(daemon: String?, message: ServingMessage): Boolean {
        val receiver = peers.others.firstOrNull { it.member.instance.name == daemon } ?: return false
        ports.send(receiver, message)
        return true
    }

    private companion object {
        // Used if no route of the service sets a pause; longer pauses are noticeable to the reader of a stream.
        const val DEFAULT_PAUSE_MILLIS = 300L
    }
}
