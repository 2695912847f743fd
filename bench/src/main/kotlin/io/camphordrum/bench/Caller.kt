package io.camphordrum.bench

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpObject
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap

/**
 * Holds the raw result of one HTTP call.
 *
 * @property status the HTTP status; 0 if no answer came.
 * @property unsent whether the call failed before any byte was sent.
 */
class RawAnswer(val status: Int, val body: String, val firstByteNanos: Long, val error: Throwable?) {
    val unsent: Boolean get() = error is UnprocessedRequestException
}

/** Sends planned requests and reads the answers as a caller does. */
class Caller(private val size: Size, private val startNanos: Long) {
    private val factory = ClientFactory.builder().connectTimeout(Duration.ofSeconds(2)).build()
    private val clients = ConcurrentHashMap<String, WebClient>()

    /** Sends [arrival] to the daemon at [address] with the key of its account. */
    fun send(address: String, arrival: Arrival): CompletableFuture<RawAnswer> =
        send(address, arrival, mapOf("authorization" to "Bearer ${keyOf(size.accounts[arrival.account].name)}"))

    /** Sends [arrival] directly to the engine at [address], as the baselines do. */
    fun sendDirect(address: String, arrival: Arrival): CompletableFuture<RawAnswer> {
        val headers = mapOf("x-adapter-version" to arrival.adapter.orEmpty(), "x-dispatch-id" to "direct-${arrival.id}")
        return send(address, arrival, headers)
    }

    private fun send(address: String, arrival: Arrival, headers: Map<String, String>): CompletableFuture<RawAnswer> {
        val path = if (arrival.adapter == null) "${size.route}/new" else "/v1/completions"
        val headerBuilder = RequestHeaders.builder(HttpMethod.POST, path).contentType(MediaType.JSON)
        if (arrival.adapter == null) headerBuilder.add("idempotency-key", arrival.id)
        for ((name, value) in headers) headerBuilder.set(name, value)
        val request = HttpRequest.of(headerBuilder.build(), HttpData.ofUtf8(bodyOf(arrival)))
        val completion = CompletableFuture<RawAnswer>()
        client(address).execute(request).subscribe(AnswerCollector(startNanos, completion))
        return completion
    }

    /** Classifies [answer] as the outcome of [arrival]. */
    fun outcomeOf(arrival: Arrival, answer: RawAnswer): Outcome {
        val endNanos = System.nanoTime() - startNanos
        val checkResult = when {
            answer.status != 200 -> failureResult(answer)
            answer.error != null -> CheckResult(Ending.LOST, 0, "${answer.error}")
            arrival.adapter != null -> AnswerChecker.checkStream(arrival, answer.body)
            arrival.id in answer.body -> CheckResult(Ending.WHOLE)
            else -> CheckResult(Ending.TORN, 0, answer.body.take(200))
        }
        val ran = if (answer.status in listOf(0, 200)) null else ranField(answer.body)
        val firstTokenNanos = if (checkResult.ending == Ending.WHOLE) answer.firstByteNanos - startNanos else 0
        return Outcome(
            arrival,
            checkResult.ending,
            firstTokenNanos,
            endNanos,
            checkResult.usedTokens,
            ran,
            checkResult.detail,
        )
    }

    private fun failureResult(answer: RawAnswer): CheckResult {
        val ending = when (answer.status) {
            0 -> Ending.LOST
            429 -> Ending.LIMITED
            503, 504 -> Ending.UNAVAILABLE
            409 -> Ending.OUTCOME_UNKNOWN
            else -> Ending.OTHER_STATUS
        }
        return CheckResult(ending, 0, answer.error?.toString() ?: "${answer.status} ${answer.body.take(200)}")
    }

    private fun ranField(body: String): String? = runCatching {
        val error = Json.parseToJsonElement(body).jsonObject["error"] as JsonObject
        error["ran"]?.jsonPrimitive?.contentOrNull
    }.getOrNull()

    private fun bodyOf(arrival: Arrival): String = buildJsonObject {
        if (arrival.adapter == null) {
            put("order", arrival.id)
        } else {
            put("model", arrival.adapter)
            put("prompt", arrival.prompt)
            put("max_tokens", arrival.maxTokens)
            put("stream", true)
        }
    }.toString()

    private fun client(address: String): WebClient = clients.computeIfAbsent(address) {
        WebClient.builder(it).factory(factory).responseTimeout(Duration.ofSeconds(ANSWER_TIMEOUT_SECONDS)).build()
    }

    /** Closes all connections. */
    fun close() = factory.close()

    private companion object {
        const val ANSWER_TIMEOUT_SECONDS = 90L
    }
}

/** Collects one answer and the time of the first byte of its body. */
private class AnswerCollector(private val startNanos: Long, private val completion: CompletableFuture<RawAnswer>) :
    Subscriber<HttpObject> {
    private val body = StringBuilder()
    private var status = 0
    private var firstByteNanos = startNanos

    override fun onSubscribe(s: Subscription) = s.request(Long.MAX_VALUE)

    override fun onNext(part: HttpObject) {
        when (part) {
            is ResponseHeaders -> if (!part.status().isInformational) status = part.status().code()
            is HttpData -> {
                if (body.isEmpty()) firstByteNanos = System.nanoTime()
                body.append(part.toStringUtf8())
            }
        }
    }

    override fun onError(error: Throwable) {
        completion.complete(RawAnswer(status, body.toString(), firstByteNanos, error))
    }

    override fun onComplete() {
        completion.complete(RawAnswer(status, body.toString(), firstByteNanos, null))
    }
}
