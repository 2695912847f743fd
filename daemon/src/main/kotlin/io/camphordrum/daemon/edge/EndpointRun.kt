package io.camphordrum.daemon.edge

import io.camphordrum.core.serving.Placement
import io.camphordrum.core.serving.Repetition
import io.camphordrum.core.serving.RunEnd
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames

/** Represents one send to one endpoint. */
internal class EndpointRun(
    private val forwarding: Forwarding,
    val placement: Placement.Send,
    private val sentNanos: Long,
) : EndpointAnswerListener {
    private val forwarder = forwarding.forwarder
    private val sentEpochMillis = forwarder.clock.epochMillis()
    private val core = forwarder.core
    private val exchange = forwarding.exchange
    private val work = forwarding.work
    private val events = forwarding.events
    private val partTimes = forwarding.partTimes
    lateinit var send: EndpointSend
    var closed = false
        private set
    val hasBegun get() = firstPartNanos != null
    private var head: AnswerHead? = null
    private var classification: AnswerClassification? = null
    private var buffered: ByteBuf? = null
    private var unwantedBytes = 0
    private var firstPartNanos: Long? = null
    private var provedSound = false
    private var witness: EndpointWitnesses.Lease? = null
    private val memory = forwarder.connections.answerMemory.share(placement.address)

    // Whether this run continues an answer that an earlier run began.
    private val continues = exchange.headWritten

    // The caller's stream if this answer consists of its events.
    private val stream get() = events?.takeIf { head?.let { it.status in SUCCESS && it.isEventStream() } == true }
    private val endpoint get() = placement.endpoint

    fun cancel() {
        if (closed) return
        recordEnd(RunEnd.CANCELLED)
        send.cancel()
    }

    override fun onUnreachable(reason: String) {
        if (closed) return
        recordEnd(RunEnd.SILENT)
        EdgeLog.write("unreachable", forwarding.fields() + mapOf("why" to reason))
        forwarding.undoSend()
        forwarding.retryOrFail(endpoint, mayHaveRun = false, "unreachable: $reason")
    }

    override fun onHead(head: AnswerHead): Boolean {
        val classified = forwarder.protocol.classify(head, forwarding.request)
        // Before any of the answer is forwarded, so that no other request is sent to the endpoint in between.
        forwarder.recordAvailability(
            head,
            endpoint,
            sentNanos,
            answersRequest =
            classified == AnswerClassification.PROPER,
        )
        if (classified == AnswerClassification.OTHER_REQUEST) {
            EdgeLog.write("other_answer", forwarding.fields() + mapOf("status" to head.status))
            return false
        }
        this.head = head
        classification = classified
        if (classified == AnswerClassification.UNPROVEN) {
            recordEnd(RunEnd.FAILED)
            send.cancel()
            forwarding.retryOrFail(endpoint, mayHaveRun = true, "unproven answer with status ${head.status}")
        } else if (classified == AnswerClassification.PROPER && continues && !isContinuation(head)) {
            breakOff("no continuation: status ${head.status}, type ${head.headers.get(HttpHeaderNames.CONTENT_TYPE)}")
        } else if (classified == AnswerClassification.PROPER && retriesStatus(head.status)) {
            recordEnd(RunEnd.FAILED)
            send.cancel()
            forwarding.retryOrFail(endpoint, mayHaveRun = true, "status ${head.status}")
        } else if (classified == AnswerClassification.PROPER && !head.framed) {
            witness = forwarder.observe(work, placement)
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
        recordProgress()
        stream?.let { relay(first, it, part) } ?: buffer(first, part)
        if (!closed) memory.resize(heldBytes())?.let(::breakOff)
    }

    private fun heldBytes(): Long =
        exchange.unsentBytes + (buffered?.readableBytes() ?: 0) + (events?.heldBytes ?: 0)

    override fun onComplete(end: AnswerEnd) {
        if (closed) return
        when (classification) {
            AnswerClassification.NOT_RUN, AnswerClassification.NOT_HERE -> handleTurnedAway()
            AnswerClassification.PROPER -> {
                val fault = stream?.endFault(eventNeeded = continues || end == AnswerEnd.CLOSED)
                when {
                    fault != null -> onBroken(fault)
                    end == AnswerEnd.CLOSED -> completeIfWhole()
                    else -> {
                        if (continues) logEnd("framed")
                        completeAnswer()
                    }
                }
            }
            else -> onBroken("the endpoint sent no answer to this request")
        }
    }

    // The connections of an endpoint that crashes end in the same way as an answer without a length.
    private fun completeIfWhole() {
        val lease = witness
        if (lease == null) {
            endUnframed(LifeProof.Unproved("no way to ask the endpoint"))
        } else {
            lease.prove(wasSentJustNow(), ::endUnframed)
        }
    }

    // The monotonic clock stands still while the machine is suspended, and the wall clock may jump.
    private fun wasSentJustNow(): Boolean {
        val monotonicMillis = (forwarding.now() - sentNanos) / NANOS_PER_MILLI
        val wallMillis = forwarder.clock.epochMillis() - sentEpochMillis
        return monotonicMillis <= MIN_RESTART_MILLIS && wallMillis in 0..MIN_RESTART_MILLIS
    }

    private fun endUnframed(proof: LifeProof) {
        if (closed) return
        logEnd("closed", proof)
        when (proof) {
            LifeProof.Alive -> completeAnswer()
            is LifeProof.Unproved -> onBroken("the end of an answer without a length is not proved: ${proof.reason}")
        }
    }

    override fun onBroken(reason: String) {
        if (closed) return
        if (classification == AnswerClassification.NOT_RUN || classification == AnswerClassification.NOT_HERE) {
            handleTurnedAway()
            return
        }
        EdgeLog.write("run_lost", forwarding.fields() + lossFields(reason))
        core.prompts.recordLoss(forwarding.now(), work, endpoint, sentNanos, firstPartNanos)
        recordEnd(if (head == null) RunEnd.SILENT else RunEnd.FAILED)
        forwarding.retryOrFail(endpoint, mayHaveRun = true, reason)
    }

    // Ends that decide whether the caller sees a complete answer, and that are rare enough to be logged each time.
    private fun logEnd(framing: String, proof: LifeProof? = null) {
        forwarder.metrics.answerEnds.labelValues(framing, if (continues) "continued" else "first").inc()
        val fields = mapOf(
            "status" to head?.status,
            "framing" to framing,
            "continues" to continues,
            "lastEventId" to events?.lastId,
            "provedWhole" to (proof !is LifeProof.Unproved),
            "why" to (proof as? LifeProof.Unproved)?.reason,
        )
        EdgeLog.write("answer_end", forwarding.fields() + fields)
    }

    private fun recordProgress() {
        val now = forwarding.now()
        val begun = firstPartNanos ?: now.also { firstPartNanos = it }
        if (!provedSound && now - begun >= WELL_UNDER_WAY_NANOS) recordSound(begun)
    }

    private fun recordSound(begunNanos: Long) {
        if (provedSound) return
        provedSound = true
        core.prompts.recordSoundAnswer(forwarding.now(), work, begunNanos)
    }

    private fun lossFields(reason: String): Map<String, Any?> = mapOf(
        "why" to reason,
        "parts" to work.promptParts,
        "headReceived" to (head != null),
        "sinceFirstPartMillis" to firstPartNanos?.let { (forwarding.now() - it) / NANOS_PER_MILLI },
    )

    // The head already states that the request has not run; the rest of an oversized body is not needed.
    private fun cancelTurnedAway() {
        send.cancel()
        handleTurnedAway()
    }

    private fun handleTurnedAway() {
        val status = head?.status
        val end = when {
            classification == AnswerClassification.NOT_HERE -> RunEnd.NOT_HERE
            status == TOO_MANY_REQUESTS -> RunEnd.RATE_LIMITED
            else -> RunEnd.TURNED_AWAY
        }
        recordEnd(end)
        if (classification == AnswerClassification.NOT_HERE) core.recordAdapterMissing(work, endpoint)
        EdgeLog.write("turned_away", forwarding.fields() + mapOf("status" to status))
        forwarding.retryOrFail(endpoint, mayHaveRun = false, "turned away with status $status")
    }

    private fun retriesStatus(status: Int): Boolean = status >= SERVER_ERROR &&
        !exchange.headWritten &&
        work.route.repetition == Repetition.ALLOWED &&
        forwarding.possibleRuns + 1 < work.route.maxEndpoints

    // An answer that is not the rest of the caller's stream must neither be written into it nor end it.
    private fun isContinuation(head: AnswerHead): Boolean {
        val first = forwarding.startedHead ?: return false
        val losesType = first.headers.contains(HttpHeaderNames.CONTENT_TYPE) &&
            !head.headers.contains(HttpHeaderNames.CONTENT_TYPE)
        return head.status == first.status && head.isEventStream() && !losesType
    }

    private fun breakOff(reason: String) {
        EdgeLog.write("run_lost", forwarding.fields() + lossFields(reason))
        recordEnd(RunEnd.FAILED)
        send.cancel()
        forwarding.retryOrFail(endpoint, mayHaveRun = true, reason)
    }

    private fun relay(first: AnswerHead, stream: EventStream, part: ByteBuf) {
        val whole = stream.append(part)
        if (whole.isReadable) {
            if (exchange.headWritten) {
                core.recordEventGap(forwarding.now(), work, endpoint, partTimes.recordNext(forwarding.now()) / 1e6)
            } else {
                startAnswer(first)
            }
        }
        if (!exchange.write(whole)) send.setReading(false)
        stream.fault?.let(::breakOff)
    }

    private fun startAnswer(first: AnswerHead) {
        val now = forwarding.now()
        partTimes.recordFirst(now)
        core.recordFirstPart(now, work, endpoint, placement.expectedMillis, (now - sentNanos) / 1e6)
        forwarder.metrics.firstPart.observe((now - work.arrivedNanos) / 1e9)
        observeExpected(now)
        forwarding.startedHead = first
        exchange.startAnswer(first.status, first.reason, forwarding.forwardedHeaders(first))
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
        if (first.status in SUCCESS && !exchange.headWritten) {
            core.recordPlainAnswer(forwarding.now(), work, endpoint, (forwarding.now() - sentNanos) / 1e6)
        }
        recordEnd(if (first.status >= SERVER_ERROR) RunEnd.FAILED else RunEnd.COMPLETE)
        if (first.status in SUCCESS) firstPartNanos?.let(::recordSound)
        if (!forwarding.finish()) return
        forwarder.metrics.answers.labelValues(if (first.status in SUCCESS) "served" else "failed_by_endpoint").inc()
        val firstMillis = (partTimes.firstNanos(forwarding.now()) - work.arrivedNanos) / NANOS_PER_MILLI
        if (first.status in SUCCESS) {
            val totalMillis = (forwarding.now() - work.arrivedNanos) / NANOS_PER_MILLI
            forwarder.answerTimes.record(work.route, forwarding.request.outputTokens, firstMillis, totalMillis)
        }
        val pauseMillis = partTimes.longestPauseNanos / NANOS_PER_MILLI
        val late = firstMillis > work.route.targetMillis || pauseMillis > (work.route.pauseMillis ?: Long.MAX_VALUE)
        EdgeLog.writeServed(late) {
            forwarding.fields() + mapOf(
                "status" to first.status,
                "sentAfterMillis" to (sentNanos - work.arrivedNanos) / NANOS_PER_MILLI,
                "firstPartMillis" to firstMillis,
                "longestPauseMillis" to pauseMillis,
                "promptTokens" to work.promptTokens,
            )
        }
        if (exchange.headWritten) {
            // Comments after the last event.
            stream?.remainder()?.let(exchange::write)
            buffered?.let(exchange::write)
            exchange.endAnswer()
        } else {
            val content = buffered ?: events?.remainder() ?: Unpooled.EMPTY_BUFFER
            forwarder.metrics.firstPart.observe((forwarding.now() - work.arrivedNanos) / 1e9)
            observeExpected(forwarding.now())
            exchange.answer(first.status, first.reason, forwarding.forwardedHeaders(first), content)
        }
        buffered = null
    }

    private fun observeExpected(now: Long) {
        val expectedMillis = placement.expectedMillis
        if (expectedMillis > 0) forwarder.metrics.expectedRatio.observe((now - sentNanos) / 1e6 / expectedMillis)
    }

    private fun recordEnd(end: RunEnd) {
        if (closed) return
        closed = true
        witness?.release()
        memory.release()
        forwarder.metrics.sends.labelValues(end.name.lowercase()).inc()
        core.recordRunEnd(forwarding.now(), work, endpoint, end)
        if (end != RunEnd.COMPLETE) {
            buffered?.release()
            buffered = null
            events?.discardIncomplete()
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val TOO_MANY_REQUESTS = 429
        const val SERVER_ERROR = 500
        val SUCCESS = 200..299

        // An endpoint that crashes on a prompt does so when the answer begins.
        const val WELL_UNDER_WAY_NANOS = 250_000_000L

        // Time that an endpoint needs at least between its end and the first connection that it accepts again.
        const val MIN_RESTART_MILLIS = 500L

        // Bodies of refusals are short texts; a longer one is not read to its end.
        const val MAX_UNWANTED_BYTES = 64 * 1024
    }
}
