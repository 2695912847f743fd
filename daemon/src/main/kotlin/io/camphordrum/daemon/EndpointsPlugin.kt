package io.camphordrum.daemon

import com.linecorp.armeria.client.ClientFactory
import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.CoreEffect
import io.camphordrum.core.residency.LoadReport
import io.camphordrum.core.residency.OrderKind
import io.camphordrum.core.residency.OrderOutcome
import io.github.oshai.kotlinlogging.KotlinLogging

private val log = KotlinLogging.logger {}

/** Sends orders to owned endpoints and reads their load metrics. */
class EndpointsPlugin : Plugin {
    override val name = "endpoints"
    override val order = 30
    private lateinit var kernel: Kernel
    private lateinit var clientFactory: ClientFactory
    private lateinit var endpointClient: EndpointClient

    override fun start(kernel: Kernel) {
        this.kernel = kernel
        clientFactory = endpointClientFactory().connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS).build()
        endpointClient = EndpointClient(clientFactory)
        kernel.ports.orderHandler = ::sendOrder
        kernel.ports.loadHandler = ::readLoad
    }

    override fun stop() = clientFactory.close()

    private fun sendOrder(effect: CoreEffect.OrderEndpoint) {
        val order = effect.order
        // The order is sent on an event loop; the core checks lease and time here, right before the client receives it.
        kernel.tryExecute { core, now ->
            if (!core.maySendOrder(now, order)) {
                return@tryExecute core.orderEnded(now, order.endpoint, order.order, NOT_SENT)
            }
            endpointClient.sendOrder(
                effect.address,
                order.kind == OrderKind.LOAD,
                order.version,
                order.fencing,
            ) { status ->
                val outcome = orderOutcome(status)
                kernel.metrics.countOrder(order.kind, outcome)
                log.info { "order ${order.kind} ${order.version} endpoint=${order.endpoint} outcome=$outcome" }
                kernel.execute { core, now -> core.orderEnded(now, order.endpoint, order.order, outcome) }
            }
            emptyList()
        }
    }

    private fun orderOutcome(status: Int?): OrderOutcome = when (status) {
        null -> OrderOutcome.UNKNOWN
        in 200..299 -> OrderOutcome.DONE
        409 -> OrderOutcome.FENCED
        else -> OrderOutcome.FAILED
    }

    private fun readLoad(effect: CoreEffect.ReadLoad) {
        val sampledNanos = kernel.clock.nanos()
        endpointClient.readMetrics(effect.address) { text ->
            val report = text?.let { parseLoadReport(it, sampledNanos) }
            kernel.tryExecute { core, now -> core.loadReported(now, effect.endpoint, report) }
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 1_000L
        val NOT_SENT = OrderOutcome.NOT_SENT
    }
}

/** Parses an engine's load metrics; returns null when they contain no incarnation. */
internal fun parseLoadReport(text: String, sampledNanos: Long): LoadReport? {
    val values = HashMap<String, Long>()
    val resident = HashSet<AdapterVersion>()
    val busy = HashSet<AdapterVersion>()
    var reportsRequests = false
    for (line in text.lineSequence()) {
        if (line.isEmpty() || line.startsWith("#")) continue
        val name = line.substringBefore(' ').substringBefore('{')
        val value = line.substringAfterLast(' ').toDoubleOrNull()?.toLong() ?: continue
        val adapter = AdapterVersion.parse(line.substringAfter("adapter=\"", "").substringBefore('"'))
        when (name) {
            "engine_lora_resident" -> if (value > 0 && adapter != null) resident += adapter
            "engine_lora_requests" -> {
                reportsRequests = true
                if (value > 0 && adapter != null) busy += adapter
            }
            else -> values[name] = value
        }
    }
    return LoadReport(
        incarnation = values["engine_incarnation"] ?: return null,
        sampledNanos = sampledNanos,
        resident = resident,
        running = values["engine_requests_running"]?.toInt() ?: 0,
        waiting = values["engine_requests_waiting"]?.toInt() ?: 0,
        slots = values["engine_lora_slots"]?.toInt() ?: 0,
        busy = busy.takeIf { reportsRequests || resident.isEmpty() },
    )
}
