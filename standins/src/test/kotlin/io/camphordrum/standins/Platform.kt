package io.camphordrum.standins

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import java.util.ArrayDeque
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/**
 * Simulates the platform: object API, delayed instance list, and the counter of weight loads in flight.
 *
 * Control keys: `outage` (`"refuse"` answers 503, `"silent"` never answers, `"none"`), `delayMillis` (of every answer,
 * after the call takes effect), `loseAnswers` (the next n answers to applied writes are lost), `instances`,
 * `instanceLagMillis`.
 */
class Platform(port: Int = 0) : StandIn(port) {
    private class PublishedInstances(val publishedNanos: Long, val list: JsonArray)

    private val store = ObjectStore()
    private val loadCounter = LoadCounter()
    private val calls = ConcurrentHashMap<String, Int>()
    private val headers = ConcurrentHashMap.newKeySet<String>()
    private val instances = ArrayDeque<PublishedInstances>()
    private val answersToLose = AtomicInteger()

    @Volatile private var outage = "none"

    @Volatile private var delayMillis = 0L

    @Volatile private var instanceLagMillis = 0L

    fun start(): Platform = apply { listen() }

    override fun control(message: JsonObject) {
        message["outage"]?.let { outage = it.jsonPrimitive.content }
        message.long("delayMillis")?.let { delayMillis = it }
        message.int("loseAnswers")?.let { answersToLose.set(it) }
        message.long("instanceLagMillis")?.let { instanceLagMillis = it }
        message["instances"]?.let {
            synchronized(instances) { instances.addLast(PublishedInstances(System.nanoTime(), it.jsonArray)) }
        }
    }

    override fun record(): JsonObject = buildJsonObject {
        put("calls", buildJsonObject { for ((kind, count) in calls.toSortedMap()) put(kind, count) })
        put("loads", loadCounter.total)
        put("maxLoadsInFlight", loadCounter.maxInFlight)
        put("headers", buildJsonArray { for (header in headers.sorted()) add(JsonPrimitive(header)) })
    }

    override fun routes(builder: ServerBuilder) {
        builder.serviceUnder("/objects/") { ctx, req -> handle(req) { accessObject(ctx, req) } }
        builder.service("/objects") { ctx, req -> handle(req) { listObjects(ctx) } }
        builder.service("/instances") { _, req -> handle(req) { counted("instances") { json(visibleInstances()) } } }
        builder.service("/control/objects") { _, _ -> json(objectsJson()) }
        builder.service("/weights/begin") { _, _ -> json(buildJsonObject { put("inFlight", loadCounter.beginLoad()) }) }
        builder.service("/weights/end") { _, _ ->
            loadCounter.endLoad()
            json(buildJsonObject { })
        }
    }

    private fun handle(request: HttpRequest, handler: () -> HttpResponse): HttpResponse {
        for ((name, value) in request.headers()) if (headers.size < MAX_HEADERS) headers += "$name: $value"
        return when (outage) {
            "refuse" -> counted("refused") { error(HttpStatus.SERVICE_UNAVAILABLE, "outage") }
            "silent" -> counted("unanswered") { hangingResponse() }
            else -> handler()
        }
    }

    private fun counted(kind: String, handler: () -> HttpResponse): HttpResponse {
        calls.merge(kind, 1, Int::plus)
        return handler()
    }

    private fun accessObject(ctx: ServiceRequestContext, request: HttpRequest): HttpResponse {
        val name = ctx.decodedMappedPath().removePrefix("/")
        return when (request.method()) {
            HttpMethod.GET -> counted("get") { delayed(delayMillis) { read(name) } }
            HttpMethod.PUT ->
                counted("put") { handleBody(request) { write(name, ctx.header("if-version"), it.content()) } }
            else -> error(HttpStatus.METHOD_NOT_ALLOWED, "expected GET or PUT, but was ${request.method()}")
        }
    }

    private fun read(name: String): HttpResponse {
        val stored = store.get(name) ?: return error(HttpStatus.NOT_FOUND, "no object $name")
        val head = ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.OCTET_STREAM)
        return HttpResponse.of(head.add("x-version", "${stored.version}").build(), HttpData.wrap(stored.value))
    }

    private fun write(name: String, expected: String?, value: HttpData): HttpResponse {
        val version = expected?.toLongOrNull()
            ?: return error(HttpStatus.BAD_REQUEST, "If-Version: expected a number, but was $expected")
        if (value.length() > MAX_VALUE_BYTES) return error(HttpStatus.REQUEST_ENTITY_TOO_LARGE, "expected at most 1 MB")
        val result = store.put(name, version, value.array())
        if (result.applied && answersToLose.getAndUpdate { maxOf(0, it - 1) } > 0) return hangingResponse()
        if (!result.applied) calls.merge("conflict", 1, Int::plus)
        val status = if (result.applied) HttpStatus.OK else HttpStatus.CONFLICT
        val head = ResponseHeaders.builder(status).add("x-version", "${result.version}").build()
        return delayed(delayMillis) { HttpResponse.of(head) }
    }

    private fun listObjects(ctx: ServiceRequestContext): HttpResponse {
        val prefix = ctx.queryParam("prefix").orEmpty()
        val afterVersion = ctx.queryParam("watch")?.toLongOrNull()
            ?: return counted("list") { delayed(delayMillis) { json(versionsJson(store.changed(prefix, 0))) } }
        val timeoutMillis =
            (ctx.queryParam("timeoutMs")?.toLongOrNull() ?: DEFAULT_WATCH_MILLIS).coerceIn(0, MAX_WATCH_MILLIS)
        return counted("watch") {
            HttpResponse.of(
                store.watch(prefix, afterVersion, timeoutMillis).thenApply {
                    delayed(delayMillis) { json(versionsJson(it)) }
                },
            )
        }
    }

    private fun versionsJson(changed: Map<String, Long>) = buildJsonObject {
        put("version", store.lastVersion)
        val objects = changed.map { (name, version) ->
            buildJsonObject {
                put("name", name)
                put("version", version)
            }
        }
        put("objects", JsonArray(objects))
    }

    private fun visibleInstances(): JsonArray = synchronized(instances) {
        val visibleUntil = System.nanoTime() - instanceLagMillis * 1_000_000
        while (instances.size > 1 && instances.elementAt(1).publishedNanos - visibleUntil <= 0) instances.removeFirst()
        instances.peekFirst()?.takeIf { it.publishedNanos - visibleUntil <= 0 }?.list ?: JsonArray(emptyList())
    }

    // Latin-1 maps each byte to one character, so that tests can search binary values for the text of a key.
    private fun objectsJson() = buildJsonObject {
        for ((name, stored) in store.all()) put(name, String(stored.value, Charsets.ISO_8859_1))
    }

    private companion object {
        const val MAX_VALUE_BYTES = 1 shl 20
        const val MAX_HEADERS = 10_000
        const val DEFAULT_WATCH_MILLIS = 30_000L
        const val MAX_WATCH_MILLIS = 120_000L
    }
}
