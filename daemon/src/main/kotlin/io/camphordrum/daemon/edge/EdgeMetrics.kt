package io.camphordrum.daemon.edge

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import io.prometheus.metrics.model.snapshots.Unit as MetricUnit

/** Holds the metrics of the raw edges; the set of label values is bounded. */
class EdgeMetrics {
    private val registry = PrometheusRegistry()

    /** Final answers by outcome. */
    val answers: Counter = counter("camphordrum_edge_answers_total", "Final answers to callers by outcome.", "outcome")

    /** Sends to endpoints by result. */
    val sends: Counter = counter("camphordrum_edge_sends_total", "Sends to endpoints by how they ended.", "end")

    /** Ends of answers that only their connection ended, or that continued a stream. */
    val answerEnds: Counter =
        counter("camphordrum_edge_answer_ends_total", "Ends of unframed and of continued answers.", "framing", "run")

    /** Answers that were broken off because their endpoint took too much memory. */
    val answerMemoryExceeded: Counter = counter(
        "camphordrum_edge_answer_memory_exceeded_total",
        "Answers that were broken off because incomplete answers of their endpoint took too much memory.",
    )

    /** Load headers of answers by whether they could be read. */
    val loadHeaders: Counter =
        counter("camphordrum_edge_load_headers_total", "Load headers of answers by whether they were read.", "result")

    /** Actual time from a send to the first part of its answer, in multiples of the time expected at the placement. */
    val expectedRatio: Histogram = Histogram.builder()
        .name("camphordrum_edge_first_part_expected_ratio")
        .help("Time from a send to the first part of its answer, in multiples of the expected time.")
        .classicOnly()
        .classicUpperBounds(0.25, 0.5, 1.0, 2.0, 4.0, 8.0)
        .register(registry)

    /** Orders to endpoints by result. */
    val orders: Counter = counter("camphordrum_edge_orders_total", "Orders to endpoints by how they ended.", "end")

    /** Calls to the store by call, kind of object and outcome. */
    val storeCalls: Counter =
        counter("camphordrum_store_calls_total", "Calls to the store.", "call", "objects", "outcome")

    /** Messages to and from other daemons. */
    val messages: Counter =
        counter("camphordrum_edge_messages_total", "Messages between daemons by kind.", "kind")

    /** Time from a request's arrival to the first part of its answer. */
    val firstPart: Histogram = Histogram.builder()
        .name("camphordrum_edge_first_part_seconds")
        .help("Time from a request's arrival to the first part of its answer.")
        .unit(MetricUnit.SECONDS)
        .classicOnly()
        .classicUpperBounds(0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
        .register(registry)

    /** Registers a gauge [name] that reads [value] at each scrape. */
    fun gauge(name: String, help: String, value: () -> Double) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    fun text(): String {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.builder().build().write(out, registry.scrape())
        return out.toString(Charsets.UTF_8)
    }

    private fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name(name).help(help).labelNames(*labels).register(registry)
}
