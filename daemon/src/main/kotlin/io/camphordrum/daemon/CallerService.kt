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
 * Turns HTTP requests of callers into [CallerRequest]s.
 *
 * The key is hashed and removed here: neither the decision core nor any endpoint ever sees it.
 *
 * @param hashKey the keyed hash of a caller's key, in hexadecimal.
 * @param arrive takes a request; returns false when the decision ring is full.
 * @param gone is told when a caller leaves before its answer has ended.
 */
class CallerService(
    private val clock: Clock,
    private val hashKey: (String) -> String,
    private val arrive: (CallerRequest, Exchange) -> Boolean,
    private val gone: (Exchange) -> Unit,
) : HttpService {
    private val ids = AtomicLong()

    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse =
        HttpResponse.of(req.aggregate().thenApply { handle(it) })

    private fun handle(request: AggregatedHttpRequest): HttpResponse {
        val parsed = parse(request)
        if (parsed is Parsed.Bad) return errorResponse(parsed.refusal)
        parsed as Parsed.Good
        val exchange = parsed.exchange
        val response = exchange.response
        response.whenComplete().handle { _, error ->
            if (error != null) {
                exchange.callerGone = true
                gone(exchange)
            }
        }
        if (!arrive(parsed.request, exchange)) exchange.refuse(OVERLOADED)
        return response
    }

    private fun parse(request: AggregatedHttpRequest): Parsed {
        val deadline = request.headers().get(DEADLINE_HEADER)
        val millis = deadline?.toLongOrNull()
        if (deadline != null && (millis == null || millis <= 0)) {
            return bad("$DEADLINE_HEADER: expected milliseconds above 0, but was \"$deadline\"")
        }
        val idempotencyKey = request.headers().get(IDEMPOTENCY_HEADER)
        if (idempotencyKey != null && idempotencyKey.length !in 1..MAX_IDEMPOTENCY_KEY) {
            return bad(
                "$IDEMPOTENCY_HEADER: expected 1 to $MAX_IDEMPOTENCY_KEY characters, but was ${idempotencyKey.length}",
            )
        }
        val id = ids.incrementAndGet()
        val call = CallerRequest(
            id = id,
            keyHash = bearer(request.headers())?.let(hashKey),
            operation = Operation.Call(request.method().name, request.path()),
            arrivedNanos = clock.nanos(),
            deadlineMillis = millis,
            idempotencyKey = idempotencyKey,
            fingerprint = fingerprint(request),
        )
        if (request.path() !in COMPLETION_PATHS) {
            return Parsed.Good(call, Exchange(id, streaming = false) { serviceRequest(request) })
        }
        return completion(request, call)
    }

    private fun completion(request: AggregatedHttpRequest, call: CallerRequest): Parsed {
        if (request.method() != HttpMethod.POST) return bad("expected POST for ${request.path()}")
        val body = parseObject(request.contentUtf8()) ?: return bad("body: expected a JSON object")
        val model = body.text("model") ?: return bad("model: expected \"adapter\" or \"adapter@version\"")
        val maxTokens = body["max_tokens"]?.let { (it as? JsonPrimitive)?.longOrNull ?: -1L }
        if (maxTokens != null && maxTokens <= 0) return bad("max_tokens: expected a number above 0")
        if (body["prompt"] == null && body["messages"] == null) return bad("prompt or messages: expected one of them")
        val streaming = (body["stream"] as? JsonPrimitive)?.booleanOrNull ?: false
        val work = Operation.Completion(model, promptTokens(body), maxTokens)
        val exchange = Exchange(call.id, streaming) { engineRequest(request.path(), body, it) }
        return Parsed.Good(call.copy(operation = work), exchange)
    }

    private fun engineRequest(path: String, body: JsonObject, order: DispatchOrder): HttpRequest {
        val fields = body.toMutableMap()
        fields["model"] = JsonPrimitive(order.version.toString())
        order.maxTokens?.let { fields["max_tokens"] = JsonPrimitive(it) }
        fields["priority"] = JsonPrimitive(order.priority)
        val headers = RequestHeaders.builder(HttpMethod.POST, path).contentType(MediaType.JSON_UTF_8).build()
        return HttpRequest.of(headers, HttpData.ofUtf8(JsonObject(fields).toString()))
    }

    private fun serviceRequest(request: AggregatedHttpRequest): HttpRequest {
        val headers = RequestHeaders.builder(request.method(), request.headers().path())
        for (name in FORWARDED) request.headers().get(name)?.let { headers.set(name, it) }
        return HttpRequest.of(headers.build(), request.content())
    }

    private fun bad(message: String) = Parsed.Bad(Refusal(RefusalCode.BAD_REQUEST, message))

    private sealed interface Parsed {
        data class Good(val request: CallerRequest, val exchange: Exchange) : Parsed

        data class Bad(val refusal: Refusal) : Parsed
    }

    private companion object {
        const val DEADLINE_HEADER = "x-deadline-ms"
        const val IDEMPOTENCY_HEADER = "idempotency-key"
        const val MAX_IDEMPOTENCY_KEY = 200
        val COMPLETION_PATHS = setOf("/v1/completions", "/v1/chat/completions")

        // An allow list: a header that is not named here, above all the key, cannot reach a service.
        val FORWARDED = listOf("content-type", "accept", "accept-language", IDEMPOTENCY_HEADER)
        val OVERLOADED = Refusal(RefusalCode.UNAVAILABLE, "the daemon is overloaded", retryAfterMillis = 500)
    }
}

private fun JsonObject.text(name: String): String? =
    (this[name] as? JsonPrimitive)?.takeIf { it.isString }?.contentOrNull?.takeIf { it.isNotEmpty() }

private fun bearer(headers: RequestHeaders): String? =
    headers.get(HttpHeaderNames.AUTHORIZATION)
        ?.takeIf { it.startsWith("Bearer ", ignoreCase = true) }
        ?.substring("Bearer ".length)
        ?.trim()
        ?.takeIf { it.isNotEmpty() }

private fun fingerprint(request: AggregatedHttpRequest): Long {
    val seed = LongHashFunction.xx().hashChars(request.method().name + " " + request.path())
    return LongHashFunction.xx(seed).hashBytes(request.content().array())
}

// A tokenizer over bytes never yields more tokens than bytes, so the byte count is a true upper bound for the charge.
private fun promptTokens(body: JsonObject): Long {
    val prompt = body["prompt"]?.let(::textBytes) ?: 0L
    val messages = (body["messages"] as? JsonArray)?.sumOf { textBytes(it) + TOKENS_PER_MESSAGE } ?: 0L
    return prompt + messages
}

private fun textBytes(element: JsonElement): Long = when (element) {
    is JsonPrimitive -> element.content.toByteArray().size.toLong()
    is JsonArray -> element.sumOf(::textBytes)
    is JsonObject -> element.values.sumOf(::textBytes)
}

// Chat templates add a few control tokens around each message.
private const val TOKENS_PER_MESSAGE = 8L
