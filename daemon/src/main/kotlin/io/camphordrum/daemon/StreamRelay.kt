package io.camphordrum.daemon

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponseWriter
import io.camphordrum.core.DispatchEnd
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription
import java.io.ByteArrayOutputStream

/**
 * Relays server-sent events from an endpoint to a caller, one whole event at a time.
 *
 * The stream is complete only after the event `[DONE]`. Events are relayed whole, so that an error event can follow at
 * any point. Backpressure from the caller's connection limits the reads from the endpoint.
 */
internal class StreamRelay(
    private val exchange: Exchange,
    private val completion: DispatchCompletion,
    private val startNanos: Long,
) : Subscriber<HttpData> {
    private lateinit var subscription: Subscription
    private val pendingEvent = ByteArrayOutputStream()
    private var writer: HttpResponseWriter? = null
    private var consecutiveNewlines = 0
    private var eventCount = 0L
    private var usedTokens = DispatchEnd.UNKNOWN_USAGE
    private var firstTokenNanos = 0L
    private var doneReceived = false

    override fun onSubscribe(s: Subscription) {
        subscription = s
        s.request(1)
    }

    override fun onNext(data: HttpData) {
        val bytes = data.array()
        for (byte in bytes) {
            pendingEvent.write(byte.toInt())
            if (completesEvent(byte)) relayEvent()
        }
        if (pendingEvent.size() > MAX_EVENT_BYTES) return failOversizedEvent()
        val stream = writer
        if (stream == null) {
            subscription.request(1)
        } else {
            stream.whenConsumed().handle { _, error ->
                if (error ==
                    null
                ) {
                    subscription.request(1)
                } else {
                    onCallerDisconnect()
                }
            }
        }
    }

    override fun onError(t: Throwable) {
        if (exchange.callerDisconnected) onCallerDisconnect() else fail("${t.javaClass.simpleName}: ${t.message}")
    }

    override fun onComplete() {
        if (!doneReceived) return fail("the stream ended before [DONE]")
        writer?.close()
        completion.complete(DispatchEnd.Completed(usedTokens, null, firstTokenNanos))
    }

    // An event ends with an empty line; carriage returns before a newline are allowed.
    private fun completesEvent(byte: Byte): Boolean {
        when (byte) {
            NEWLINE -> consecutiveNewlines++
            CARRIAGE_RETURN -> Unit
            else -> consecutiveNewlines = 0
        }
        return consecutiveNewlines == 2
    }

    private fun relayEvent() {
        val text = pendingEvent.toString(Charsets.UTF_8)
        pendingEvent.reset()
        consecutiveNewlines = 0
        val payload = text.trim().removePrefix("data:").trim()
        if (payload == "[DONE]") {
            doneReceived = true
        } else {
            val json = parseObject(payload) ?: return
            if (eventCount++ == 0L) firstTokenNanos = System.nanoTime() - startNanos
            Usage.of(json)?.let { usedTokens = it.totalTokens }
        }
        val stream = writer ?: exchange.openStream().also { writer = it }
        if (!stream.tryWrite(HttpData.ofUtf8(text))) onCallerDisconnect()
    }

    private fun failOversizedEvent() {
        subscription.cancel()
        fail("expected events of at most $MAX_EVENT_BYTES bytes, but one is longer")
    }

    private fun fail(reason: String) = completion.complete(DispatchEnd.Failed(reason, eventCount, writer != null))

    private fun onCallerDisconnect() {
        subscription.cancel()
        completion.complete(DispatchEnd.Cancelled(maxOf(eventCount, usedTokens)))
    }

    private companion object {
        const val MAX_EVENT_BYTES = 1 shl 20
        const val NEWLINE = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
