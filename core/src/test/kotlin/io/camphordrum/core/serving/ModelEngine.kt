package io.camphordrum.core.serving

/**
 * Reads prompts in pieces between the tokens of the requests that run, as the engines on the sheets do.
 *
 * One step reads up to [PIECE_TOKENS] of the waiting prompts and makes one token for each running request; what a step
 * reads makes it longer, so streams pause while prompts are read.
 */
internal class ModelEngine(val id: String, private val places: Int, private val clock: HandClock) {
    /** One request at the engine. */
    class Job(val work: Work, val events: Int, val onFirst: () -> Unit, val onEnd: (longestPauseMillis: Long) -> Unit) {
        var unread = work.promptTokens
        var tokens = 0
        var lastEventNanos = 0L
        var longestPauseNanos = 0L
    }

    private val waiting = ArrayDeque<Job>()
    private val running = ArrayList<Job>()
    private var stepEndNanos = 0L
    private var stepped: () -> Unit = {}

    /** Carries out orders; empty and with a new count after a crash. */
    var adapters = FakeEngine(clock)
        private set

    /** Whether the engine answers at all. */
    var up = true
        private set

    fun add(job: Job) {
        waiting.addLast(job)
    }

    /** Goes on until now. */
    fun run() {
        check(adapters.mostPlaces <= places) { "$id was ordered to hold more than $places adapters" }
        while (up && stepEndNanos <= clock.nanos) {
            stepped()
            stepped = {}
            if (waiting.isEmpty() && running.isEmpty()) {
                stepEndNanos = clock.nanos + 1
                return
            }
            begin(maxOf(stepEndNanos, clock.nanos - TICK_NANOS))
        }
    }

    /** Loses everything that runs and all adapters. */
    fun crash() {
        up = false
        waiting.clear()
        running.clear()
        stepped = {}
        adapters = FakeEngine(clock).also { it.silent = true }
    }

    /** Comes back after a crash. */
    fun restart() {
        up = true
        adapters.silent = false
    }

    private fun begin(startNanos: Long) {
        var room = PIECE_TOKENS
        val read = ArrayList<Job>()
        for (job in waiting) {
            if (room == 0 || running.size + read.size >= BATCH) break
            val piece = minOf(room, job.unread)
            room -= piece
            job.unread -= piece
            if (job.unread == 0) read += job
        }
        val millis = STEP_MILLIS + running.size * STEP_MILLIS_PER_RUN + (PIECE_TOKENS - room) / READ_TOKENS_PER_MILLI
        stepEndNanos = startNanos + (millis * 1e6).toLong()
        stepped = { finish(stepEndNanos, read) }
    }

    private fun finish(now: Long, read: List<Job>) {
        for (job in running.toList()) token(now, job)
        for (job in read) {
            waiting -= job
            running += job
            job.lastEventNanos = now
            job.tokens = 1
            job.onFirst()
        }
    }

    private fun token(now: Long, job: Job) {
        job.tokens++
        if (job.tokens % EVENT_TOKENS != 0) return
        job.longestPauseNanos = maxOf(job.longestPauseNanos, now - job.lastEventNanos)
        job.lastEventNanos = now
        if (job.tokens < job.events * EVENT_TOKENS) return
        running -= job
        job.onEnd(job.longestPauseNanos / 1_000_000)
    }

    private companion object {
        // The sheet of kanalirada-prod.
        const val BATCH = 64
        const val STEP_MILLIS = 6.8
        const val STEP_MILLIS_PER_RUN = 0.034
        const val READ_TOKENS_PER_MILLI = 22.1
        const val PIECE_TOKENS = 2_048
        const val EVENT_TOKENS = 4
        const val TICK_NANOS = 10_000_000L
    }
}
