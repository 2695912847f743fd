package io.camphordrum.standins

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.util.TreeMap
import java.util.concurrent.atomic.AtomicInteger

/**
 * Simulates a plain service: executes every call and counts executions per `Idempotency-Key` and body.
 *
 * Control keys: `delayMillis`, `silent` (executes calls and never answers), `loseAnswers` (the same for the next n
 * calls), `fail` (answers 500 after executing the next n calls).
 */
class Service(port: Int = 0, delayMillis: Long = 20) : StandIn(port) {
    private val executions = ArrayList<JsonObject>()
    private val counts = TreeMap<String, Int>()
    private val answersToLose = AtomicInteger()
    private val callsToFail = AtomicInteger()

    @Volatile private var delayMillis = delayMillis

    @Volatile private var silent = false

    fun start(): Service = apply { listen() }

    override fun control(message: JsonObject) {
        message.long("delayMillis")?.let { delayMillis = it }
        message.boolean("silent")?.let { silent = it }
        message.int("loseAnswers")?.let { answersToLose.set(it) }
        message.int("fail")?.let { callsToFail.set(it) }
    }

    @Synchronized
    override fun record(): JsonObject = buildJsonObject {
        put("executions", JsonArray(executions))
        put("counts", buildJsonObject { for ((key, count) in counts) put(key, count) })
        put("repeated", counts.count { !it.key.startsWith("|") && it.value > 1 })
    }

    override fun routes(builder: ServerBuilder) {
        builder.serviceUnder("/") { ctx, req -> handleBody(req) { execute(ctx, it) } }
    }

    private fun execute(ctx: ServiceRequestContext, request: AggregatedHttpRequest): HttpResponse {
        val key = ctx.header("idempotency-key").orEmpty()
        val execution = synchronized(this) {
            counts.merge("$key|${request.contentUtf8()}", 1, Int::plus)
            buildJsonObject {
                put("execution", executions.size + 1)
                put("method", request.method().name)
                put("path", ctx.path())
                put("idempotencyKey", key)
                put("body", request.contentUtf8())
                put("headers", headersOf(ctx.request()))
            }.also { executions += it }
        }
        if (silent || answersToLose.getAndUpdate { maxOf(0, it - 1) } > 0) return hangingResponse()
        if (callsToFail.getAndUpdate { maxOf(0, it - 1) } > 0) return error(HttpStatus.INTERNAL_SERVER_ERROR, "failed")
        return delayed(delayMillis) { HttpResponse.of(responseHead(ctx), bodyOf(execution)) }
    }

    private fun responseHead(ctx: ServiceRequestContext): ResponseHeaders {
        val head = ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.JSON)
        ctx.header("x-dispatch-id")?.let { head.add("x-dispatch-id", it) }
        return head.build()
    }

    private fun bodyOf(execution: JsonObject) = HttpData.ofUtf8(
        JsonObject(execution.filterKeys { it != "headers" }).toString(),
    )
}
