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
 * Counts what the daemon does.
 *
 * Label values are bounded: outcomes, message kinds and thread names, never adapters, accounts or endpoints.
 */
class Metrics {
    private val registry = PrometheusRegistry()
    private val threads = ManagementFactory.getThreadMXBean()

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

    private val messages = Counter.builder()
        .name("camphordrum_peer_messages_total")
        .help("Messages sent to peers by kind.")
        .labelNames("kind")
        .register(registry)

    private val storeCalls = Counter.builder()
        .name("camphordrum_platform_calls_total")
        .help("Calls to the platform by kind.")
        .labelNames("kind")
        .register(registry)

    private val firstToken = Histogram.builder()
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
            .callback { callback -> for ((name, nanos) in cpuByThread()) callback.call(nanos / 1e9, name) }
            .register(registry)
    }

    /** Publishes [value] as the number of requests without a final answer. */
    fun openRequests(value: () -> Int) = gauge("camphordrum_open_requests", "Requests without a final answer.", value)

    /** Publishes [value] as the number of inputs that wait for the decision thread. */
    fun ringDepth(value: () -> Int) =
        gauge("camphordrum_decision_ring_depth", "Inputs that wait for the decision thread.", value)

    /** Counts what [effect] makes the daemon do. */
    fun effect(effect: CoreEffect) {
        when (effect) {
            is CoreEffect.Refuse -> requests.labelValues(effect.refusal.code.code).inc()
            is CoreEffect.Send -> messages.labelValues(effect.javaClass.simpleName.removePrefix("Send")).inc()
            is CoreEffect.Store -> storeCalls.labelValues(effect.javaClass.simpleName).inc()
            is CoreEffect.ConfigInForce -> revision.set(effect.snapshot.revision.toDouble())
            is CoreEffect.GenerationInForce -> generation.set(effect.generation.number.toDouble())
            else -> Unit
        }
    }

    /** Counts the end of a dispatch. */
    fun ended(end: DispatchEnd) {
        dispatches.labelValues(end.javaClass.simpleName).inc()
        if (end is DispatchEnd.Completed) {
            requests.labelValues("completed").inc()
            firstToken.observe(end.firstTokenNanos / 1e9)
        }
    }

    /** Counts the end of an order to an endpoint. */
    fun ordered(kind: OrderKind, outcome: OrderOutcome) = orders.labelValues(kind.name, outcome.name).inc()

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

    private fun cpuByThread(): Map<String, Long> {
        val cpu = HashMap<String, Long>()
        for (id in threads.allThreadIds) {
            val name = threads.getThreadInfo(id)?.threadName ?: continue
            val duty = DUTIES.firstOrNull { name.startsWith(it) } ?: "other"
            cpu.merge(duty, maxOf(0, threads.getThreadCpuTime(id)), Long::plus)
        }
        return cpu
    }

    private companion object {
        val DUTIES = listOf("decisions", "platform", "peers-selector", "peers", "armeria")
    }
}
