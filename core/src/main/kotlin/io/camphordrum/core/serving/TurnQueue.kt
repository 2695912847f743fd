package io.camphordrum.core.serving

import kotlin.math.max
import kotlin.math.min

/**
 * Paces the prompts that one engine reads, so that the streams running there keep their pauses short.
 *
 * An engine reads prompts in pieces between the tokens of other requests: every stream pauses while a piece is read. A
 * bucket of prompt tokens, refilled at [READING_PART] of the engine's reading speed, bounds what is read while an event
 * of a stream is made. A prompt larger than the bucket needs a full bucket and leaves a debt. More urgent requests go
 * first, then those that asked first.
 */
internal class TurnQueue {
    /** Names a request that waits for its turn. */
    class Asked(val asker: String, val id: String, val tokens: Int, val priority: Int, val untilNanos: Long)

    private val waiting = ArrayList<Asked>()
    private var level = BURST_TOKENS
    private var refilledNanos = 0L
    private var tokensPerMilli = ENGINE_TOKENS_PER_MILLI * READING_PART

    /** Prompt tokens of the requests that wait. */
    val waitingTokens: Int get() = waiting.sumOf { it.tokens }

    /** Adds [asked]; returns false when its turn would come too late. */
    fun add(now: Long, asked: Asked): Boolean {
        refill(now)
        val ahead = waiting.filter { it.priority <= asked.priority }.sumOf { it.tokens }
        val missing = ahead + min(asked.tokens.toDouble(), BURST_TOKENS) - level
        val waitMillis = max(0.0, missing) / tokensPerMilli
        if (waitMillis > (asked.untilNanos - now) / 1e6) return false
        val at = waiting.indexOfFirst { it.priority > asked.priority }
        if (at < 0) waiting += asked else waiting.add(at, asked)
        return true
    }

    /** Forgets a request whose caller has left. */
    fun drop(id: String) {
        waiting.removeAll { it.id == id }
    }

    /**
     * Returns those whose turn it is and those whose turn did not come in time.
     *
     * @param room how many more requests the engine can run.
     * @param slowness how many times longer than expected the engine takes to read.
     */
    fun take(now: Long, room: Int, slowness: Double): Pair<List<Asked>, List<Asked>> {
        tokensPerMilli = ENGINE_TOKENS_PER_MILLI * READING_PART / max(LEAST_SLOWNESS, slowness)
        refill(now)
        val late = waiting.filter { now >= it.untilNanos }
        waiting.removeAll(late)
        val granted = ArrayList<Asked>()
        while (waiting.isNotEmpty() && granted.size < room) {
            val first = waiting.first()
            if (level < min(first.tokens.toDouble(), BURST_TOKENS)) break
            level -= first.tokens
            granted += waiting.removeFirst()
        }
        return granted to late
    }

    private fun refill(now: Long) {
        val elapsed = now - refilledNanos
        refilledNanos = now
        level = min(BURST_TOKENS, level + max(0L, elapsed) / 1e6 * tokensPerMilli)
    }

    internal companion object {
        // Reading speed of an engine until more is known; the sheets of both deployments say 19 and 22.
        const val ENGINE_TOKENS_PER_MILLI = 20.0

        // With this part and this burst, an engine reads at most about 4,200 tokens, for 220 ms, while an event of four
        // tokens is made; streams on the sheets bear pauses of 300 ms.
        const val READING_PART = 0.58
        const val BURST_TOKENS = 1_600.0

        // First parts that come early because prompts were kept say nothing about the reading speed.
        const val LEAST_SLOWNESS = 0.95
    }
}
