package io.camphordrum.standins

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.util.ArrayDeque
import java.util.concurrent.CompletableFuture

/**
 * Stands in for a model engine with continuous batching and few adapter slots.
 *
 * Control keys: `restart` (empty and cold, with a new incarnation), `cold`, `failLoads` (the next n), `silent`,
 * `wrongAdapter` and `garbage` (the next n answers), `breakAfterTokens` with `breakCount`, `metricsLagMillis`.
 */
class Engine(private val options: EngineOptions = EngineOptions(), port: Int = 0) : StandIn(port) {
    private class Sample(val nanos: Long, val text: String)

    private val slots = AdapterSlots(options, options.loadsShared?.let { SharedWeights(it) } ?: OwnWeights())
    private val batch = Batch(options)
    private val faults = EngineFaults()
    private val record = EngineRecord()
    private val samples = ArrayDeque<Sample>()
    private var highestFencing = 0L

    @Volatile private var metricsLagMillis = options.metricsLagMillis

    @Volatile private var incarnation = System.currentTimeMillis()

    fun start(): Engine = apply {
        open()
        batch.start()
    }

    override fun stop() {
        batch.stop()
        super.stop()
    }

    override fun control(message: JsonObject) {
        faults.apply(message)
        message.int("failLoads")?.let { slots.failNext(it) }
        message.long("metricsLagMillis")?.let { metricsLagMillis = it }
        if (message.flag("cold") == true) batch.chill()
        if (message.flag("restart") == true) restart()
    }

    private fun restart() {
        incarnation = maxOf(System.currentTimeMillis(), incarnation + 1)
        synchronized(this) { highestFencing = 0 }
        slots.clear()
        batch.dropAll()
        batch.chill()
    }

    override fun record(): JsonObject = record(true)

    /** Returns what this engine saw; without [details], only counts and violations. */
    fun record(details: Boolean): JsonObject {
        val counters = mapOf(
            "loads" to slots.loads,
            "evictions" to slots.evictions,
            "maxConcurrency" to batch.maxConcurrency,
        )
        return record.toJson(counters, details)
    }

    override fun routes(builder: ServerBuilder) {
        builder.service("/v1/completions") { ctx, req -> reached { generate(ctx, req, false) } }
        builder.service("/v1/chat/completions") { ctx, req -> reached { generate(ctx, req, true) } }
        builder.service("/v1/load_lora_adapter") { ctx, req -> reached { order(ctx, req, "load") } }
        builder.service("/v1/unload_lora_adapter") { ctx, req -> reached { order(ctx, req, "unload") } }
        builder.service("/metrics") { _, _ -> reached { metrics() } }
        builder.service("/control/summary") { _, _ -> json(record(false)) }
    }

    private fun reached(step: () -> HttpResponse) = if (faults.silent) silence() else step()

    private fun generate(ctx: ServiceRequestContext, request: HttpRequest, chat: Boolean) = answer(request) {
        val adapter = ctx.given("x-adapter-version")
        val dispatch = ctx.given("x-dispatch-id")
        when {
            adapter == null || dispatch == null ->
                error(HttpStatus.BAD_REQUEST, "expected X-Adapter-Version and X-Dispatch-Id")
            !slots.holds(adapter) -> error(HttpStatus.NOT_FOUND, "adapter $adapter is not resident")
            batch.refuses -> error(HttpStatus.SERVICE_UNAVAILABLE, "warming up")
            else -> run(ctx, it, adapter, dispatch, chat)
        }
    }

    private fun run(
        ctx: ServiceRequestContext,
        request: AggregatedHttpRequest,
        adapter: String,
        dispatch: String,
        chat: Boolean,
    ): HttpResponse {
        val body = Json.parseToJsonElement(request.contentUtf8()).jsonObject
        val entry = ServedRequest(ctx.path(), dispatch, adapter, headersOf(ctx.request()), request.contentUtf8())
        record.request(entry)
        if (faults.take(faults.garbage)) {
            return HttpResponse.of(head(adapter, dispatch, MediaType.JSON), HttpData.ofUtf8("{]"))
        }
        val named = if (faults.take(faults.wrongAdapter)) "$adapter-other" else adapter
        val answer = Answer(chat, named, dispatch, body)
        val type = if (answer.streamed) MediaType.EVENT_STREAM else MediaType.JSON
        val response = HttpResponse.streaming()
        val sink = AnswerSink(answer, response, head(named, dispatch, type), entry, faults.nextBreak())
        val priority = ctx.given("x-priority")?.toIntOrNull() ?: 0
        batch.submit(Sequence(adapter, answer.tokens, priority, sink))
        return response
    }

    private fun head(adapter: String, dispatch: String, type: MediaType) = ResponseHeaders.of(
        HttpStatus.OK,
        HttpHeaderNames.CONTENT_TYPE,
        type,
        "x-adapter-version",
        adapter,
        "x-dispatch-id",
        dispatch,
    )

    private fun order(ctx: ServiceRequestContext, request: HttpRequest, kind: String): HttpResponse =
        HttpResponse.of(
            request.aggregate().thenCompose { body ->
                val name = Json.parseToJsonElement(body.contentUtf8()).jsonObject["lora_name"]?.jsonPrimitive?.content
                val fencing = ctx.given("x-fencing")?.toLongOrNull()
                val outcome = when {
                    name == null -> done(HttpStatus.BAD_REQUEST)
                    !accepts(fencing) -> done(HttpStatus.CONFLICT)
                    kind == "load" -> slots.load(name).thenApply { statusOf(it) }
                    else -> done(unload(name))
                }
                outcome.thenApply {
                    record.order(kind, name.orEmpty(), fencing, it.codeAsText(), headersOf(request))
                    if (it.isSuccess) json(buildJsonObject { }) else error(it, "$kind $name: ${it.reasonPhrase()}")
                }
            },
        )

    private fun done(status: HttpStatus) = CompletableFuture.completedFuture(status)

    private fun statusOf(outcome: LoadOutcome): HttpStatus = when (outcome) {
        LoadOutcome.LOADED -> HttpStatus.OK
        LoadOutcome.NO_SLOT -> HttpStatus.BAD_REQUEST
        LoadOutcome.FAILED -> HttpStatus.INTERNAL_SERVER_ERROR
    }

    private fun unload(adapter: String): HttpStatus {
        if (batch.uses(adapter)) record.violation("evicted $adapter under a running request")
        return if (slots.unload(adapter)) HttpStatus.OK else HttpStatus.NOT_FOUND
    }

    @Synchronized
    private fun accepts(fencing: Long?): Boolean {
        val old = (fencing ?: 0) < highestFencing
        if (!old) highestFencing = fencing ?: 0
        return !old || !options.honourFencing
    }

    private fun metrics(): HttpResponse {
        val text = synchronized(samples) {
            val now = System.nanoTime()
            samples.addLast(Sample(now, metricsText()))
            val limit = now - metricsLagMillis * 1_000_000
            while (samples.size > 1 && samples.elementAt(1).nanos - limit <= 0) samples.removeFirst()
            samples.first().text
        }
        return HttpResponse.of(HttpStatus.OK, MediaType.PLAIN_TEXT_UTF_8, text)
    }

    private fun metricsText(): String = buildString {
        append("engine_requests_running ${batch.runningCount}\n")
        append("engine_requests_waiting ${batch.waitingCount}\n")
        append("engine_incarnation $incarnation\n")
        append("engine_lora_slots ${options.slots}\n")
        for (adapter in slots.names()) {
            append("engine_lora_resident{adapter=\"$adapter\"} 1\n")
            append("engine_lora_requests{adapter=\"$adapter\"} ${batch.count(adapter)}\n")
        }
    }
}
