package io.camphordrum.standins

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executor
import java.util.concurrent.TimeUnit

/** Serves one stand-in on a loopback port, with `POST /control` and `GET /control/record` for tests. */
abstract class StandIn(private val requestedPort: Int) {
    private var server: Server? = null

    /** The port in use; valid after the start. */
    val port: Int get() = checkNotNull(server) { "expected a started stand-in" }.activeLocalPort()

    val url: String get() = "http://127.0.0.1:$port"

    /** Applies a control message; keys that are absent keep their values. */
    abstract fun control(message: JsonObject)

    /** Returns the requests that this stand-in recorded. */
    abstract fun record(): JsonObject

    protected abstract fun routes(builder: ServerBuilder)

    protected fun listen() {
        val builder = Server.builder()
            .http(InetSocketAddress(InetAddress.getLoopbackAddress(), requestedPort))
            .requestTimeoutMillis(0)
            .maxRequestLength(MAX_REQUEST_BYTES)
        builder.service("/control") { _, req ->
            handleBody(req) {
                control(Json.parseToJsonElement(it.contentUtf8()).jsonObject)
                json(buildJsonObject { })
            }
        }
        builder.service("/control/record") { _, _ -> json(record()) }
        routes(builder)
        server = builder.build().also { it.start().join() }
    }

    open fun stop() {
        // The port closes at once; the wait is limited because Netty's event loops have a quiet period of 2 s.
        server?.stop()?.handle { _, _ -> }?.completeOnTimeout(Unit, STOP_MILLIS, TimeUnit.MILLISECONDS)?.join()
    }

    private companion object {
        const val STOP_MILLIS = 200L
        const val MAX_REQUEST_BYTES = 4L shl 20
    }
}

internal fun handleBody(request: HttpRequest, handler: (AggregatedHttpRequest) -> HttpResponse): HttpResponse =
    HttpResponse.of(request.aggregate().thenApply { badRequestOnInvalidJson { handler(it) } })

private fun badRequestOnInvalidJson(handler: () -> HttpResponse): HttpResponse = try {
    handler()
} catch (e: IllegalArgumentException) {
    error(HttpStatus.BAD_REQUEST, "expected valid JSON, but ${e.message}")
}

internal fun json(body: JsonElement): HttpResponse = HttpResponse.of(HttpStatus.OK, MediaType.JSON, body.toString())

internal fun error(status: HttpStatus, message: String): HttpResponse {
    val body = buildJsonObject { put("error", JsonPrimitive(message)) }
    return HttpResponse.of(status, MediaType.JSON, body.toString())
}

/** Returns a response that is never completed, like that of a hanging process. */
internal fun hangingResponse(): HttpResponse = HttpResponse.streaming()

internal fun delayedExecutor(millis: Long): Executor = CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS)

internal fun delayed(millis: Long, response: () -> HttpResponse): HttpResponse =
    if (millis <= 0) response() else HttpResponse.of(CompletableFuture.supplyAsync(response, delayedExecutor(millis)))

internal fun JsonObject.long(name: String): Long? = this[name]?.jsonPrimitive?.longOrNull

internal fun JsonObject.int(name: String): Int? = long(name)?.toInt()

internal fun JsonObject.boolean(name: String): Boolean? = this[name]?.jsonPrimitive?.booleanOrNull

internal fun headersOf(request: HttpRequest): JsonObject = buildJsonObject {
    for (name in request.headers().names()) {
        put(name.toString(), JsonPrimitive(request.headers().getAll(name).joinToString(", ")))
    }
}

internal fun ServiceRequestContext.header(name: String): String? = request().headers().get(name)
