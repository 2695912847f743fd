package io.camphordrum.daemon

import io.camphordrum.core.CoreEffect
import io.camphordrum.core.DispatchEnd
import io.camphordrum.core.residency.OrderKind
import io.camphordrum.core.residency.OrderOutcome
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import java.lang.management.ManagementFactory
import io.prometheus.metrics.model.snapshots.Unit as MetricUnit

/**
 * Holds the daemon's Prometheus metrics.
 *
 * Label values are bounded: outcomes, message kinds and thread names, never adapters, accounts or endpoints.
 */
class Metrics {
    private val registry = PrometheusRegistry()
    private val threadBean = ManagementFactory.getThreadMXBean()

    private val requests = Counter.builder()
        .name("camphordrum_requests_total")
        .help("Requests of callers by final outcome.")
        .labelNames("outcome")
        .register(registry)

    private val dispatches = Counter.builder()
        .name("camphordrum_dispatches_total")
        .help("Dispatches to endpoints by how they ended.")
        .labelNames("end")
        .register(registry)

    private val orders = Counter.builder()
        .name("camphordrum_orders_total")
        .help("Load and evict orders by outcome.")
        .labelNames("kind", "outcome")
        .register(registry)

    private val peerMessages = Counter.builder()
        .name("camphordrum_peer_messages_total")
        .help("Messages sent to peers by kind.")
        .labelNames("kind")
        .register(registry)

    private val platformCalls = Counter.builder()
        .name("camphordrum_platform_calls_total")
        .help("Calls to the platform by kind.")
        .labelNames("kind")
        .register(registry)

    private val firstTokenSeconds = Histogram.builder()
        .name("camphordrum_first_token_seconds")
        .help("Time from dispatch to the first part of the answer.")
        .unit(MetricUnit.SECONDS)
        .register(registry)

    private val revision = Gauge.builder()
        .name("camphordrum_config_revision")
        .help("Configuration revision in force.")
        .register(registry)

    private val generation = Gauge.builder()
        .name("camphordrum_generation")
        .help("Generation of the data centre's members.")
        .register(registry)

    init {
        CounterWithCallback.builder()
            .name("camphordrum_thread_cpu_seconds_total")
            .help("Processor time by duty.")
            .labelNames("thread")
            .callback { callback -> for ((name, nanos) in cpuNanosByThread()) callback.call(nanos / 1e9, name) }
            .register(registry)
    }

    /** Registers a gauge that reads the number of requests without a final answer from [value]. */
    fun openRequestsGauge(
        value: () -> Int,
    ) = gauge("camphordrum_open_requests", "Requests without a final answer.", value)

    /** Registers a gauge that reads the number of tasks queued for the decision thread from [value]. */
    fun ringDepthGauge(value: () -> Int) =
        gauge("camphordrum_decision_ring_depth", "Inputs that wait for the decision thread.", value)

    /** Updates the metrics for [effect], which the core has returned. */
    fun countEffect(effect: CoreEffect) {
        when (effect) {
            is CoreEffect.Refuse -> requests.labelValues(effect.refusal.code.code).inc()
            is CoreEffect.Send -> peerMessages.labelValues(effect.javaClass.simpleName.removePrefix("Send")).inc()
            is CoreEffect.Store -> platformCalls.labelValues(effect.javaClass.simpleName).inc()
            is CoreEffect.ConfigInForce -> revision.set(effect.snapshot.revision.toDouble())
            is CoreEffect.GenerationInForce -> generation.set(effect.generation.number.toDouble())
            else -> Unit
        }
    }

    /** Counts the end of a dispatch. */
    fun countDispatchEnd(end: DispatchEnd) {
        dispatches.labelValues(end.javaClass.simpleName).inc()
        if (end is DispatchEnd.Completed) {
            requests.labelValues("completed").inc()
            firstTokenSeconds.observe(end.firstTokenNanos / 1e9)
        }
    }

    /** Counts the end of an order to an endpoint. */
    fun countOrder(kind: OrderKind, outcome: OrderOutcome) = orders.labelValues(kind.name, outcome.name).inc()

    /** Returns all metrics in the Prometheus text format. */
    fun text(): String {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.builder().build().write(out, registry.scrape())
        return out.toString(Charsets.UTF_8)
    }

    private fun gauge(name: String, help: String, value: () -> Int) {
        GaugeWithCallback.builder()
            .name(name)
            .help(help)
            .callback { it.call(value().toDouble()) }
            .register(registry)
    }

    private fun cpuNanosByThread(): Map<String, Long> {
        val cpuNanos = HashMap<String, Long>()
        for (id in threadBean.allThreadIds) {
            val name = threadBean.getThreadInfo(id)?.threadName ?: continue
            val label = THREAD_NAME_PREFIXES.firstOrNull { name.startsWith(it) } ?: "other"
            cpuNanos.merge(label, maxOf(0, threadBean.getThreadCpuTime(id)), Long::plus)
        }
        return cpuNanos
    }

    private companion object {
        val THREAD_NAME_PREFIXES = listOf("decisions", "platform", "peers", "armeria")
    }
}
