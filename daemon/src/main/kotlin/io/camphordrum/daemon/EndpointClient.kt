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

/** Names the HTTP headers that daemons and endpoints exchange. */
object EndpointHeaders {
    const val ADAPTER_VERSION = "x-adapter-version"
    const val DISPATCH_ID = "x-dispatch-id"
    const val FENCING = "x-fencing"
    const val PRIORITY = "x-priority"
}

/**
 * Sends requests and orders to endpoints and verifies their responses.
 *
 * Every response must repeat the dispatch id and the adapter version; any other response ends as
 * [DispatchEnd.Failed] and none of it reaches the caller.
 */
class EndpointClient(private val factory: ClientFactory) {
    private val dispatchClients = ConcurrentHashMap<String, WebClient>()
    private val shortTimeoutClients = ConcurrentHashMap<String, WebClient>()

    /** Sends the request of [exchange] as [order] describes it and calls [onEnd] exactly once. */
    fun dispatch(order: DispatchOrder, exchange: Exchange, onEnd: (DispatchEnd) -> Unit) {
        val dispatch = RunningDispatch(order, exchange, DispatchCompletion(onEnd), System.nanoTime())
        val request = exchange.endpointRequest(order)
        val response = dispatchClient(order.address).execute(withDispatchHeaders(request, order))
        if (exchange.streaming) {
            relayStream(dispatch, response)
        } else {
            relayBuffered(dispatch, response)
        }
    }

    /** Orders an endpoint to load or unload [version]; [onStatus] receives the HTTP status, or null on failure. */
    fun sendOrder(address: String, load: Boolean, version: AdapterVersion, fencing: Long, onStatus: (Int?) -> Unit) {
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
        shortTimeoutClient(address).execute(request).aggregate()
            .handle { response, _ -> onStatus(response?.status()?.code()) }
    }

    /** Reads the load metrics of an endpoint; [onText] receives their text, or null when the read fails. */
    fun readMetrics(address: String, onText: (String?) -> Unit) {
        shortTimeoutClient(address).get("/metrics").aggregate().handle { response, _ ->
            onText(response?.takeIf { it.status().isSuccess }?.contentUtf8())
        }
    }

    private fun dispatchClient(address: String): WebClient = dispatchClients.computeIfAbsent(address) {
        webClient(it, Duration.ofSeconds(RESPONSE_TIMEOUT_SECONDS))
    }

    private fun shortTimeoutClient(address: String): WebClient = shortTimeoutClients.computeIfAbsent(address) {
        webClient(it, Duration.ofSeconds(ORDER_TIMEOUT_SECONDS))
    }

    private fun webClient(address: String, timeout: Duration): WebClient = WebClient.builder("http://$address")
        .factory(factory)
        .responseTimeout(timeout)
        .maxResponseLength(MAX_RESPONSE_BYTES)
        .build()

    private fun withDispatchHeaders(request: HttpRequest, order: DispatchOrder): HttpRequest {
        val headers = request.headers().toBuilder()
            .set(EndpointHeaders.DISPATCH_ID, order.dispatch)
            .set(EndpointHeaders.FENCING, order.fencing.toString())
            .set(EndpointHeaders.PRIORITY, order.priority.toString())
        order.version?.let { headers.set(EndpointHeaders.ADAPTER_VERSION, it.toString()) }
        return request.withHeaders(headers)
    }

    private fun relayBuffered(dispatch: RunningDispatch, response: HttpResponse) {
        val future = response.aggregate()
        dispatch.exchange.cancelDispatch = { future.cancel(true) }
        future.handle { aggregated, error ->
            when {
                aggregated != null -> dispatch.completion.complete(
                    bufferedEnd(dispatch.order, aggregated, System.nanoTime() - dispatch.startNanos),
                )
                dispatch.exchange.callerDisconnected -> dispatch.completion.complete(DispatchEnd.Cancelled(0))
                else -> dispatch.completion.complete(transportFailure(error, 0, reachedCaller = false))
            }
        }
    }

    private fun bufferedEnd(order: DispatchOrder, response: AggregatedHttpResponse, nanos: Long): DispatchEnd {
        val fault = headerFault(order, response.headers())
        if (fault != null) return fault
        val type = response.contentType()?.toString() ?: MediaType.OCTET_STREAM.toString()
        val recorded = RecordedAnswer.of(response.status().code(), type, response.content().array())
        if (order.version == null) return DispatchEnd.Completed(0, recorded, nanos)
        val json = parseObject(response.contentUtf8())
            ?: return DispatchEnd.Failed("expected a JSON object from ${order.endpoint}, but the body is not", 0, false)
        return DispatchEnd.Completed(Usage.of(json)?.totalTokens ?: DispatchEnd.UNKNOWN_USAGE, recorded, nanos)
    }

    private fun relayStream(dispatch: RunningDispatch, response: HttpResponse) {
        val split = response.split()
        dispatch.exchange.cancelDispatch = { split.body().abort() }
        split.headers().handle { headers, error ->
            val fault = if (headers == null) transportFailure(error, 0, false) else headerFault(dispatch.order, headers)
            if (fault != null) {
                split.body().abort()
                dispatch.completion.complete(
                    if (dispatch.exchange.callerDisconnected) DispatchEnd.Cancelled(0) else fault,
                )
            } else {
                split.body().subscribe(StreamRelay(dispatch.exchange, dispatch.completion, dispatch.startNanos))
            }
        }
    }

    private fun headerFault(order: DispatchOrder, headers: ResponseHeaders): DispatchEnd? {
        val status = headers.status().code()
        val where = "from ${order.endpoint}"
        if (!isStatusCode(status.toString())) return DispatchEnd.Failed("invalid status $status $where", 0, false)
        if (order.version != null && status in NOT_RUN_STATUSES) return DispatchEnd.NotRun("status $status $where")
        if (headers.get(EndpointHeaders.DISPATCH_ID) != order.dispatch) {
            val receivedId = headers.get(EndpointHeaders.DISPATCH_ID)
            return DispatchEnd.Failed("expected dispatch ${order.dispatch} $where, but came $receivedId", 0, false)
        }
        val version = order.version ?: return null
        if (!headers.status().isSuccess) return DispatchEnd.Failed("status $status $where", 0, false)
        val served = headers.get(EndpointHeaders.ADAPTER_VERSION)
        if (served == version.toString()) return null
        return DispatchEnd.Failed("expected adapter $version $where, but came $served", 0, false)
    }

    private class RunningDispatch(
        val order: DispatchOrder,
        val exchange: Exchange,
        val completion: DispatchCompletion,
        val startNanos: Long,
    )

    private companion object {
        const val RESPONSE_TIMEOUT_SECONDS = 600L

        // The owner of an endpoint treats an order without a response as lost after the same time.
        const val ORDER_TIMEOUT_SECONDS = 5L
        const val MAX_RESPONSE_BYTES = 16L shl 20

        // Engines return these before they run anything: adapter not resident, stale fencing token, overload.
        val NOT_RUN_STATUSES = setOf(404, 409, 429, 503)
    }
}

/** Reports the end of a dispatch once; ends that follow the first are ignored. */
internal class DispatchCompletion(private val onEnd: (DispatchEnd) -> Unit) {
    private val completed = java.util.concurrent.atomic.AtomicBoolean()

    fun complete(end: DispatchEnd) {
        if (completed.compareAndSet(false, true)) onEnd(end)
    }
}

internal fun transportFailure(error: Throwable?, usedTokens: Long, reachedCaller: Boolean): DispatchEnd {
    val reason = error?.let { "${it.javaClass.simpleName}: ${it.message}" } ?: "no answer"
    return if (error is UnprocessedRequestException || error?.cause is UnprocessedRequestException) {
        DispatchEnd.NotRun(reason)
    } else {
        DispatchEnd.Failed(reason, usedTokens, reachedCaller)
    }
}

internal fun parseObject(text: String): JsonObject? =
    runCatching { Json.parseToJsonElement(text) as? JsonObject }.getOrNull()
