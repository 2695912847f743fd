package io.camphordrum.daemon.edge

import io.camphordrum.core.EndpointId
import io.camphordrum.core.serving.Placement
import io.camphordrum.core.serving.RefuseReason
import io.camphordrum.core.serving.Repetition
import io.camphordrum.core.serving.RunEnd
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
    private val forwarder: Forwarder,
    private val exchange: CallerExchange,
    private val request: CallerRequest,
    private val work: Work,
) {
    private val core = forwarder.core
    private val tried = HashSet<EndpointId>()
    private val loadFailed = HashSet<EndpointId>()
    private val turnDenied = HashSet<EndpointId>()
    private val splitter = if (work.route.repetition == Repetition.RESUMABLE) EventSplitter() else null
    private var sends = 0
    private var possibleRuns = 0
    private var loadWaits = 0
    private var turnRequests = 0
    private var run: Run? = null
    private var cancelWait: () -> Unit = {}
    private var finished = false
    private val partTimes = PartTimes()
    private lateinit var deadline: Future<*>

    fun start() {
        forwarder.openRequests++
        exchange.onDisconnect = ::callerDisconnected
        exchange.onWritable = { run?.send?.setReading(true) }
        deadline = forwarder.loop.schedule(::deadlineExpired, work.deadlineNanos - now(), TimeUnit.NANOSECONDS)
        placeRequest()
    }

    private fun now() = forwarder.clock.nanos()

    private fun placeRequest() {
        if (finished) return
        when (val placement = core.place(now(), work, tried + turnDenied, loadFailed)) {
            is Placement.Send -> awaitTurn(placement)
            is Placement.AwaitAdapter -> awaitAdapter(placement)
            is Placement.Refuse -> refuse(placement.reason, placement.retryMillis, placement)
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
        if (core.stillServes(now(), work, placement.endpoint)) send(placement) else placeRequest()
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
        val next = Run(placement, now)
        run = next
        val headRequest = exchange.head.method == "HEAD"
        next.send =
            forwarder.connections.send(placement.address, encodeRequest(placement, remainingMillis), headRequest, next)
    }

    private fun encodeRequest(placement: Placement.Send, remainingMillis: Long): ByteBuf {
        val headers = DefaultHttpHeaders(false)
        forwarder.protocol
            .writeForwardedHeaders(exchange.head, work, placement, remainingMillis, splitter?.lastId, headers)
        return requestBytes(exchange.head, headers, exchange.body)
    }

    /** Retries the request if its route, progress and deadline permit it; otherwise sends the final answer. */
    private fun retryOrFail(endpoint: EndpointId, mayHaveRun: Boolean, reason: String) {
        tried += endpoint
        if (mayHaveRun) possibleRuns++
        val repeatable = !mayHaveRun || work.route.repetition != Repetition.FORBIDDEN
        val resumable = !exchange.headWritten || (splitter?.lastId != null)
        val withinLimits = possibleRuns < work.route.maxEndpoints && now() < work.deadlineNanos
        if (repeatable && resumable && withinLimits) placeRequest() else failRequest(reason)
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

    private fun callerDisconnected() {
        if (!finish()) return
        run?.cancel()
        forwarder.metrics.answers.labelValues("caller_gone").inc()
        EdgeLog.write("caller_gone", fields())
    }

    private fun answerOwn(own: Own) {
        exchange.answer(own.status, own.reason, forwarder.protocol.ownHeaders(request, null), Unpooled.EMPTY_BUFFER)
    }

    private fun finish(): Boolean {
        if (finished) return false
        finished = true
        forwarder.openRequests--
        deadline.cancel(false)
        cancelWait()
        splitter?.discardIncomplete()
        return true
    }

    private fun fields(): Map<String, Any?> = mapOf(
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

    private fun forwardedHeaders(answer: AnswerHead): List<Pair<String, String>> {
        val hopByHop = hopByHopHeaders(answer.headers)
        return answer.headers.entries()
            .filter { it.key.lowercase() !in hopByHop && forwarder.protocol.isForwardedToCaller(it.key) }
            .map { it.key to it.value }
    }

    /** Represents one send to one endpoint. */
    private inner class Run(val placement: Placement.Send, private val sentNanos: Long) : EndpointAnswerListener {
        lateinit var send: EndpointSend
        private var closed = false
        private var head: AnswerHead? = null
        private var classification: AnswerClassification? = null
        private var buffered: ByteBuf? = null
        private var unwantedBytes = 0
        private var firstPartNanos: Long? = null
        private val endpoint get() = placement.endpoint

        fun cancel() {
            if (closed) return
            recordEnd(RunEnd.CANCELLED)
            send.cancel()
        }

        override fun onUnreachable(reason: String) {
            if (closed) return
            recordEnd(RunEnd.SILENT)
            EdgeLog.write("unreachable", fields() + mapOf("why" to reason))
            sends--
            turnRequests--
            retryOrFail(endpoint, mayHaveRun = false, "unreachable: $reason")
        }

        override fun onHead(head: AnswerHead): Boolean {
            val classified = forwarder.protocol.classify(head, request)
            // Before any of the answer is forwarded, so that no other request is sent to the endpoint in between.
            forwarder.recordAvailability(
                head,
                endpoint,
                sentNanos,
                provesNoLimit =
                classified == AnswerClassification.PROPER,
            )
            if (classified == AnswerClassification.OTHER_REQUEST) {
                EdgeLog.write("other_answer", fields() + mapOf("status" to head.status))
                return false
            }
            this.head = head
            classification = classified
            if (classified == AnswerClassification.UNPROVEN) {
                recordEnd(RunEnd.FAILED)
                send.cancel()
                retryOrFail(endpoint, mayHaveRun = true, "unproven answer with status ${head.status}")
            } else if (classified == AnswerClassification.PROPER && retriesStatus(head.status)) {
                recordEnd(RunEnd.FAILED)
                send.cancel()
                retryOrFail(endpoint, mayHaveRun = true, "status ${head.status}")
            }
            return true
        }

        override fun onPart(part: ByteBuf) {
            val first = head
            if (closed || first == null || classification != AnswerClassification.PROPER) {
                unwantedBytes += part.readableBytes()
                part.release()
                if (!closed && unwantedBytes > MAX_UNWANTED_BYTES) cancelTurnedAway()
                return
            }
            if (firstPartNanos == null) firstPartNanos = now()
            if (work.route.streaming && first.status in SUCCESS) relay(first, part) else buffer(first, part)
        }

        override fun onComplete() {
            if (closed) return
            when (classification) {
                AnswerClassification.NOT_RUN, AnswerClassification.NOT_HERE -> handleTurnedAway()
                AnswerClassification.PROPER -> completeAnswer()
                else -> onBroken("the endpoint sent no answer to this request")
            }
        }

        override fun onBroken(reason: String) {
            if (closed) return
            if (classification == AnswerClassification.NOT_RUN || classification == AnswerClassification.NOT_HERE) {
                handleTurnedAway()
                return
            }
            EdgeLog.write("run_lost", fields() + lossFields(reason))
            core.recordLoss(now(), work, endpoint, firstPartNanos)
            recordEnd(if (head == null) RunEnd.SILENT else RunEnd.FAILED)
            retryOrFail(endpoint, mayHaveRun = true, reason)
        }

        private fun lossFields(reason: String): Map<String, Any?> = mapOf(
            "why" to reason,
            "parts" to work.promptParts,
            "headReceived" to (head != null),
            "sinceFirstPartMillis" to firstPartNanos?.let { (now() - it) / NANOS_PER_MILLI },
        )

        // The head already states that the request has not run; the rest of an oversized body is not needed.
        private fun cancelTurnedAway() {
            send.cancel()
            handleTurnedAway()
        }

        private fun handleTurnedAway() {
            val status = head?.status
            recordEnd(RunEnd.TURNED_AWAY)
            if (classification == AnswerClassification.NOT_HERE) core.recordAdapterMissing(work, endpoint)
            EdgeLog.write("turned_away", fields() + mapOf("status" to status))
            retryOrFail(endpoint, mayHaveRun = false, "turned away with status $status")
        }

        private fun retriesStatus(status: Int): Boolean = status >= SERVER_ERROR &&
            !exchange.headWritten &&
            work.route.repetition == Repetition.ALLOWED &&
            possibleRuns + 1 < work.route.maxEndpoints

        private fun relay(first: AnswerHead, part: ByteBuf) {
            val now = now()
            if (exchange.headWritten) core.recordEventGap(work, partTimes.recordNext(now) / 1e6) else startAnswer(first)
            val events = splitter?.append(part) ?: part
            if (!exchange.write(events)) send.setReading(false)
        }

        private fun startAnswer(first: AnswerHead) {
            val now = now()
            partTimes.recordFirst(now)
            core.recordFirstPart(work, endpoint, placement.expectedMillis, (now - sentNanos) / 1e6)
            forwarder.metrics.firstPart.observe((now - work.arrivedNanos) / 1e9)
            exchange.startAnswer(first.status, first.reason, forwardedHeaders(first))
        }

        private fun buffer(first: AnswerHead, part: ByteBuf) {
            val bytes = buffered ?: Unpooled.buffer(part.readableBytes()).also { buffered = it }
            bytes.writeBytes(part)
            part.release()
            if (bytes.readableBytes() > forwarder.settings.maxBufferedAnswerBytes) {
                // Too large to buffer completely; from here on a failure closes the caller's connection.
                if (!exchange.headWritten) startAnswer(first)
                buffered = null
                if (!exchange.write(bytes)) send.setReading(false)
            }
        }

        private fun completeAnswer() {
            val first = head ?: return
            recordEnd(if (first.status >= SERVER_ERROR) RunEnd.FAILED else RunEnd.COMPLETE)
            if (!finish()) return
            forwarder.metrics.answers.labelValues(if (first.status in SUCCESS) "served" else "failed_by_endpoint").inc()
            val firstMillis = (partTimes.firstNanos(now()) - work.arrivedNanos) / NANOS_PER_MILLI
            val pauseMillis = partTimes.longestPauseNanos / NANOS_PER_MILLI
            val late = firstMillis > work.route.targetMillis || pauseMillis > (work.route.pauseMillis ?: Long.MAX_VALUE)
            EdgeLog.writeServed(late) {
                fields() + mapOf(
                    "status" to first.status,
                    "sentAfterMillis" to (sentNanos - work.arrivedNanos) / NANOS_PER_MILLI,
                    "firstPartMillis" to firstMillis,
                    "longestPauseMillis" to pauseMillis,
                    "promptTokens" to work.promptTokens,
                )
            }
            if (exchange.headWritten) {
                splitter?.remainder()?.let(exchange::write)
                buffered?.let(exchange::write)
                exchange.endAnswer()
            } else {
                val content = buffered ?: Unpooled.EMPTY_BUFFER
                forwarder.metrics.firstPart.observe((now() - work.arrivedNanos) / 1e9)
                exchange.answer(first.status, first.reason, forwardedHeaders(first), content)
            }
            buffered = null
        }

        private fun recordEnd(end: RunEnd) {
            if (closed) return
            closed = true
            forwarder.metrics.sends.labelValues(end.name.lowercase()).inc()
            core.recordRunEnd(now(), work, endpoint, end)
            if (end != RunEnd.COMPLETE) {
                buffered?.release()
                buffered = null
                splitter?.discardIncomplete()
            }
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val SERVER_ERROR = 500
        val SUCCESS = 200..299

        // Sends after the first, including those that an endpoint turned away; each uses the fleet's retry budget.
        const val MAX_SENDS = 3

        // Waits for an adapter at different endpoints before the request is refused.
        const val MAX_LOAD_WAITS = 3

        // Turns requested from endpoints before the request is refused.
        const val MAX_TURN_REQUESTS = 4
        const val RETRY_MILLIS = 300L

        // Bodies of refusals are short texts; a longer one is not read to its end.
        const val MAX_UNWANTED_BYTES = 64 * 1024
    }
}
