package io.camphordrum.core.serving

/**
 * Bounds the rate at which prompts may be sent to an engine.
 *
 * @property tokensPerMilli prompt tokens that the engine reads in a millisecond when it does nothing else.
 * @property readingPart part of the engine's time that may be spent reading prompts.
 * @property burstTokens prompt tokens that may be sent at once.
 */
internal data class Pace(val tokensPerMilli: Double, val readingPart: Double, val burstTokens: Double)

/**
 * Estimates how fast the engines of one service read prompts and generate tokens, from the answers passed through.
 *
 * An engine does not read the cached part of a prompt again. Therefore only tokens that no engine can have cached
 * count, and each answer gives a lower bound of the speed. The estimate follows the highest of these bounds and falls
 * slowly; a single answer changes it by at most a few hundredths.
 */
internal class EngineSpeed {
    /** Estimated prompt tokens that an engine reads in a millisecond. */
    var tokensPerMilli = INITIAL_TOKENS_PER_MILLI
        private set

    /** Estimated milliseconds between two tokens of one stream while no prompt is read. */
    var stepMillis = INITIAL_STEP_MILLIS
        private set

    /** Records that an answer began [millis] after its prompt was sent; no engine can have cached its [newTokens]. */
    fun recordRead(newTokens: Int, millis: Double) {
        if (newTokens < MIN_PROMPT_TOKENS) return
        val observed = newTokens / maxOf(1.0, millis - OVERHEAD_MILLIS)
        val step = if (observed > tokensPerMilli) {
            minOf((observed - tokensPerMilli) * RISE_WEIGHT, tokensPerMilli * MAX_RISE_PART)
        } else {
            (observed - tokensPerMilli) * FALL_WEIGHT
        }
        tokensPerMilli = (tokensPerMilli + step).coerceIn(MIN_TOKENS_PER_MILLI, MAX_TOKENS_PER_MILLI)
    }

    /** Records that two events of [eventTokens] tokens arrived [millis] apart. */
    fun recordEvent(eventTokens: Int, millis: Double) {
        val observed = millis / maxOf(1, eventTokens)
        // Events that were read from the connection together do not show the step time.
        if (observed < MIN_STEP_MILLIS) return
        val change = STEP_CHANGE_PART * stepMillis
        stepMillis = (stepMillis + if (observed < stepMillis) -(1 - STEP_QUANTILE) * change else STEP_QUANTILE * change)
            .coerceIn(MIN_STEP_MILLIS, MAX_STEP_MILLIS)
    }

    /**
     * Returns the pace at which an event of [eventTokens] is generated within [pauseMillis] while prompts are read.
     *
     * The time of an event consists of its steps, the burst, and the prompts read meanwhile; the latter take
     * [Pace.readingPart] of the total.
     *
     * @param slowness how much longer the steps of the engine in question take than those of the service.
     */
    fun pace(eventTokens: Int, pauseMillis: Long, slowness: Double = 1.0): Pace {
        val fixedMillis = eventTokens * stepMillis * slowness + BURST_MILLIS
        val readingPart = (1 - fixedMillis / (pauseMillis * USABLE_PAUSE_PART)).coerceIn(
            MIN_READING_PART,
            MAX_READING_PART,
        )
        return Pace(tokensPerMilli, readingPart, BURST_MILLIS * tokensPerMilli / slowness)
    }

    internal companion object {
        // Starting points until answers have been observed.
        const val INITIAL_TOKENS_PER_MILLI = 20.0
        const val INITIAL_STEP_MILLIS = 10.0
        const val MIN_TOKENS_PER_MILLI = 4.0
        const val MAX_TOKENS_PER_MILLI = 200.0
        const val MIN_STEP_MILLIS = 1.0
        const val MAX_STEP_MILLIS = 100.0

        // The time of shorter prompts is mostly step and network time.
        const val MIN_PROMPT_TOKENS = 600

        // One step and the network round trip.
        const val OVERHEAD_MILLIS = 8.0
        const val RISE_WEIGHT = 0.2
        const val MAX_RISE_PART = 0.05
        const val FALL_WEIGHT = 0.03

        // The shorter pauses contain no reading, and a low quantile is robust against a few outliers.
        const val STEP_QUANTILE = 0.2
        const val STEP_CHANGE_PART = 0.02

        // Allows a prompt of ordinary size without waiting for the bucket.
        const val BURST_MILLIS = 80.0

        // Leaves time for the network between an engine and a caller.
        const val USABLE_PAUSE_PART = 0.95
        const val MIN_READING_PART = 0.3
        const val MAX_READING_PART = 0.7
    }
}
