package io.camphordrum.daemon

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import io.camphordrum.core.CallerRequest
import io.camphordrum.core.Clock
import io.camphordrum.core.DispatchOrder
import io.camphordrum.core.Operation
import io.camphordrum.core.Refusal
import io.camphordrum.core.RefusalCode
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull
import net.openhft.hashing.LongHashFunction
import java.util.concurrent.atomic.AtomicLong

/**
 * Parses HTTP requests of callers into [CallerRequest]s.
 *
 * The key is hashed and removed here: neither the decision core nor any endpoint receives it.
 *
 * @param hashKey returns the keyed hash of a caller's key, in hexadecimal.
 * @param onRequest receives each valid request; returns false when the decision thread's ring buffer is full.
 * @param onDisconnect is called when a caller disconnects before its response is complete.
 */
class CallerService(
    private val clock: Clock,
    private val hashKey: (String) -> String,
    private val onRequest: (CallerRequest, Exchange) -> Boolean,
    private val onDisconnect: (Exchange) -> Unit,
) : HttpService {
    private val requestIds = AtomicLong()

    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse =
        HttpResponse.of(req.aggregate().thenApply { handle(it) })

    private fun handle(request: AggregatedHttpRequest): HttpResponse {
        val parsed = parse(request)
        if (parsed is ParseResult.Invalid) return errorResponse(parsed.refusal)
        parsed as ParseResult.Valid
        val exchange = parsed.exchange
        val response = exchange.response
        response.whenComplete().handle { _, error ->
            if (error != null) {
                exchange.callerDisconnected = true
                onDisconnect(exchange)
            }
        }
        if (!onRequest(parsed.request, exchange)) exchange.refuse(OVERLOADED)
        return response
    }

    private fun parse(request: AggregatedHttpRequest): ParseResult {
        val deadlineText = request.headers().get(DEADLINE_HEADER)
        val deadlineMillis = deadlineText?.toLongOrNull()
        if (deadlineText != null && (deadlineMillis == null || deadlineMillis <= 0)) {
            return invalid("$DEADLINE_HEADER: expected milliseconds above 0, but was \"$deadlineText\"")
        }
        val idempotencyKey = request.headers().get(IDEMPOTENCY_HEADER)
        if (idempotencyKey != null && idempotencyKey.length !in 1..MAX_IDEMPOTENCY_KEY) {
            return invalid(
                "$IDEMPOTENCY_HEADER: expected 1 to $MAX_IDEMPOTENCY_KEY characters, but was ${idempotencyKey.length}",
            )
        }
        val id = requestIds.incrementAndGet()
        val callerRequest = CallerRequest(
            id = id,
            keyHash = bearerKey(request.headers())?.let(hashKey),
            operation = Operation.Call(request.method().name, request.path()),
            arrivedNanos = clock.nanos(),
            deadlineMillis = deadlineMillis,
            idempotencyKey = idempotencyKey,
            fingerprint = requestFingerprint(request),
        )
        if (request.path() !in COMPLETION_PATHS) {
            return ParseResult.Valid(callerRequest, Exchange(id, streaming = false) { buildServiceRequest(request) })
        }
        return parseCompletion(request, callerRequest)
    }

    private fun parseCompletion(request: AggregatedHttpRequest, callerRequest: CallerRequest): ParseResult {
        if (request.method() != HttpMethod.POST) return invalid("expected POST for ${request.path()}")
        val body = parseObject(request.contentUtf8()) ?: return invalid("body: expected a JSON object")
        val model = body.stringField("model") ?: return invalid("model: expected \"adapter\" or \"adapter@version\"")
        val maxTokens = body["max_tokens"]?.let { (it as? JsonPrimitive)?.longOrNull ?: -1L }
        if (maxTokens != null && maxTokens <= 0) return invalid("max_tokens: expected a number above 0")
        if (body["prompt"] == null &&
            body["messages"] == null
        ) {
            return invalid("prompt or messages: expected one of them")
        }
        val streaming = (body["stream"] as? JsonPrimitive)?.booleanOrNull ?: false
        val operation = Operation.Completion(model, promptTokenBound(body), maxTokens)
        val exchange = Exchange(callerRequest.id, streaming) { buildEngineRequest(request.path(), body, it) }
        return ParseResult.Valid(callerRequest.copy(operation = operation), exchange)
    }

    private fun buildEngineRequest(path: String, body: JsonObject, order: DispatchOrder): HttpRequest {
        val fields = body.toMutableMap()
        fields["model"] = JsonPrimitive(order.version.toString())
        order.maxTokens?.let { fields["max_tokens"] = JsonPrimitive(it) }
        fields["priority"] = JsonPrimitive(order.priority)
        val headers = RequestHeaders.builder(HttpMethod.POST, path).contentType(MediaType.JSON_UTF_8).build()
        return HttpRequest.of(headers, HttpData.ofUtf8(JsonObject(fields).toString()))
    }

    private fun buildServiceRequest(request: AggregatedHttpRequest): HttpRequest {
        val headers = RequestHeaders.builder(request.method(), request.headers().path())
        for (name in FORWARDED_HEADERS) request.headers().get(name)?.let { headers.set(name, it) }
        return HttpRequest.of(headers.build(), request.content())
    }

    private fun invalid(message: String) = ParseResult.Invalid(Refusal(RefusalCode.BAD_REQUEST, message))

    private sealed interface ParseResult {
        data class Valid(val request: CallerRequest, val exchange: Exchange) : ParseResult

        data class Invalid(val refusal: Refusal) : ParseResult
    }

    private companion object {
        const val DEADLINE_HEADER = "x-deadline-ms"
        const val IDEMPOTENCY_HEADER = "idempotency-key"
        const val MAX_IDEMPOTENCY_KEY = 200
        val COMPLETION_PATHS = setOf("/v1/completions", "/v1/chat/completions")

        // An allow list, so that no other header, in particular the one with the key, reaches a service.
        val FORWARDED_HEADERS = listOf("content-type", "accept", "accept-language", IDEMPOTENCY_HEADER)
        val OVERLOADED = Refusal(RefusalCode.UNAVAILABLE, "the daemon is overloaded", retryAfterMillis = 500)
    }
}

private fun JsonObject.stringField(name: String): String? =
    (this[name] as? JsonPrimitive)?.takeIf { it.isString }?.contentOrNull?.takeIf { it.isNotEmpty() }

private fun bearerKey(headers: RequestHeaders): String? =
    headers.get(HttpHeaderNames.AUTHORIZATION)
        ?.takeIf { it.startsWith("Bearer ", ignoreCase = true) }
        ?.substring("Bearer ".length)
        ?.trim()
        ?.takeIf { it.isNotEmpty() }

private fun requestFingerprint(request: AggregatedHttpRequest): Long {
    val seed = LongHashFunction.xx().hashChars(request.method().name + " " + request.path())
    return LongHashFunction.xx(seed).hashBytes(request.content().array())
}

// A tokenizer over bytes yields at most one token per byte, so the byte count is an upper bound of the prompt's tokens.
private fun promptTokenBound(body: JsonObject): Long {
    val prompt = body["prompt"]?.let(::textByteCount) ?: 0L
    val messages = (body["messages"] as? JsonArray)?.sumOf { textByteCount(it) + CONTROL_TOKENS_PER_MESSAGE } ?: 0L
    return prompt + messages
}

private fun textByteCount(element: JsonElement): Long = when (element) {
    is JsonPrimitive -> element.content.toByteArray().size.toLong()
    is JsonArray -> element.sumOf(::textByteCount)
    is JsonObject -> element.values.sumOf(::textByteCount)
}

// Chat templates add a few control tokens around each message.
private const val CONTROL_TOKENS_PER_MESSAGE = 8L
