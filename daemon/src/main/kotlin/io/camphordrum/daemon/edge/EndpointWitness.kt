package io.camphordrum.daemon.edge

import io.netty.buffer.ByteBuf
import io.netty.channel.EventLoop
import io.netty.util.concurrent.Future
import java.util.concurrent.TimeUnit

/** Represents whether the process that sent an answer was alive after the answer's end. */
sealed interface LifeProof {
    /** The process answered a request that was sent after the end. */
    data object Alive : LifeProof

    /** Nothing shows that the process was alive; [reason] states what was seen instead. */
    data class Unproved(val reason: String) : LifeProof
}

/**
 * Describes how an endpoint is asked whether it is alive.
 *
 * @property request returns the bytes of one request.
 * @property provesLife whether an answer comes from the endpoint; null if it answers another request.
 */
class LifeCheck(val request: () -> ByteBuf, val provesLife: (AnswerHead) -> Boolean?)

/**
 * Keeps a second connection to an endpoint while answers without a length are received from it.
 *
 * A process that crashes closes its connections just as it ends an answer without a length. A second connection that
 * was opened before that end and on which a later request is answered leads to the same start of the process, because
 * a restart, or another endpoint at the address, ends all earlier connections. One connection serves all such answers
 * of an endpoint. Runs on the event loop.
 */
internal class EndpointWitnesses(private val connections: EndpointConnections, private val loop: EventLoop) {
    private val witnesses = HashMap<Pair<String, String>, EndpointWitness>()

    /** Number of endpoints for which a connection is kept. */
    val size: Int get() = witnesses.size

    /**
     * Starts to observe the endpoint named [endpoint] at [address]; called at the head of an answer.
     *
     * Each lease must be released.
     */
    fun observe(address: String, endpoint: String, check: LifeCheck): Lease {
        val key = address to endpoint
        val witness = witnesses[key]?.takeIf { it.isUsable }
            ?: EndpointWitness(address, check, connections, loop).also {
                witnesses[key] = it
                it.start()
            }
        witness.leases++
        return Lease(key, witness)
    }

    /** Holds a witness for one answer. */
    inner class Lease internal constructor(
        private val key: Pair<String, String>,
        private val witness: EndpointWitness,
    ) {
        private var released = false
        private var timeout: Future<*>? = null

        /**
         * Asks the endpoint after the end of its answer; [onEnd] runs once, within [PROOF_MILLIS], unless the lease is
         * released first.
         *
         * @param sentJustNow whether the request was sent so recently that the endpoint cannot have restarted since.
         *   Otherwise a connection that is still being opened at the end may lead to a later start.
         */
        fun prove(sentJustNow: Boolean, onEnd: (LifeProof) -> Unit) {
            var ended = false
            val end: (LifeProof) -> Unit = { proof ->
                if (!ended && !released) {
                    ended = true
                    timeout?.cancel(false)
                    onEnd(proof)
                }
            }
            timeout = loop.schedule(
                { end(LifeProof.Unproved("no answer within $PROOF_MILLIS ms")) },
                PROOF_MILLIS,
                TimeUnit.MILLISECONDS,
            )
            if (witness.isConnected || sentJustNow) {
                witness.prove(end)
            } else {
                end(LifeProof.Unproved(witness.lossReason ?: "no other connection was open at the end"))
            }
        }

        /** Ends the observation; a proof in progress is dropped. */
        fun release() {
            if (released) return
            released = true
            timeout?.cancel(false)
            if (--witness.leases > 0) return
            if (witnesses[key] === witness) witnesses -= key
            witness.finish()
        }
    }

    companion object {
        /** Time within which an endpoint must answer, in milliseconds. */
        const val PROOF_MILLIS = 500L
    }
}

/** Asks on one connection, one request at a time; once lost, it never proves anything again. */
internal class EndpointWitness(
    private val address: String,
    private val check: LifeCheck,
    private val connections: EndpointConnections,
    private val loop: EventLoop,
) {
    var leases = 0

    /** Why the connection is of no more use; null while it is. */
    var lossReason: String? = null
        private set

    val isConnected: Boolean get() = connection != null

    /** Whether a proof is possible; false also if the connection has ended without a request on it. */
    val isUsable: Boolean get() = lossReason == null && connection?.isOpen != false

    private var connection: EndpointConnection? = null
    private var checkSent = false
    private var checkInProgress = false
    private var finished = false
    private var waiting = ArrayList<(LifeProof) -> Unit>()
    private var refresh: Future<*>? = null

    fun start() {
        val idle = connections.reserveIdle(address)
        if (idle != null) use(idle) else open()
    }

    /** Calls [onEnd] with the result of a request that is sent after this call. */
    fun prove(onEnd: (LifeProof) -> Unit) {
        val reason = lossReason
        if (reason != null) {
            onEnd(LifeProof.Unproved(reason))
            return
        }
        waiting += onEnd
        if (connection != null && !checkInProgress) sendCheck()
    }

    /** Gives up the connection, after the request in progress if there is one. */
    fun finish() {
        finished = true
        refresh?.cancel(false)
        if (checkInProgress) return
        // The answer to a check has no id, so a repetition of it could be taken for the answer to a later call.
        connection?.let { if (checkSent) it.close() else connections.returnReserved(it) }
        connection = null
    }

    private fun open() {
        connections.openReserved(address) { opened, error ->
            when {
                opened == null -> lose("connect failed: ${error?.message}")
                finished -> connections.returnReserved(opened)
                else -> use(opened)
            }
        }
    }

    private fun use(newConnection: EndpointConnection) {
        connection = newConnection
        if (waiting.isNotEmpty()) sendCheck() else scheduleRefresh(newConnection)
    }

    // The endpoint closes connections that are idle for longer than its timeout, also beside a long answer.
    private fun scheduleRefresh(current: EndpointConnection) {
        refresh?.cancel(false)
        val nanos = maxOf(current.reusableNanos(System.nanoTime()), MIN_REFRESH_NANOS)
        refresh = loop.schedule(
            { if (!finished && !checkInProgress && lossReason == null) sendCheck() },
            nanos,
            TimeUnit.NANOSECONDS,
        )
    }

    private fun sendCheck() {
        val current = connection ?: return
        refresh?.cancel(false)
        if (!current.isOpen) {
            lose("the connection had ended")
            return
        }
        checkInProgress = true
        checkSent = true
        val asking = waiting
        waiting = ArrayList()
        val answer = CheckAnswer(asking)
        val send = EndpointSend(answer)
        answer.timeout = loop.schedule(
            {
                send.cancel()
                answer.end("no answer within ${EndpointWitnesses.PROOF_MILLIS} ms")
            },
            EndpointWitnesses.PROOF_MILLIS,
            TimeUnit.MILLISECONDS,
        )
        current.start(send, check.request(), headRequest = false)
    }

    private fun lose(reason: String) {
        lossReason = reason
        refresh?.cancel(false)
        connection?.close()
        connection = null
        val asking = waiting
        waiting = ArrayList()
        asking.forEach { it(LifeProof.Unproved(reason)) }
    }

    private fun afterProof() {
        val current = connection ?: return
        when {
            finished -> finish()
            // The process has just answered, so a new connection leads to it as well.
            !current.isOpen -> {
                connection = null
                open()
            }
            waiting.isNotEmpty() -> sendCheck()
            else -> scheduleRefresh(current)
        }
    }

    private inner class CheckAnswer(private val asking: List<(LifeProof) -> Unit>) : EndpointAnswerListener {
        lateinit var timeout: Future<*>
        private var ended = false
        private var status = 0
        private var proved = false

        /** Ends the check; a null [failure] is a proof. */
        fun end(failure: String?) {
            if (ended) return
            ended = true
            timeout.cancel(false)
            checkInProgress = false
            if (failure != null) lose(failure)
            val proof = failure?.let { LifeProof.Unproved(it) } ?: LifeProof.Alive
            asking.forEach { it(proof) }
            if (failure == null) afterProof()
        }

        override fun onUnreachable(reason: String) = end(reason)

        override fun onHead(head: AnswerHead): Boolean {
            val answersCheck = check.provesLife(head) ?: return false
            status = head.status
            proved = answersCheck
            return true
        }

        override fun onPart(part: ByteBuf) {
            part.release()
        }

        override fun onComplete(end: AnswerEnd) = end(if (proved) null else "another endpoint answered with $status")

        override fun onBroken(reason: String) = end(reason)
    }

    private companion object {
        // Bounds the requests to an endpoint that keeps idle connections for less than a second.
        const val MIN_REFRESH_NANOS = 100_000_000L
    }
}
