package io.camphordrum.daemon

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import io.camphordrum.core.DispatchOrder
import io.camphordrum.core.Ran
import io.camphordrum.core.Refusal
import io.camphordrum.core.once.RecordedAnswer
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import java.util.concurrent.CompletableFuture

/**
 * Holds the response to one request of a caller until it is complete.
 *
 * @property endpointRequest builds the request that an endpoint receives; it never contains the caller's key.
 * @property streaming whether the caller requested server-sent events.
 */
class Exchange(val id: Long, val streaming: Boolean, val endpointRequest: (DispatchOrder) -> HttpRequest) {
    private val responseFuture = CompletableFuture<HttpResponse>()
    private var writer: HttpResponseWriter? = null

    /** Response to the caller; completes with a refusal, a whole answer or a stream. */
    val response: HttpResponse = HttpResponse.of(responseFuture)

    /** Cancels the current dispatch; replaced with every dispatch. */
    @Volatile
    var cancelDispatch: () -> Unit = {}

    /** Whether the caller has closed its connection or stream. */
    @Volatile
    var callerDisconnected = false

    /** Ends the exchange with a refusal; a started stream receives an error event. */
    @Synchronized
    fun refuse(refusal: Refusal) {
        val stream = writer
        if (stream == null) {
            responseFuture.complete(errorResponse(refusal))
        } else if (stream.isOpen) {
            stream.tryWrite(HttpData.ofUtf8("event: error\ndata: ${errorBody(refusal)}\n\n"))
            stream.close()
        }
    }

    /** Ends the exchange with a whole answer, [recorded]. */
    @Synchronized
    fun complete(recorded: RecordedAnswer) {
        val type = MediaType.parse(recorded.contentType)
        responseFuture.complete(
            HttpResponse.of(HttpStatus.valueOf(recorded.status), type, HttpData.wrap(recorded.body())),
        )
    }

    /** Returns the stream of server-sent events to the caller; starts it on the first call. */
    @Synchronized
    fun openStream(): HttpResponseWriter {
        writer?.let { return it }
        val stream = HttpResponse.streaming()
        stream.write(ResponseHeaders.of(HttpStatus.OK, HttpHeaderNames.CONTENT_TYPE, "text/event-stream"))
        writer = stream
        responseFuture.complete(stream)
        return stream
    }
}

/** Returns the JSON body that describes [refusal]. */
fun errorBody(refusal: Refusal): JsonObject = buildJsonObject {
    putJsonObject("error") {
        put("code", refusal.code.code)
        put("message", refusal.message)
        put("ran", if (refusal.ran == Ran.NO) "no" else "unknown")
        refusal.retryAfterMillis?.let { put("retryAfterMs", it) }
    }
}

/** Returns the HTTP response that describes [refusal], with `Retry-After` in whole seconds if it has a delay. */
fun errorResponse(refusal: Refusal): HttpResponse {
    val headers = ResponseHeaders.builder(refusal.code.status).contentType(MediaType.JSON_UTF_8)
    refusal.retryAfterMillis?.let { headers.set(HttpHeaderNames.RETRY_AFTER, ((it + 999) / 1000).toString()) }
    return HttpResponse.of(headers.build(), HttpData.ofUtf8(errorBody(refusal).toString()))
}
