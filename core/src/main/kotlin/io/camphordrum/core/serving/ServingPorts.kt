package io.camphordrum.core.serving

import io.camphordrum.core.duty.DutyPorts

/** Connects the decisions with stores, endpoints and other daemons; callbacks run on the decision thread. */
public class ServingPorts(
    public val rights: RightStore,
    public val orders: OrderPort,
    public val send: (daemon: RegisteredDaemon, message: ServingMessage) -> Unit,
    public val reconnect: (daemon: RegisteredDaemon) -> Unit,
    public val logEvent: (event: String, fields: Map<String, Any?>) -> Unit,
    public val probe: EndpointProbe = EndpointProbe { _, onEnd -> onEnd(ProbeResult.NO_ANSWER) },
    public val promptBlocks: PromptBlockStore = PromptBlockStore { _, onEnd -> onEnd(false) },
    public val duties: DutyPorts? = null,
)
