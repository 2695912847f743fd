package io.camphordrum.core.turns

import kotlin.math.max
import kotlin.math.min

/**
 * Orders the prompts that wait for one engine when long and short ones arrive together.
 *
 * An engine reads prompts in chunks between the tokens of other requests, and every stream pauses while a chunk is
 * read. A token bucket that refills at a part of the engine's reading speed ([Pace]) bounds the prompt tokens that are
 * read while an event of a stream is generated. A prompt larger than the bucket needs a full bucket and overdraws it.
 *
 * Within a rank, prompts are granted turns by the time at which their first part is due. While the next one waits for
 * the bucket, a shorter prompt that fits passes it if each prompt that it passes still starts in time. Long prompts
 * need more of their time for reading and therefore tolerate a shorter wait. While many of them are
 * refused, all prompts of their rank are refused beyond the wait that long prompts tolerate.
 *
 * The pace is that of this engine: a slow one reads fewer tokens in the time of an event.
 *
 * @param spareRank lowest rank of prompts that wait for a full bucket, so that they use only time that is left over.
 */
internal class PromptQueue(private val spareRank: Int = Int.MAX_VALUE, private val pace: (slowness: Double) -> Pace) {
    /**
     * Lists prompts that leave the queue.
     *
     * @property granted prompts whose turn has come.
     * @property refused prompts whose turn cannot come in time.
     */
    class Grants(val granted: List<QueuedPrompt>, val refused: List<QueuedPrompt>)

    /** Estimates quantile [LONG_QUANTILE] of the prompt tokens of a rank, and how much room longer prompts lack. */
    private class LongPrompts(var tokens: Double) {
        var reservedPart = 0.0
            private set

        fun record(promptTokens: Int, accepted: Boolean) {
            val change = QUANTILE_STEP_PART * tokens
            if (promptTokens < tokens) {
                tokens -= (1 - LONG_QUANTILE) * change
            } else {
                tokens += LONG_QUANTILE * change
                val reserveChange = if (accepted) -RESERVE_FALL else RESERVE_RISE
                reservedPart = (reservedPart + reserveChange).coerceIn(0.0, 1.0)
            }
        }
    }

    // In the order of turns.
    private val queued = ArrayList<QueuedPrompt>()
    private val longPrompts = HashMap<Int, LongPrompts>()
    private val lateRefusals = ArrayList<QueuedPrompt>()
    private var current = pace(1.0)
    private val speed get() = current.tokensPerMilli
    private val burstTokens get() = current.burstTokens
    private val refillPerMilli get() = current.tokensPerMilli * current.readingPart
    private var levelTokens = burstTokens
    private var refilledNanos = 0L

    /** Returns the tokens of the waiting prompts by rank. */
    fun tokensByRank(): Map<Int, Int> = queued.groupingBy { it.rank }.fold(0) { sum, prompt -> sum + prompt.tokens }

    /**
     * Adds [prompt]; returns false if its turn would come too late, or would make a prompt of its rank late.
     *
     * Prompts of less urgent ranks that become late are refused by the next [grantDue].
     */
    fun add(now: Long, prompt: QueuedPrompt): Boolean =
        insert(now, prompt).also { accepted -> recordSize(prompt, accepted) }

    private fun insert(now: Long, prompt: QueuedPrompt): Boolean {
        refill(now)
        val due = dueNanos(prompt)
        val index = queued.indexOfFirst { it.rank > prompt.rank || (it.rank == prompt.rank && dueNanos(it) > due) }
            .let { if (it < 0) queued.size else it }
        val waitMillis = waitMillis(queued.subList(0, index).sumOf { it.tokens }, prompt)
        if (queued.size >= MAX_QUEUED || waitMillis > leftMillis(now, prompt)) return false
        if (waitMillis > 0 && waitMillis > leftMillis(now, prompt) - reserveMillis(now, prompt)) return false
        queued.add(index, prompt)
        val late = latePrompts(now)
        if (late.any { it.rank == prompt.rank }) {
            queued.removeAt(index)
            return false
        }
        queued.removeAll(late)
        lateRefusals += late
        return true
    }

    /** Removes a prompt whose caller has disconnected. */
    fun cancel(id: String) {
        queued.removeAll { it.id == id }
    }

    /**
     * Removes and returns the prompts whose turn has come and those whose turn cannot come in time.
     *
     * @param freeSlots number of further requests that the engine can run.
     * @param slowness ratio of actual to expected reading time of the engine.
     */
    fun grantDue(now: Long, freeSlots: Int, slowness: Double): Grants {
        current = pace(max(MIN_SLOWNESS, slowness))
        refill(now)
        val expired = queued.filter { now >= it.untilNanos }
        queued.removeAll(expired)
        val refused = lateRefusals + expired
        lateRefusals.clear()
        val granted = ArrayList<QueuedPrompt>()
        while (granted.size < freeSlots) {
            val next = next(now) ?: break
            queued.remove(next)
            levelTokens -= next.tokens
            granted += next
        }
        return Grants(granted, refused)
    }

    private fun next(now: Long): QueuedPrompt? {
        val first = queued.firstOrNull() ?: return null
        val neededTokens = if (first.rank >= spareRank) burstTokens else min(first.tokens.toDouble(), burstTokens)
        if (levelTokens >= neededTokens) return first
        if (first.rank >= spareRank) return null
        var tokensAhead = 0
        var slackMillis = Double.MAX_VALUE
        for (prompt in queued) {
            if (prompt.rank != first.rank) return null
            val passes = prompt.tokens <= levelTokens && prompt.tokens / refillPerMilli <= slackMillis
            if (passes) return prompt
            val ownSlack = leftMillis(now, prompt) - waitMillis(tokensAhead, prompt) - PASS_MARGIN_MILLIS
            slackMillis = min(slackMillis, ownSlack)
            tokensAhead += prompt.tokens
        }
        return null
    }

    private fun latePrompts(now: Long): List<QueuedPrompt> {
        var tokensAhead = 0
        return queued.filter { prompt ->
            val late = waitMillis(tokensAhead, prompt) > leftMillis(now, prompt)
            if (!late) tokensAhead += prompt.tokens
            late
        }
    }

    private fun waitMillis(tokensAhead: Int, prompt: QueuedPrompt): Double =
        max(0.0, tokensAhead + min(prompt.tokens.toDouble(), burstTokens) - levelTokens) / refillPerMilli

    private fun leftMillis(now: Long, prompt: QueuedPrompt): Double = (prompt.untilNanos - now) / 1e6

    private fun dueNanos(prompt: QueuedPrompt): Long = prompt.untilNanos + (prompt.tokens / speed * 1e6).toLong()

    // The part of the wait of [prompt] that a long prompt of its rank would not tolerate.
    private fun reserveMillis(now: Long, prompt: QueuedPrompt): Double {
        val long = longPrompts[prompt.rank] ?: return 0.0
        val readMillis = max(0.0, long.tokens - prompt.tokens) / speed
        val bucketMillis = max(0.0, min(long.tokens, burstTokens) - prompt.tokens) / refillPerMilli
        return long.reservedPart * min(readMillis + bucketMillis, MAX_RESERVE_PART * leftMillis(now, prompt))
    }

    private fun recordSize(prompt: QueuedPrompt, accepted: Boolean) {
        longPrompts.getOrPut(prompt.rank) { LongPrompts(prompt.tokens.toDouble()) }.record(prompt.tokens, accepted)
        if (longPrompts.size > MAX_RANKS) longPrompts.keys.remove(longPrompts.keys.max())
    }

    private fun refill(now: Long) {
        val elapsed = now - refilledNanos
        refilledNanos = now
        levelTokens = min(burstTokens, levelTokens + max(0L, elapsed) / 1e6 * refillPerMilli)
    }

    private companion object {
        // First parts that arrive early because prompts were cached do not show a higher reading speed.
        const val MIN_SLOWNESS = 0.95

        // A prompt that is passed must still start in time if the bucket refills a little slower than expected.
        const val PASS_MARGIN_MILLIS = 50.0

        // Half of the longest tenth; a single very large prompt barely changes it.
        const val LONG_QUANTILE = 0.95
        const val QUANTILE_STEP_PART = 0.1

        // The full reserve applies while more than a sixth of the long prompts are refused, and none while fewer are.
        const val RESERVE_RISE = 0.25
        const val RESERVE_FALL = 0.05

        // Prompts that take longer to read than callers can wait must not close the queue to the others.
        const val MAX_RESERVE_PART = 0.5

        const val MAX_QUEUED = 1_024
        const val MAX_RANKS = 64
    }
}
