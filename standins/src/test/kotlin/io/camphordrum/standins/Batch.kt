package io.camphordrum.standins

import java.util.concurrent.locks.LockSupport

/**
 * Represents one request in the engine; [sink] is called for each token and then for the completion or abortion.
 *
 * @property priority sequences with larger values start first.
 */
internal class Sequence(val adapter: String, val tokens: Int, val priority: Int, val sink: TokenSink) {
    var produced = 0
}

/** Receives the tokens of one sequence on the engine's thread. */
internal interface TokenSink {
    /** Processes token [index]; returns false if the client closed the stream or a simulated fault broke it. */
    fun token(index: Int): Boolean

    fun completed()

    /** Called when the engine aborts the sequence before its completion. */
    fun aborted()
}

/** Simulates continuous batching: each step produces one token per running sequence and is slower if more run. */
internal class Batch(private val options: EngineOptions) {
    private val waiting = ArrayList<Sequence>()
    private val running = ArrayList<Sequence>()
    private val thread = Thread(::run, "engine-batch").apply { isDaemon = true }
    private var warmupRequestsLeft = options.warmupRequests

    @Volatile private var active = true

    @get:Synchronized
    var maxConcurrency = 0
        private set

    val isCold: Boolean @Synchronized get() = warmupRequestsLeft > 0
    val runningCount: Int @Synchronized get() = running.size
    val waitingCount: Int @Synchronized get() = waiting.size
    val rejectsRequests: Boolean
        @Synchronized get() = isCold && options.coldFails && running.size + waiting.size >= options.coldRunning

    fun start() = thread.start()

    fun stop() {
        active = false
        LockSupport.unpark(thread)
        abortAll()
    }

    fun submit(sequence: Sequence) {
        synchronized(this) { waiting += sequence }
        LockSupport.unpark(thread)
    }

    @Synchronized
    fun count(adapter: String): Int = running.count { it.adapter == adapter } + waiting.count { it.adapter == adapter }

    @Synchronized
    fun hasRequests(adapter: String): Boolean =
        running.any { it.adapter == adapter } || waiting.any { it.adapter == adapter }

    @Synchronized
    fun makeCold() {
        warmupRequestsLeft = options.warmupRequests
    }

    fun abortAll() {
        val aborted = synchronized(this) { (running + waiting).also { running.clear() }.also { waiting.clear() } }
        for (sequence in aborted) sequence.sink.aborted()
    }

    private fun run() {
        while (active) {
            val stepNanos = nextStepNanos()
            if (stepNanos == 0L) LockSupport.park(this) else pause(stepNanos)
            for (sequence in synchronized(this) { running.toList() }) advance(sequence)
        }
    }

    @Synchronized
    private fun nextStepNanos(): Long {
        while (waiting.isNotEmpty() && running.size < options.maxRunning) {
            val next = waiting.maxBy { it.priority }
            waiting -= next
            running += next
        }
        maxConcurrency = maxOf(maxConcurrency, running.size)
        if (running.isEmpty()) return 0
        val millis = options.stepMillis + options.stepMillisPerRunning * running.size
        val slowdown = if (isCold && running.size > options.coldRunning) options.coldFactor else 1.0
        return (millis * slowdown * 1_000_000).toLong()
    }

    private fun pause(nanos: Long) {
        val endNanos = System.nanoTime() + nanos
        while (active && endNanos - System.nanoTime() > 0) LockSupport.parkNanos(this, endNanos - System.nanoTime())
    }

    private fun advance(sequence: Sequence) {
        if (!sequence.sink.token(sequence.produced++)) {
            synchronized(this) { running -= sequence }
            return
        }
        if (sequence.produced < sequence.tokens) return
        synchronized(this) {
            running -= sequence
            warmupRequestsLeft = maxOf(0, warmupRequestsLeft - 1)
        }
        sequence.sink.completed()
    }
}
