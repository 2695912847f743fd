package io.camphordrum.standins

import java.util.concurrent.locks.LockSupport

/**
 * One request inside the engine. [sink] is called once per token, then with the end of the sequence.
 *
 * @property priority larger values leave the waiting line first.
 */
internal class Sequence(val adapter: String, val tokens: Int, val priority: Int, val sink: TokenSink) {
    var produced = 0
}

/** Receives the tokens of one sequence on the engine's thread. */
internal interface TokenSink {
    /** Takes token [index]; returns false when its reader has gone or its stream broke. */
    fun token(index: Int): Boolean

    fun completed()

    /** Tells that the engine dropped the sequence. */
    fun dropped()
}

/** Models continuous batching: each step gives one token to every running sequence and takes longer when more run. */
internal class Batch(private val options: EngineOptions) {
    private val waiting = ArrayList<Sequence>()
    private val running = ArrayList<Sequence>()
    private val thread = Thread(::run, "engine-batch").apply { isDaemon = true }
    private var warmupLeft = options.warmupRequests

    @Volatile private var open = true

    @get:Synchronized
    var maxConcurrency = 0
        private set

    val isCold: Boolean @Synchronized get() = warmupLeft > 0
    val runningCount: Int @Synchronized get() = running.size
    val waitingCount: Int @Synchronized get() = waiting.size
    val refuses: Boolean
        @Synchronized get() = isCold && options.coldFails && running.size + waiting.size >= options.coldRunning

    fun start() = thread.start()

    fun stop() {
        open = false
        LockSupport.unpark(thread)
        dropAll()
    }

    fun submit(sequence: Sequence) {
        synchronized(this) { waiting += sequence }
        LockSupport.unpark(thread)
    }

    @Synchronized
    fun count(adapter: String): Int = running.count { it.adapter == adapter } + waiting.count { it.adapter == adapter }

    @Synchronized
    fun uses(adapter: String): Boolean = running.any { it.adapter == adapter } || waiting.any { it.adapter == adapter }

    @Synchronized
    fun chill() {
        warmupLeft = options.warmupRequests
    }

    fun dropAll() {
        val dropped = synchronized(this) { (running + waiting).also { running.clear() }.also { waiting.clear() } }
        for (sequence in dropped) sequence.sink.dropped()
    }

    private fun run() {
        while (open) {
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
        val end = System.nanoTime() + nanos
        while (open && end - System.nanoTime() > 0) LockSupport.parkNanos(this, end - System.nanoTime())
    }

    private fun advance(sequence: Sequence) {
        if (!sequence.sink.token(sequence.produced++)) {
            synchronized(this) { running -= sequence }
            return
        }
        if (sequence.produced < sequence.tokens) return
        synchronized(this) {
            running -= sequence
            warmupLeft = maxOf(0, warmupLeft - 1)
        }
        sequence.sink.completed()
    }
}
