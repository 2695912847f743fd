package io.camphordrum.daemon.edge

import io.camphordrum.core.EndpointId
import io.camphordrum.core.serving.Placement
import io.camphordrum.core.serving.RefuseReason
import io.camphordrum.core.serving.Repetition
import io.camphordrum.core.serving.Work
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.util.concurrent.Future
import java.util.concurrent.TimeUnit

/**
 * Forwards one request to an endpoint and its answer to the caller, and retries only where the route permits it.
 *
 * A request that must not be repeated is retried only after an endpoint stated that it has not run. The daemon itself
 * answers 503 only while no endpoint can have run the request; afterwards it answers 502 or 504, which state nothing
 * about whether the request has run.
 */
internal class Forwarding(
    internal val forwarder: Forwarder,
    internal val exchange: CallerExchange,
    internal val request: CallerRequest,
    internal val work: Work,
) {
    private val core = forwarder.core
    private val tried = HashSet<EndpointId>()
    private val loadFailed = HashSet<EndpointId>()
    private val turnDenied = HashSet<EndpointId>()
    private val resumable = work.route.repetition == Repetition.RESUMABLE
    internal val events =
        if (work.route.streaming) EventStream(request.lastEventId.takeIf { resumable }) else null

    /** Head of the answer that was started for the caller; null before that. */
    internal var startedHead: AnswerHead? = null
    private var sends = 0
    internal var possibleRuns = 0
        private set
    private var loadWaits = 0
    private var turnRequests = 0
    private var run: EndpointRun? = null
    private var cancelWait: () -> Unit = {}
    private var finished = false
    private var hasTrial = false
    internal val partTimes = PartTimes()
    private lateinit var deadline: Future<*>

    fun start() {
        forwarder.opened(this)
        exchange.onDisconnect = ::callerDisconnected
        exchange.onWritable = { run?.send?.setReading(true) }
        deadline = forwarder.loop.schedule(::deadlineExpired, work.deadlineNanos - now(), TimeUnit.NANOSECONDS)
        placeRequest()
    }

    internal fun now() = forwarder.clock.nanos()

    private fun placeRequest() {
        if (finished) return
        if (!forwarder.endsBeforeStop(request, work)) {
            refuse(RefuseReason.STOPPING, STOPPING_RETRY_MILLIS)
            return
        }
        if (!hasTrial && core.prompts.block(work) == null && core.prompts.needsTrial(work)) {
            awaitTrial()
            return
        }
        when (val placement = core.place(now(), work, tried + turnDenied, loadFailed)) {
            is Placement.Send -> awaitTurn(placement)
            is Placement.AwaitAdapter -> awaitAdapter(placement)
            is Placement.Refuse -> refuse(placement.reason, placement.retryMillis, placement)
        }
    }

    // A request that was cut off may have crashed its endpoint, so it is not sent again while a part is suspected.
    private fun awaitTrial() {
        if (possibleRuns > 0) {
            failRequest("suspected_prompt")
            return
        }
        var decided = false
        val cancel = core.prompts.awaitTrial(now(), work) { granted ->
            decided = true
            cancelWait = {}
            hasTrial = granted
            forwarder.loop.execute { if (granted) placeRequest() else refuse(RefuseReason.BUSY, RETRY_MILLIS) }
        }
        if (!decided) cancelWait = cancel
    }

    /** Ends the request if its prompt has become blocked and its answer has not begun. */
    fun endIfBlocked() {
        if (finished || core.prompts.block(work) == null) return
        val current = run?.takeIf { !it.closed }
        if (current == null) {
            cancelWait()
            cancelWait = {}
            placeRequest()
        } else if (!current.hasBegun) {
            current.cancel()
            failRequest("blocked_prompt")
        }
    }

    private fun awaitAdapter(placement: Placement.AwaitAdapter) {
        if (++loadWaits > MAX_LOAD_WAITS) {
            refuse(RefuseReason.NO_PLACE, RETRY_MILLIS)
            return
        }
        cancelWait = core.awaitAdapter(now(), work, placement.endpoint) { loaded ->
            if (!loaded) loadFailed += placement.endpoint
            forwarder.loop.execute(::placeRequest)
        }
    }

    private fun awaitTurn(placement: Placement.Send) {
        if (++turnRequests > MAX_TURN_REQUESTS) {
            refuse(RefuseReason.BUSY, RETRY_MILLIS)
            return
        }
        var decided = false
        val cancel = core.awaitTurn(now(), work, placement.endpoint) { granted ->
            decided = true
            cancelWait = {}
            if (!granted) turnDenied += placement.endpoint
            if (granted) sendAfterTurn(placement) else forwarder.loop.execute(::placeRequest)
        }
        if (!decided) cancelWait = cancel
    }

    // The endpoint may have changed since the turn was requested.
    private fun sendAfterTurn(placement: Placement.Send) {
        if (finished) return
        val mayStillSend = forwarder.endsBeforeStop(request, work) && core.stillServes(now(), work, placement.endpoint)
        if (mayStillSend) send(placement) else placeRequest()
    }

    private fun send(placement: Placement.Send) {
        val now = now()
        if (sends > 0 && (sends > MAX_SENDS || !core.tryAcquireRetry(now, work.service))) {
            refuse(RefuseReason.TURNED_AWAY, RETRY_MILLIS)
            return
        }
        sends++
        core.recordSend(now, work, placement.endpoint)
        val remainingMillis = maxOf(1, (work.deadlineNanos - now) / NANOS_PER_MILLI)
        events?.startRun()
        val next = EndpointRun(this, placement, now)
        run = next
        val headRequest = exchange.head.method == "HEAD"
        val bytes = encodeRequest(placement, remainingMillis)
        next.send = forwarder.connections.send(placement.address, bytes, headRequest, next, id = request.id)
    }

    private fun encodeRequest(placement: Placement.Send, remainingMillis: Long): ByteBuf {
        val headers = DefaultHttpHeaders(false)
        forwarder.protocol
            .writeForwardedHeaders(exchange.head, work, placement, remainingMillis, events?.resumeId, headers)
        return requestBytes(exchange.head, headers, exchange.body)
    }

    /** Takes back a send that did not reach its endpoint. */
    internal fun undoSend() {
        sends--
        turnRequests--
    }

    /** Retries the request if its route, progress and deadline permit it; otherwise sends the final answer. */
    internal fun retryOrFail(endpoint: EndpointId, mayHaveRun: Boolean, reason: String) {
        tried += endpoint
        if (mayHaveRun) {
            possibleRuns++
            hasTrial = false
        }
        val repeatable = !mayHaveRun || work.route.repetition != Repetition.FORBIDDEN
        val continuable = !exchange.headWritten || (resumable && events?.resumeId != null)
        val withinLimits = possibleRuns < work.route.maxEndpoints && now() < work.deadlineNanos
        if (repeatable && continuable && withinLimits) placeRequest() else failRequest(reason)
    }

    private fun refuse(reason: RefuseReason, retryMillis: Long, placement: Placement.Refuse? = null) {
        if (possibleRuns > 0 || exchange.headWritten) {
            failRequest("gave_up_${reason.name.lowercase()}")
            return
        }
        if (!finish()) return
        core.refund(work)
        val bestFields = mapOf(
            "turns" to turnRequests,
            "bestEndpoint" to placement?.endpoint?.name,
            "bestMillis" to placement?.expectedMillis?.toLong(),
            "promptTokens" to work.promptTokens,
        )
        forwarder.refuseUnavailable(exchange, request, reason, retryMillis, fields() + bestFields)
    }

    private fun failRequest(reason: String) {
        if (!finish()) return
        forwarder.metrics.answers.labelValues("broken").inc()
        EdgeLog.write("broken", fields() + mapOf("why" to reason, "begun" to exchange.headWritten))
        if (exchange.headWritten) exchange.abort() else answerOwn(Own.BROKEN)
    }

    private fun deadlineExpired() {
        if (finished) return
        val current = run
        current?.cancel()
        if (!finish()) return
        forwarder.metrics.answers.labelValues("timeout").inc()
        EdgeLog.write("timeout", fields() + mapOf("begun" to exchange.headWritten, "waitedForLoad" to loadWaits))
        when {
            exchange.headWritten -> exchange.abort()
            current != null || possibleRuns > 0 -> answerOwn(Own.TIMEOUT)
            else -> {
                core.refund(work)
                forwarder.refuseUnavailable(exchange, request, RefuseReason.BUSY, RETRY_MILLIS, fields())
            }
        }
    }

    /** Ends the request because this daemon stops now. */
    fun endForStop() {
        if (finished) return
        val current = run?.takeIf { !it.closed }
        current?.cancel()
        if (current != null || possibleRuns > 0 || exchange.headWritten) {
            failRequest("stopping")
        } else {
            refuse(RefuseReason.STOPPING, STOPPING_RETRY_MILLIS)
        }
    }

    private fun callerDisconnected() {
        if (!finish()) return
        val mayHaveRun = run != null || possibleRuns > 0
        run?.cancel()
        if (!mayHaveRun) core.refund(work)
        forwarder.metrics.answers.labelValues("caller_gone").inc()
        EdgeLog.write("caller_gone", fields())
    }

    private fun answerOwn(own: Own) {
        exchange.answer(own.status, own.reason, forwarder.protocol.ownHeaders(request, null), Unpooled.EMPTY_BUFFER)
    }

    internal fun finish(): Boolean {
        if (finished) return false
        finished = true
        forwarder.closed(this)
        deadline.cancel(false)
        cancelWait()
        if (hasTrial) core.prompts.releaseTrial(work)
        return true
    }

    internal fun fields(): Map<String, Any?> = mapOf(
        "id" to request.id,
        "route" to work.route.name,
        "service" to work.service,
        "account" to work.account,
        "adapter" to work.adapter,
        "endpoint" to run?.placement?.endpoint?.name,
        "expectedMillis" to run?.placement?.expectedMillis?.toLong(),
        "sends" to sends,
        "loads" to loadWaits,
        "ageMillis" to (now() - work.arrivedNanos) / NANOS_PER_MILLI,
        "config" to core.config?.version,
    )

    internal fun forwardedHeaders(answer: AnswerHead): List<Pair<String, String>> {
        val hopByHop = hopByHopHeaders(answer.headers)
        return answer.headers.entries()
            .filter { it.key.lowercase() !in hopByHop && forwarder.protocol.isForwardedToCaller(it.key) }
            .map { it.key to it.value }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        // Sends after the first, including those that an endpoint turned away; each uses the fleet's retry budget.
        const val MAX_SENDS = 3

        // Waits for an adapter at different endpoints before the request is refused.
        const val MAX_LOAD_WAITS = 3

        // Turns requested from endpoints before the request is refused.
        const val MAX_TURN_REQUESTS = 4
        const val RETRY_MILLIS = 300L

        // Another instance can serve the request at once.
        const val STOPPING_RETRY_MILLIS = 50L
    }
}
