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
 * Brings one request to an endpoint and its answer back, and sends it again only where its kind allows.
 *
 * A request that must not be repeated is sent again only after an endpoint said that it has not run. An answer of our
 * own says 503 only while no endpoint can have run the request; afterwards it says 502 or 504, which promise nothing.
 */
internal class Forwarding(
    private val forwarder: Forwarder,
    private val exchange: CallerExchange,
    private val call: Call,
    private val work: Work,
) {
    private val core = forwarder.core
    private val tried = HashSet<EndpointId>()
    private val noLoad = HashSet<EndpointId>()
    private val full = HashSet<EndpointId>()
    private val splitter = if (work.route.repetition == Repetition.RESUMABLE) EventSplitter() else null
    private var sends = 0
    private var runs = 0
    private var loads = 0
    private var turns = 0
    private var run: Run? = null
    private var stopWaiting: () -> Unit = {}
    private var finished = false
    private val times = PartTimes()
    private lateinit var deadline: Future<*>

    fun start() {
        forwarder.open++
        exchange.onGone = ::gone
        exchange.onWritable = { run?.send?.reading(true) }
        deadline = forwarder.loop.schedule(::timeUp, work.deadlineNanos - now(), TimeUnit.NANOSECONDS)
        step()
    }

    private fun now() = forwarder.clock.nanos()

    private fun step() {
        if (finished) return
        when (val placement = core.place(now(), work, tried + full, noLoad)) {
            is Placement.Send -> takeTurn(placement)
            is Placement.AwaitAdapter -> await(placement)
            is Placement.Refuse -> giveUp(placement.reason, placement.retryMillis, placement)
        }
    }

    private fun await(placement: Placement.AwaitAdapter) {
        if (++loads > MAX_LOADS) {
            giveUp(RefuseReason.NO_PLACE, RETRY_MILLIS)
            return
        }
        stopWaiting = core.awaitAdapter(now(), work, placement.endpoint) { loaded ->
            if (!loaded) noLoad += placement.endpoint
            forwarder.loop.execute(::step)
        }
    }

    private fun takeTurn(placement: Placement.Send) {
        if (work.base == null) {
            send(placement)
            return
        }
        if (++turns > MAX_TURNS) {
            giveUp(RefuseReason.BUSY, RETRY_MILLIS)
            return
        }
        var ended = false
        val stop = core.awaitTurn(now(), work, placement.endpoint) { granted ->
            ended = true
            stopWaiting = {}
            if (!granted) full += placement.endpoint
            if (granted) sendAfterTurn(placement) else forwarder.loop.execute(::step)
        }
        if (!ended) stopWaiting = stop
    }

    // What was true when the turn was asked for may have changed since.
    private fun sendAfterTurn(placement: Placement.Send) {
        if (finished) return
        if (core.stillServes(now(), work, placement.endpoint)) send(placement) else step()
    }

    private fun send(placement: Placement.Send) {
        val now = now()
        if (sends > 0 && (sends > MAX_SENDS || !core.tryAcquireRetry(now, work.service))) {
            giveUp(RefuseReason.TURNED_AWAY, RETRY_MILLIS)
            return
        }
        sends++
        core.recordSend(now, work, placement.endpoint)
        val leftMillis = maxOf(1, (work.deadlineNanos - now) / NANOS_PER_MILLI)
        val next = Run(placement, now)
        run = next
        val head = exchange.head.method == "HEAD"
        next.send = forwarder.connections.send(placement.address, request(placement, leftMillis), head, next)
    }

    private fun request(placement: Placement.Send, leftMillis: Long): ByteBuf {
        val headers = DefaultHttpHeaders(false)
        forwarder.protocol.forward(exchange.head, work, placement, leftMillis, splitter?.lastId, headers)
        return requestBytes(exchange.head, headers, exchange.body)
    }

    /** Sends the request again if its kind, its route and the budget allow; else answers for good. */
    private fun again(endpoint: EndpointId, mayHaveRun: Boolean, why: String) {
        tried += endpoint
        if (mayHaveRun) runs++
        val repeatable = !mayHaveRun || work.route.repetition != Repetition.FORBIDDEN
        val resumable = !exchange.begun || (splitter?.lastId != null)
        val left = runs < work.route.maxEndpoints && now() < work.deadlineNanos
        if (repeatable && resumable && left) {
            step()
        } else {
            broken(why)
        }
    }

    private fun giveUp(reason: RefuseReason, retryMillis: Long, placement: Placement.Refuse? = null) {
        if (runs > 0 || exchange.begun) {
            broken("gave_up_${reason.name.lowercase()}")
            return
        }
        if (!finish()) return
        core.refund(work)
        val best = mapOf(
            "turns" to turns,
            "bestEndpoint" to placement?.endpoint?.name,
            "bestMillis" to placement?.expectedMillis?.toLong(),
            "promptTokens" to work.promptTokens,
        )
        forwarder.unavailable(exchange, call, reason, retryMillis, fields() + best)
    }

    private fun broken(why: String) {
        if (!finish()) return
        forwarder.metrics.answers.labelValues("broken").inc()
        EdgeLog.write("broken", fields() + mapOf("why" to why, "begun" to exchange.begun))
        if (exchange.begun) {
            exchange.abort()
        } else {
            own(Own.BROKEN)
        }
    }

    private fun timeUp() {
        if (finished) return
        val current = run
        current?.cancel()
        if (!finish()) return
        forwarder.metrics.answers.labelValues("timeout").inc()
        EdgeLog.write("timeout", fields() + mapOf("begun" to exchange.begun, "waitedForLoad" to loads))
        when {
            exchange.begun -> exchange.abort()
            current != null || runs > 0 -> own(Own.TIMEOUT)
            else -> {
                core.refund(work)
                forwarder.unavailable(exchange, call, RefuseReason.BUSY, RETRY_MILLIS, fields())
            }
        }
    }

    private fun gone() {
        if (!finish()) return
        run?.cancel()
        forwarder.metrics.answers.labelValues("caller_gone").inc()
        EdgeLog.write("caller_gone", fields())
    }

    private fun own(own: Own) {
        exchange.answer(own.status, own.reason, forwarder.protocol.own(call, null), Unpooled.EMPTY_BUFFER)
    }

    private fun finish(): Boolean {
        if (finished) return false
        finished = true
        forwarder.open--
        deadline.cancel(false)
        stopWaiting()
        splitter?.drop()
        return true
    }

    private fun fields(): Map<String, Any?> = mapOf(
        "id" to call.id,
        "route" to work.route.name,
        "service" to work.service,
        "account" to work.account,
        "adapter" to work.adapter,
        "endpoint" to run?.placement?.endpoint?.name,
        "expectedMillis" to run?.placement?.expectedMillis?.toLong(),
        "sends" to sends,
        "loads" to loads,
        "ageMillis" to (now() - work.arrivedNanos) / NANOS_PER_MILLI,
        "config" to core.config?.version,
    )

    private fun passed(headers: AnswerHead): List<Pair<String, String>> {
        val hop = hopHeaders(headers.headers)
        return headers.headers.entries()
            .filter { it.key.lowercase() !in hop && forwarder.protocol.passes(it.key) }
            .map { it.key to it.value }
    }

    /** One send to one endpoint. */
    private inner class Run(val placement: Placement.Send, private val sentNanos: Long) : EndpointAnswer {
        lateinit var send: EndpointSend
        private var over = false
        private var head: AnswerHead? = null
        private var meaning: AnswerMeaning? = null
        private var held: ByteBuf? = null
        private var unwantedBytes = 0
        private val endpoint get() = placement.endpoint

        fun cancel() {
            if (over) return
            close(RunEnd.CANCELLED)
            send.cancel()
        }

        override fun unreachable(reason: String) {
            if (over) return
            close(RunEnd.SILENT)
            sends--
            again(endpoint, mayHaveRun = false, "unreachable: $reason")
        }

        override fun head(head: AnswerHead): Boolean {
            heed(forwarder.protocol.advice(head))
            val judged = forwarder.protocol.judge(head, call)
            if (judged == AnswerMeaning.OTHER_REQUEST) {
                EdgeLog.write("other_answer", fields() + mapOf("status" to head.status))
                return false
            }
            this.head = head
            meaning = judged
            if (judged == AnswerMeaning.UNPROVEN) {
                close(RunEnd.FAILED)
                send.cancel()
                again(endpoint, mayHaveRun = true, "unproven answer with status ${head.status}")
            } else if (judged == AnswerMeaning.PROPER && retriesStatus(head.status)) {
                close(RunEnd.FAILED)
                send.cancel()
                again(endpoint, mayHaveRun = true, "status ${head.status}")
            }
            return true
        }

        // Before anything of the answer is passed on, so that nothing is sent in between.
        private fun heed(advice: EndpointAdvice) {
            if (advice.leaving) core.markLeaving(endpoint)
            advice.pauseMillis?.let { core.pauseEndpoint(now(), endpoint, it) }
        }

        override fun part(part: ByteBuf) {
            val first = head
            if (over || first == null || meaning != AnswerMeaning.PROPER) {
                unwantedBytes += part.readableBytes()
                part.release()
                if (!over && unwantedBytes > MAX_UNWANTED_BYTES) endTurnedAway()
                return
            }
            if (work.route.streaming && first.status in SUCCESS) relay(first, part) else hold(first, part)
        }

        override fun end() {
            if (over) return
            when (meaning) {
                AnswerMeaning.NOT_RUN, AnswerMeaning.NOT_HERE -> turnedAway()
                AnswerMeaning.PROPER -> complete()
                else -> broke("no answer")
            }
        }

        override fun broke(reason: String) {
            if (over) return
            if (meaning == AnswerMeaning.NOT_RUN || meaning == AnswerMeaning.NOT_HERE) {
                turnedAway()
                return
            }
            close(if (head == null) RunEnd.SILENT else RunEnd.FAILED)
            again(endpoint, mayHaveRun = true, reason)
        }

        // The promise stands in the head; a body that does not end adds nothing to it.
        private fun endTurnedAway() {
            send.cancel()
            turnedAway()
        }

        private fun turnedAway() {
            val status = head?.status
            close(RunEnd.TURNED_AWAY)
            if (meaning == AnswerMeaning.NOT_HERE) core.recordAdapterMissing(work, endpoint)
            EdgeLog.write("turned_away", fields() + mapOf("status" to status))
            again(endpoint, mayHaveRun = false, "turned away with status $status")
        }

        private fun retriesStatus(status: Int): Boolean = status >= SERVER_ERROR &&
            !exchange.begun &&
            work.route.repetition == Repetition.ALLOWED &&
            runs + 1 < work.route.maxEndpoints

        private fun relay(first: AnswerHead, part: ByteBuf) {
            val now = now()
            if (exchange.begun) core.recordEventGap(work, times.next(now) / 1e6) else begin(first)
            val whole = splitter?.take(part) ?: part
            if (!exchange.write(whole)) send.reading(false)
        }

        private fun begin(first: AnswerHead) {
            val now = now()
            times.begin(now)
            core.recordFirstPart(work, endpoint, placement.expectedMillis, (now - sentNanos) / 1e6)
            forwarder.metrics.firstPart.observe((now - work.arrivedNanos) / 1e9)
            exchange.begin(first.status, first.reason, passed(first))
        }

        private fun hold(first: AnswerHead, part: ByteBuf) {
            val sum = held ?: Unpooled.buffer(part.readableBytes()).also { held = it }
            sum.writeBytes(part)
            part.release()
            if (sum.readableBytes() > forwarder.settings.maxBufferedAnswerBytes) {
                // Too large to hold until it is whole; from here on a break closes the caller's connection.
                if (!exchange.begun) begin(first)
                held = null
                if (!exchange.write(sum)) send.reading(false)
            }
        }

        private fun complete() {
            val first = head ?: return
            close(if (first.status >= SERVER_ERROR) RunEnd.FAILED else RunEnd.COMPLETE)
            if (!finish()) return
            forwarder.metrics.answers.labelValues(if (first.status in SUCCESS) "served" else "failed_by_endpoint").inc()
            val firstMillis = (times.firstNanos(now()) - work.arrivedNanos) / NANOS_PER_MILLI
            val pauseMillis = times.longestPauseNanos / NANOS_PER_MILLI
            val late = firstMillis > work.route.targetMillis || pauseMillis > (work.route.pauseMillis ?: Long.MAX_VALUE)
            EdgeLog.served(late) {
                fields() + mapOf(
                    "status" to first.status,
                    "sentAfterMillis" to (sentNanos - work.arrivedNanos) / NANOS_PER_MILLI,
                    "firstPartMillis" to firstMillis,
                    "longestPauseMillis" to pauseMillis,
                    "promptTokens" to work.promptTokens,
                )
            }
            if (exchange.begun) {
                splitter?.remainder()?.let(exchange::write)
                held?.let(exchange::write)
                exchange.end()
            } else {
                val whole = held ?: Unpooled.EMPTY_BUFFER
                forwarder.metrics.firstPart.observe((now() - work.arrivedNanos) / 1e9)
                exchange.answer(first.status, first.reason, passed(first), whole)
            }
            held = null
        }

        private fun close(end: RunEnd) {
            if (over) return
            over = true
            forwarder.metrics.sends.labelValues(end.name.lowercase()).inc()
            core.recordRunEnd(now(), work, endpoint, end)
            if (end != RunEnd.COMPLETE) {
                held?.release()
                held = null
                splitter?.drop()
            }
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val SERVER_ERROR = 500
        val SUCCESS = 200..299

        // Sends beyond the first, turned away ones included; each costs the fleet's budget.
        const val MAX_SENDS = 3

        // Waits for an adapter at different endpoints before the request is refused.
        const val MAX_LOADS = 3

        // Endpoints asked for a turn before the request is refused.
        const val MAX_TURNS = 4
        const val RETRY_MILLIS = 300L

        // Bodies of refusals are short texts.
        const val MAX_UNWANTED_BYTES = 64 * 1024
    }
}
