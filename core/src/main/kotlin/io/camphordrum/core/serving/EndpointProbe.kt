package io.camphordrum.core.serving

/** Opens a connection to an endpoint to find out whether a process listens there. */
public fun interface EndpointProbe {
    /** Connects to [address] (`host:port`); [onEnd] receives the result on the decision thread. */
    public fun probe(address: String, onEnd: (ProbeResult) -> Unit)
}

/** Describes the result of a connection attempt to an endpoint. */
public enum class ProbeResult {
    /** The connection was accepted. */
    ACCEPTED,

    /** The machine answered that no process listens at the address. */
    REFUSED,

    /** The attempt timed out or failed in another way, which says nothing about the endpoint. */
    NO_ANSWER,
}
