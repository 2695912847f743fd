package io.camphordrum.core.turns

import io.camphordrum.core.serving.EngineSpeed
import io.camphordrum.core.serving.ManualClock
import io.camphordrum.core.serving.ServingFixture
import io.camphordrum.core.serving.SimulatedEngine
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random

/** Runs one [PromptQueue] in front of a [SimulatedEngine]; each answer has [events] events. */
internal class PromptLoad(seed: Int = 1, private val events: Int = 43) {
    /** Describes what the caller of one prompt saw. */
    class Result(val tokens: Int, val firstMillis: Double?, val pauseMillis: Long?) {
        val inTime: Boolean get() = firstMillis != null && firstMillis <= TARGET_MILLIS && pauseMillis!! <= PAUSE_MILLIS
    }

    private val clock = ManualClock()
    private val engine = SimulatedEngine("e", 14, clock)
    private val speed = EngineSpeed()
    private val queue = PromptQueue { speed.pace(eventTokens = 4, pauseMillis = PAUSE_MILLIS, slowness = it) }
    private val fixture = ServingFixture(clock = clock)
    private val random = Random(seed)
    private val arrivedNanos = HashMap<String, Long>()
    private var open = 0
    private var number = 0

    val results = ArrayList<Result>()

    /** Prompt tokens that the engine reads in a millisecond while its streams keep their pauses. */
    val roomTokens: Double = speed.pace(4, PAUSE_MILLIS).let { it.tokensPerMilli * it.readingPart }

    /** Submits prompts of the sizes that [tokens] draws at [load] times [roomTokens], whose mean is [meanTokens]. */
    fun run(millis: Long, load: Double, meanTokens: Int, tokens: (Random) -> Int) {
        val end = clock.nanos + millis * 1_000_000
        var next = clock.nanos.toDouble()
        while (clock.nanos < end) {
            while (next <= clock.nanos) {
                submit(tokens(random))
                next += -ln(1 - random.nextDouble()) * meanTokens / (load * roomTokens) * 1e6
            }
            tick()
        }
    }

    /** Runs until all submitted prompts have ended. */
    fun drain() = repeat(1_500) { tick() }

    fun submit(tokens: Int) {
        val id = "p${number++}"
        val readMillis = tokens / speed.tokensPerMilli
        arrivedNanos[id] = clock.nanos
        val until = clock.nanos + ((TARGET_MILLIS - readMillis) * 1e6).toLong()
        if (!queue.add(clock.nanos, QueuedPrompt("edge", id, tokens, 1, until))) results += Result(tokens, null, null)
    }

    private fun tick() {
        clock.advance(10)
        engine.advance()
        val grants = queue.grantDue(clock.nanos, BATCH - open, slowness = 1.0)
        for (prompt in grants.refused) results += Result(prompt.tokens, null, null)
        grants.granted.forEach(::send)
    }

    private fun send(prompt: QueuedPrompt) {
        open++
        var firstMillis = 0.0
        engine.add(
            SimulatedEngine.Job(
                fixture.work(prompt.id, tokens = prompt.tokens),
                events,
                onFirst = { firstMillis = (clock.nanos - arrivedNanos.getValue(prompt.id)) / 1e6 },
                onEnd = { pause ->
                    open--
                    results += Result(prompt.tokens, firstMillis, pause)
                },
            ),
        )
    }

    companion object {
        const val TARGET_MILLIS = 800
        const val PAUSE_MILLIS = 300L
        private const val BATCH = 64

        /** Draws a size from a lognormal distribution of mean 1,110 with few prompts above 3,000. */
        fun mixed(random: Random): Int = (850 * exp(0.73 * gaussian(random))).toInt().coerceIn(50, 4_140)

        private fun gaussian(random: Random) = (1..12).sumOf { random.nextDouble() } - 6
    }
}
