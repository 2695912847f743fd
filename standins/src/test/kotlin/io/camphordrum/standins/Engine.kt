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
 * Simulates a model engine with continuous batching and few adapter slots.
 *
 * Control keys: `restart` (without adapters, cold, with a new incarnation), `cold`, `failLoads` (the next n loads),
 * `silent` (answers no request), `wrongAdapter` (the next n answers have another adapter version), `garbage` (the next
 * n answers are invalid JSON), `breakAfterTokens` with `breakCount` (the next n answers break), `metricsLagMillis`.
 */
class Engine(private val options: EngineOptions = EngineOptions(), port: Int = 0) : StandIn(port) {
    private class MetricsSample(val nanos: Long, val text: String)

    private val slots =
        AdapterSlots(options, options.sharedLoadCounterUrl?.let { SharedWeightStore(it) } ?: LocalWeightStore())
    private val batch = Batch(options)
    private val faults = EngineFaults()
    private val record = EngineRecord()
    private val samples = ArrayDeque<MetricsSample>()
    private var highestFencing = 0L

    @Volatile private var metricsLagMillis = options.metricsLagMillis

    @Volatile private var incarnation = System.currentTimeMillis()

    fun start(): Engine = apply {
        listen()
        batch.start()
    }

    override fun stop() {
        batch.stop()
        super.stop()
    }

    override fun control(message: JsonObject) {
        faults.apply(message)
        message.int("failLoads")?.let { slots.failNextLoads(it) }
        message.long("metricsLagMillis")?.let { metricsLagMillis = it }
        if (message.boolean("cold") == true) batch.makeCold()
        if (message.boolean("restart") == true) restart()
    }

    private fun restart() {
        incarnation = maxOf(System.currentTimeMillis(), incarnation + 1)
        synchronized(this) { highestFencing = 0 }
        slots.clear()
        batch.abortAll()
        batch.makeCold()
    }

    override fun record(): JsonObject = record(true)

    /** Returns the recorded requests and orders; without [details], only counts and violations. */
    fun record(details: Boolean): JsonObject {
        val counters = mapOf(
            "loads" to slots.loads,
            "evictions" to slots.evictions,
            "maxConcurrency" to batch.maxConcurrency,
        )
        return record.toJson(counters, details)
    }

    override fun routes(builder: ServerBuilder) {
        builder.service("/v1/completions") { ctx, req -> unlessSilent { generate(ctx, req, false) } }
        builder.service("/v1/chat/completions") { ctx, req -> unlessSilent { generate(ctx, req, true) } }
        builder.service("/v1/load_lora_adapter") { ctx, req -> unlessSilent { order(ctx, req, "load") } }
        builder.service("/v1/unload_lora_adapter") { ctx, req -> unlessSilent { order(ctx, req, "unload") } }
        builder.service("/metrics") { _, _ -> unlessSilent { metrics() } }
        builder.service("/control/summary") { _, _ -> json(record(false)) }
    }

    private fun unlessSilent(handler: () -> HttpResponse) = if (faults.silent) hangingResponse() else handler()

    private fun generate(ctx: ServiceRequestContext, request: HttpRequest, chat: Boolean) = handleBody(request) {
        val adapter = ctx.header("x-adapter-version")
        val dispatch = ctx.header("x-dispatch-id")
        when {
            adapter == null || dispatch == null ->
                error(HttpStatus.BAD_REQUEST, "expected X-Adapter-Version and X-Dispatch-Id")
            !slots.isResident(adapter) -> error(HttpStatus.NOT_FOUND, "adapter $adapter is not resident")
            batch.rejectsRequests -> error(HttpStatus.SERVICE_UNAVAILABLE, "warming up")
            else -> enqueue(ctx, it, adapter, dispatch, chat)
        }
    }

    private fun enqueue(
        ctx: ServiceRequestContext,
        request: AggregatedHttpRequest,
        adapter: String,
        dispatch: String,
        chat: Boolean,
    ): HttpResponse {
        val body = Json.parseToJsonElement(request.contentUtf8()).jsonObject
        val servedRequest =
            ServedRequest(ctx.path(), dispatch, adapter, headersOf(ctx.request()), request.contentUtf8())
        record.addRequest(servedRequest)
        if (faults.consume(faults.invalidJson)) {
            return HttpResponse.of(responseHead(adapter, dispatch, MediaType.JSON), HttpData.ofUtf8("{]"))
        }
        val sentAdapter = if (faults.consume(faults.wrongAdapter)) "$adapter-other" else adapter
        val answer = Answer(chat, sentAdapter, dispatch, body)
        val type = if (answer.streamed) MediaType.EVENT_STREAM else MediaType.JSON
        val response = HttpResponse.streaming()
        val sink =
            AnswerSink(answer, response, responseHead(sentAdapter, dispatch, type), servedRequest, faults.nextBreak())
        val priority = ctx.header("x-priority")?.toIntOrNull() ?: 0
        batch.submit(Sequence(adapter, answer.tokens, priority, sink))
        return response
    }

    private fun responseHead(adapter: String, dispatch: String, type: MediaType) = ResponseHeaders.of(
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
                val fencing = ctx.header("x-fencing")?.toLongOrNull()
                val outcome = when {
                    name == null -> completed(HttpStatus.BAD_REQUEST)
                    !acceptFencing(fencing) -> completed(HttpStatus.CONFLICT)
                    kind == "load" -> slots.load(name).thenApply { statusOf(it) }
                    else -> completed(unload(name))
                }
                outcome.thenApply {
                    record.addOrder(kind, name.orEmpty(), fencing, it.codeAsText(), headersOf(request))
                    if (it.isSuccess) json(buildJsonObject { }) else error(it, "$kind $name: ${it.reasonPhrase()}")
                }
            },
        )

    private fun completed(status: HttpStatus) = CompletableFuture.completedFuture(status)

    private fun statusOf(outcome: LoadOutcome): HttpStatus = when (outcome) {
        LoadOutcome.LOADED -> HttpStatus.OK
        LoadOutcome.NO_SLOT -> HttpStatus.BAD_REQUEST
        LoadOutcome.FAILED -> HttpStatus.INTERNAL_SERVER_ERROR
    }

    private fun unload(adapter: String): HttpStatus {
        if (batch.hasRequests(adapter)) record.addViolation("evicted $adapter under a running request")
        return if (slots.unload(adapter)) HttpStatus.OK else HttpStatus.NOT_FOUND
    }

    @Synchronized
    private fun acceptFencing(fencing: Long?): Boolean {
        val stale = (fencing ?: 0) < highestFencing
        if (!stale) highestFencing = fencing ?: 0
        return !stale || !options.enforceFencing
    }

    private fun metrics(): HttpResponse {
        val text = synchronized(samples) {
            val now = System.nanoTime()
            samples.addLast(MetricsSample(now, metricsText()))
            val visibleUntil = now - metricsLagMillis * 1_000_000
            while (samples.size > 1 && samples.elementAt(1).nanos - visibleUntil <= 0) samples.removeFirst()
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
