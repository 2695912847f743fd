package io.camphordrum.core.serving

import kotlin.math.max
import kotlin.math.min

/**
 * Limits the rate of prompts at one engine, so that the pauses of the streams running there stay short.
 *
 * A turn is the permission to send the prompt of one request; unlike a ticket (`residency`), it protects no adapter
 * from eviction and only paces prompts. An engine reads prompts in chunks between the tokens of
 * other requests, and every stream pauses while a chunk is read. A token bucket that refills at a part of the reading
 * speed of the engine bounds the prompt tokens that are read while an event of a stream is generated
 * ([EngineSpeed.pace]). A prompt larger than the bucket needs a full bucket and overdraws it. Requests are granted
 * turns by priority, then in order of arrival.
 */
internal class TurnQueue(private val pace: () -> Pace) {
    /** Describes a request that waits for its turn. */
    class TurnRequest(val requester: String, val id: String, val tokens: Int, val priority: Int, val untilNanos: Long)

    private val waiting = ArrayList<TurnRequest>()
    private var burstTokens = pace().burstTokens
    private var levelTokens = burstTokens
    private var refilledNanos = 0L
    private var tokensPerMilli = pace().let { it.tokensPerMilli * it.readingPart }

    /** Prompt tokens of the waiting requests. */
    val waitingTokens: Int get() = waiting.sumOf { it.tokens }

    /** Adds [request]; returns false if its turn would come too late. */
    fun add(now: Long, request: TurnRequest): Boolean {
        refill(now)
        val tokensAhead = waiting.filter { it.priority <= request.priority }.sumOf { it.tokens }
        val missingTokens = tokensAhead + min(request.tokens.toDouble(), burstTokens) - levelTokens
        val waitMillis = max(0.0, missingTokens) / tokensPerMilli
        if (waitMillis > (request.untilNanos - now) / 1e6) return false
        val index = waiting.indexOfFirst { it.priority > request.priority }
        if (index < 0) waiting += request else waiting.add(index, request)
        return true
    }

    /** Removes a request whose caller has disconnected. */
    fun cancel(id: String) {
        waiting.removeAll { it.id == id }
    }

    /**
     * Returns the requests whose turn is granted and those that have expired.
     *
     * @param freeSlots number of further requests that the engine can run.
     * @param slowness ratio of actual to expected reading time of the engine.
     */
    fun grantDue(now: Long, freeSlots: Int, slowness: Double): Pair<List<TurnRequest>, List<TurnRequest>> {
        val currentPace = pace()
        burstTokens = currentPace.burstTokens
        tokensPerMilli = currentPace.tokensPerMilli * currentPace.readingPart / max(MIN_SLOWNESS, slowness)
        refill(now)
        val expired = waiting.filter { now >= it.untilNanos }
        waiting.removeAll(expired)
        val granted = ArrayList<TurnRequest>()
        while (waiting.isNotEmpty() && granted.size < freeSlots) {
            val first = waiting.first()
            if (levelTokens < min(first.tokens.toDouble(), burstTokens)) break
            levelTokens -= first.tokens
            granted += waiting.removeFirst()
        }
        return granted to expired
    }

    private fun refill(now: Long) {
        val elapsed = now - refilledNanos
        refilledNanos = now
        levelTokens = min(burstTokens, levelTokens + max(0L, elapsed) / 1e6 * tokensPerMilli)
    }

    private companion object {
        // First parts that arrive early because prompts were cached do not show a higher reading speed.
        const val MIN_SLOWNESS = 0.95
    }
}
