package io.camphordrum.daemon

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.DispatchEnd
import io.camphordrum.core.DispatchOrder
import io.camphordrum.core.once.RecordedAnswer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap

/** Names of the headers that travel between daemons and endpoints. */
object EndpointHeaders {
    const val ADAPTER_VERSION = "x-adapter-version"
    const val DISPATCH_ID = "x-dispatch-id"
    const val FENCING = "x-fencing"
    const val PRIORITY = "x-priority"
}

/**
 * Sends requests and orders to endpoints and verifies what they answer.
 *
 * Every answer must repeat the dispatch id and the adapter version; any other answer ends as
 * [DispatchEnd.Failed] and none of it reaches the caller.
 */
class EndpointClient(private val factory: ClientFactory) {
    private val clients = ConcurrentHashMap<String, WebClient>()
    private val quickClients = ConcurrentHashMap<String, WebClient>()

    /** Runs [order] for [exchange] and reports its end exactly once through [onEnd]. */
    fun dispatch(order: DispatchOrder, exchange: Exchange, onEnd: (DispatchEnd) -> Unit) {
        val run = Run(order, exchange, OneEnd(onEnd), System.nanoTime())
        val request = exchange.toEndpoint(order)
        val response = client(order.address).execute(withDispatchHeaders(request, order))
        if (exchange.streaming) {
            relayStream(run, response)
        } else {
            relayWhole(run, response)
        }
    }

    /** Orders an endpoint to load or unload [version]; [onEnd] receives the HTTP status, or null without an answer. */
    fun order(address: String, load: Boolean, version: AdapterVersion, fencing: Long, onEnd: (Int?) -> Unit) {
        val path = if (load) "/v1/load_lora_adapter" else "/v1/unload_lora_adapter"
        val body = buildJsonObject {
            put("lora_name", version.toString())
            if (load) put("lora_path", "${version.adapter}/${version.version}")
        }
        val headers = RequestHeaders.builder(HttpMethod.POST, path)
            .contentType(MediaType.JSON_UTF_8)
            .set(EndpointHeaders.FENCING, fencing.toString())
            .build()
        val request = HttpRequest.of(headers, HttpData.ofUtf8(body.toString()))
        quick(address).execute(request).aggregate().handle { answer, _ -> onEnd(answer?.status()?.code()) }
    }

    /** Reads the load page of an endpoint; [onEnd] receives its text, or null when it cannot be read. */
    fun metrics(address: String, onEnd: (String?) -> Unit) {
        quick(address).get("/metrics").aggregate().handle { answer, _ ->
            onEnd(answer?.takeIf { it.status().isSuccess }?.contentUtf8())
        }
    }

    private fun client(address: String): WebClient = clients.computeIfAbsent(address) {
        webClient(it, Duration.ofSeconds(LONGEST_ANSWER_SECONDS))
    }

    private fun quick(address: String): WebClient = quickClients.computeIfAbsent(address) {
        webClient(it, Duration.ofSeconds(LONGEST_ORDER_SECONDS))
    }

    private fun webClient(address: String, timeout: Duration): WebClient = WebClient.builder("http://$address")
        .factory(factory)
        .responseTimeout(timeout)
        .maxResponseLength(MAX_ANSWER_BYTES)
        .build()

    private fun withDispatchHeaders(request: HttpRequest, order: DispatchOrder): HttpRequest {
        val headers = request.headers().toBuilder()
            .set(EndpointHeaders.DISPATCH_ID, order.dispatch)
            .set(EndpointHeaders.FENCING, order.fencing.toString())
            .set(EndpointHeaders.PRIORITY, order.priority.toString())
        order.version?.let { headers.set(EndpointHeaders.ADAPTER_VERSION, it.toString()) }
        return request.withHeaders(headers)
    }

    private fun relayWhole(run: Run, response: HttpResponse) {
        val future = response.aggregate()
        run.exchange.cancelDispatch = { future.cancel(true) }
        future.handle { answer, error ->
            when {
                answer != null -> run.once.end(wholeEnd(run.order, answer, System.nanoTime() - run.startNanos))
                run.exchange.callerGone -> run.once.end(DispatchEnd.Cancelled(0))
                else -> run.once.end(failure(error, 0, reachedCaller = false))
            }
        }
    }

    private fun wholeEnd(order: DispatchOrder, answer: AggregatedHttpResponse, nanos: Long): DispatchEnd {
        val fault = headerFault(order, answer.headers())
        if (fault != null) return fault
        val type = answer.contentType()?.toString() ?: MediaType.OCTET_STREAM.toString()
        val recorded = RecordedAnswer.of(answer.status().code(), type, answer.content().array())
        if (order.version == null) return DispatchEnd.Completed(0, recorded, nanos)
        val json = parseObject(answer.contentUtf8())
            ?: return DispatchEnd.Failed("expected a JSON object from ${order.endpoint}, but the body is not", 0, false)
        return DispatchEnd.Completed(Usage.of(json)?.totalTokens ?: DispatchEnd.UNKNOWN_USAGE, recorded, nanos)
    }

    private fun relayStream(run: Run, response: HttpResponse) {
        val split = response.split()
        run.exchange.cancelDispatch = { split.body().abort() }
        split.headers().handle { headers, error ->
            val fault = if (headers == null) failure(error, 0, false) else headerFault(run.order, headers)
            if (fault != null) {
                split.body().abort()
                run.once.end(if (run.exchange.callerGone) DispatchEnd.Cancelled(0) else fault)
            } else {
                split.body().subscribe(StreamRelay(run.exchange, run.once, run.startNanos))
            }
        }
    }

    private fun headerFault(order: DispatchOrder, headers: ResponseHeaders): DispatchEnd? {
        val status = headers.status().code()
        val where = "from ${order.endpoint}"
        if (order.version != null && status in REFUSED_BEFORE_RUN) return DispatchEnd.NotRun("status $status $where")
        if (headers.get(EndpointHeaders.DISPATCH_ID) != order.dispatch) {
            val came = headers.get(EndpointHeaders.DISPATCH_ID)
            return DispatchEnd.Failed("expected dispatch ${order.dispatch} $where, but came $came", 0, false)
        }
        val version = order.version ?: return null
        if (!headers.status().isSuccess) return DispatchEnd.Failed("status $status $where", 0, false)
        val served = headers.get(EndpointHeaders.ADAPTER_VERSION)
        if (served == version.toString()) return null
        return DispatchEnd.Failed("expected adapter $version $where, but came $served", 0, false)
    }

    private class Run(val order: DispatchOrder, val exchange: Exchange, val once: OneEnd, val startNanos: Long)

    private companion object {
        const val LONGEST_ANSWER_SECONDS = 600L

        // The owner of an endpoint counts an order without an answer as lost after the same time.
        const val LONGEST_ORDER_SECONDS = 5L
        const val MAX_ANSWER_BYTES = 16L shl 20

        // Engines answer with these before they run anything: adapter not resident, old fencing number, overload.
        val REFUSED_BEFORE_RUN = setOf(404, 409, 429, 503)
    }
}

/** Reports the end of a dispatch once, whichever of several paths comes first. */
internal class OneEnd(private val onEnd: (DispatchEnd) -> Unit) {
    private val ended = java.util.concurrent.atomic.AtomicBoolean()

    fun end(end: DispatchEnd) {
        if (ended.compareAndSet(false, true)) onEnd(end)
    }
}

internal fun failure(error: Throwable?, usedTokens: Long, reachedCaller: Boolean): DispatchEnd {
    val reason = error?.let { "${it.javaClass.simpleName}: ${it.message}" } ?: "no answer"
    return if (error is UnprocessedRequestException || error?.cause is UnprocessedRequestException) {
        DispatchEnd.NotRun(reason)
    } else {
        DispatchEnd.Failed(reason, usedTokens, reachedCaller)
    }
}

internal fun parseObject(text: String): JsonObject? =
    runCatching { Json.parseToJsonElement(text) as? JsonObject }.getOrNull()
