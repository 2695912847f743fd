package io.camphordrum.core.serving

import io.camphordrum.core.load.ReportedLoad

/**
 * Simulates an engine that reads prompts in chunks between the tokens of the running requests.
 *
 * One step reads up to [CHUNK_TOKENS] of the waiting prompts and generates one token for each running request. Reading
 * prolongs the step, so streams pause while prompts are read.
 */
internal class SimulatedEngine(val id: String, private val slots: Int, private val clock: ManualClock) {
    /** Tracks one request at the engine. */
    class Job(
        val work: Work,
        val events: Int,
        val onFirst: () -> Unit,
        val onEvent: (gapMillis: Double) -> Unit = {},
        val onEnd: (longestPauseMillis: Long) -> Unit,
    ) {
        var unread = work.promptTokens
        var tokens = 0
        var lastEventNanos = 0L
        var longestPauseNanos = 0L
    }

    /** How much longer its steps take than those of an ordinary engine. */
    var slowness: () -> Double = { 1.0 }

    /** What its answers state about its load. */
    val reported: ReportedLoad
        get() = ReportedLoad(running.size, waiting.size, BATCH, (slowness() * 100).toInt())
    private val waiting = ArrayDeque<Job>()
    private val running = ArrayList<Job>()
    private var stepEndNanos = 0L
    private var onStepEnd: () -> Unit = {}

    /** Carries out orders; replaced by a new one without adapters and orders after a crash. */
    var adapters = FakeEngine(clock)
        private set

    /** Whether the engine runs. */
    var up = true
        private set

    fun add(job: Job) {
        waiting.addLast(job)
    }

    /** Runs all steps that end by the current time. */
    fun advance() {
        check(adapters.maxUsedSlots <= slots) { "$id was ordered to hold more than $slots adapters" }
        while (up && stepEndNanos <= clock.nanos) {
            onStepEnd()
            onStepEnd = {}
            if (waiting.isEmpty() && running.isEmpty()) {
                stepEndNanos = clock.nanos + 1
                return
            }
            startStep(maxOf(stepEndNanos, clock.nanos - TICK_NANOS))
        }
    }

    /** Crashes the engine, losing all requests and adapters. */
    fun crash() {
        up = false
        waiting.clear()
        running.clear()
        onStepEnd = {}
        adapters = FakeEngine(clock).also { it.silent = true }
    }

    /** Restarts the engine after a crash. */
    fun restart() {
        up = true
        adapters.silent = false
    }

    private fun startStep(startNanos: Long) {
        var remainingTokens = CHUNK_TOKENS
        val readJobs = ArrayList<Job>()
        for (job in waiting) {
            if (remainingTokens == 0 || running.size + readJobs.size >= BATCH) break
            val chunk = minOf(remainingTokens, job.unread)
            remainingTokens -= chunk
            job.unread -= chunk
            if (job.unread == 0) readJobs += job
        }
        val millis = slowness() *
            (STEP_MILLIS + running.size * STEP_MILLIS_PER_RUN + (CHUNK_TOKENS - remainingTokens) / READ_TOKENS_PER_MILLI)
        stepEndNanos = startNanos + (millis * 1e6).toLong()
        onStepEnd = { finishStep(stepEndNanos, readJobs) }
    }

    private fun finishStep(now: Long, readJobs: List<Job>) {
        for (job in running.toList()) emitToken(now, job)
        for (job in readJobs) {
            waiting -= job
            running += job
            job.lastEventNanos = now
            job.tokens = 1
            job.onFirst()
        }
    }

    private fun emitToken(now: Long, job: Job) {
        job.tokens++
        if (job.tokens % EVENT_TOKENS != 0) return
        job.longestPauseNanos = maxOf(job.longestPauseNanos, now - job.lastEventNanos)
        job.onEvent((now - job.lastEventNanos) / 1e6)
        job.lastEventNanos = now
        if (job.tokens < job.events * EVENT_TOKENS) return
        running -= job
        job.onEnd(job.longestPauseNanos / 1_000_000)
    }

    private companion object {
        // Typical values of an engine.
        const val BATCH = 64
        const val STEP_MILLIS = 6.8
        const val STEP_MILLIS_PER_RUN = 0.034
        const val READ_TOKENS_PER_MILLI = 22.1
        const val CHUNK_TOKENS = 2_048
        const val EVENT_TOKENS = 4
        const val TICK_NANOS = 10_000_000L
    }
}
