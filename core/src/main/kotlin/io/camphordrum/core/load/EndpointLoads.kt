package io.camphordrum.core.load

import io.camphordrum.core.serving.EndpointState
import io.camphordrum.core.serving.ServingContext
import io.camphordrum.core.serving.Work

/**
 * Estimates the time to the first part of an answer at each endpoint.
 *
 * Every decision about placement, admission and turns reads these estimates and keeps none of its own.
 */
internal class EndpointLoads(private val context: ServingContext) {
    /**
     * Returns the expected milliseconds from now until the answer to [work] begins at [endpoint], which holds its
     * adapter, after the waiting prompts of [rank] and lower ranks.
     */
    fun expectedMillis(now: Long, work: Work, endpoint: EndpointState, rank: Int): Double {
        val engine = context.engine(endpoint) ?: return plainMillis(now, endpoint)
        val excessRequests =
            endpoint.runningEverywhere(now) + endpoint.unansweredEverywhere(now) + 1 - engine.batchSlots
        val pace = context.pace(endpoint.record.service)
        val turnTokens = endpoint.turnTokensAhead(rank)
        val reading = readMillis(now, work, endpoint) + turnTokens / (pace.tokensPerMilli * pace.readingPart)
        return reading * endpoint.slowness + maxOf(0, excessRequests) * RUN_MILLIS / engine.batchSlots
    }

    /** Returns the time that an engine of slowness 1 takes to read the unanswered prompts and that of [work]. */
    fun readMillis(now: Long, work: Work, endpoint: EndpointState): Double {
        val tokens = endpoint.pendingTokens(now) + work.promptTokens
        return tokens / context.speed(endpoint.record.service).tokensPerMilli + STEP_MILLIS +
            endpoint.runningEverywhere(now) * STEP_MILLIS_PER_RUN
    }

    private fun plainMillis(now: Long, endpoint: EndpointState): Double {
        val open = endpoint.runningEverywhere(now) + endpoint.unansweredEverywhere(now)
        val slots = maxOf(1, endpoint.record.slots)
        return PLAIN_MILLIS * endpoint.slowness * (open.toDouble() / slots + maxOf(0, open + 1 - slots))
    }

    private companion object {
        // Constants of the estimate; the slowness of an endpoint corrects them by its actual times.
        const val STEP_MILLIS = 10.0
        const val STEP_MILLIS_PER_RUN = 0.1
        const val RUN_MILLIS = 2_000.0
        const val PLAIN_MILLIS = 60.0
    }
}
