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
 * The stream is complete only when the event `[DONE]` has come. Events are relayed whole, so that an error event can
 * follow at any point. The caller's connection sets the pace.
 */
internal class StreamRelay(
    private val exchange: Exchange,
    private val once: OneEnd,
    private val startNanos: Long,
) : Subscriber<HttpData> {
    private lateinit var subscription: Subscription
    private val pending = ByteArrayOutputStream()
    private var writer: HttpResponseWriter? = null
    private var newlines = 0
    private var events = 0L
    private var usedTokens = DispatchEnd.UNKNOWN_USAGE
    private var firstTokenNanos = 0L
    private var done = false

    override fun onSubscribe(s: Subscription) {
        subscription = s
        s.request(1)
    }

    override fun onNext(data: HttpData) {
        val bytes = data.array()
        for (byte in bytes) {
            pending.write(byte.toInt())
            if (endsEvent(byte)) event()
        }
        if (pending.size() > MAX_EVENT_BYTES) return tooLong()
        val stream = writer
        if (stream == null) {
            subscription.request(1)
        } else {
            stream.whenConsumed().handle { _, error -> if (error == null) subscription.request(1) else callerLeft() }
        }
    }

    override fun onError(t: Throwable) {
        if (exchange.callerGone) callerLeft() else broken("${t.javaClass.simpleName}: ${t.message}")
    }

    override fun onComplete() {
        if (!done) return broken("the stream ended before [DONE]")
        writer?.close()
        once.end(DispatchEnd.Completed(usedTokens, null, firstTokenNanos))
    }

    // An event ends with an empty line; carriage returns before a newline are allowed.
    private fun endsEvent(byte: Byte): Boolean {
        when (byte) {
            NEWLINE -> newlines++
            RETURN -> Unit
            else -> newlines = 0
        }
        return newlines == 2
    }

    private fun event() {
        val text = pending.toString(Charsets.UTF_8)
        pending.reset()
        newlines = 0
        val payload = text.trim().removePrefix("data:").trim()
        if (payload == "[DONE]") {
            done = true
        } else {
            val json = parseObject(payload) ?: return
            if (events++ == 0L) firstTokenNanos = System.nanoTime() - startNanos
            Usage.of(json)?.let { usedTokens = it.totalTokens }
        }
        val stream = writer ?: exchange.open().also { writer = it }
        if (!stream.tryWrite(HttpData.ofUtf8(text))) callerLeft()
    }

    private fun tooLong() {
        subscription.cancel()
        broken("expected events of at most $MAX_EVENT_BYTES bytes, but one is longer")
    }

    private fun broken(reason: String) = once.end(DispatchEnd.Failed(reason, events, writer != null))

    private fun callerLeft() {
        subscription.cancel()
        once.end(DispatchEnd.Cancelled(maxOf(events, usedTokens)))
    }

    private companion object {
        const val MAX_EVENT_BYTES = 1 shl 20
        const val NEWLINE = '\n'.code.toByte()
        const val RETURN = '\r'.code.toByte()
    }
}
