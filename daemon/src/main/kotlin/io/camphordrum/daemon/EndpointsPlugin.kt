package io.camphordrum.daemon

import com.linecorp.armeria.client.ClientFactory
import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.CoreEffect
import io.camphordrum.core.residency.LoadReport
import io.camphordrum.core.residency.OrderKind
import io.camphordrum.core.residency.OrderOutcome
import io.github.oshai.kotlinlogging.KotlinLogging

private val log = KotlinLogging.logger {}

/** Sends orders to owned endpoints and reads their load pages. */
class EndpointsPlugin : Plugin {
    override val name = "endpoints"
    override val order = 30
    private lateinit var kernel: Kernel
    private lateinit var factory: ClientFactory
    private lateinit var client: EndpointClient

    override fun start(kernel: Kernel) {
        this.kernel = kernel
        factory = ClientFactory.builder().connectTimeoutMillis(CONNECT_MILLIS).build()
        client = EndpointClient(factory)
        kernel.ports.order = ::order
        kernel.ports.load = ::readLoad
    }

    override fun stop() = factory.close()

    private fun order(effect: CoreEffect.OrderEndpoint) {
        val order = effect.order
        // The order runs on an event loop; the lease and the time are checked here, right before it is handed over.
        kernel.decide { core, now ->
            if (!core.maySendOrder(now, order)) {
                return@decide core.orderEnded(now, order.endpoint, order.order, NOT_SENT)
            }
            client.order(effect.address, order.kind == OrderKind.LOAD, order.version, order.fencing) { status ->
                val outcome = outcome(status)
                kernel.metrics.ordered(order.kind, outcome)
                log.info { "order ${order.kind} ${order.version} endpoint=${order.endpoint} outcome=$outcome" }
                kernel.decideSurely { core, now -> core.orderEnded(now, order.endpoint, order.order, outcome) }
            }
            emptyList()
        }
    }

    private fun outcome(status: Int?): OrderOutcome = when (status) {
        null -> OrderOutcome.UNKNOWN
        in 200..299 -> OrderOutcome.DONE
        409 -> OrderOutcome.FENCED
        else -> OrderOutcome.FAILED
    }

    private fun readLoad(effect: CoreEffect.ReadLoad) {
        val sampled = kernel.clock.nanos()
        client.metrics(effect.address) { text ->
            val report = text?.let { parseLoad(it, sampled) }
            kernel.decide { core, now -> core.loadReported(now, effect.endpoint, report) }
        }
    }

    private companion object {
        const val CONNECT_MILLIS = 1_000L
        val NOT_SENT = OrderOutcome.NOT_SENT
    }
}

/** Parses an engine's load page; returns null when it names no incarnation. */
internal fun parseLoad(text: String, sampledNanos: Long): LoadReport? {
    val values = HashMap<String, Long>()
    val resident = HashSet<AdapterVersion>()
    val busy = HashSet<AdapterVersion>()
    var tellsBusy = false
    for (line in text.lineSequence()) {
        if (line.isEmpty() || line.startsWith("#")) continue
        val name = line.substringBefore(' ').substringBefore('{')
        val value = line.substringAfterLast(' ').toDoubleOrNull()?.toLong() ?: continue
        val adapter = AdapterVersion.parse(line.substringAfter("adapter=\"", "").substringBefore('"'))
        when (name) {
            "engine_lora_resident" -> if (value > 0 && adapter != null) resident += adapter
            "engine_lora_requests" -> {
                tellsBusy = true
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
        busy = busy.takeIf { tellsBusy || resident.isEmpty() },
    )
}
