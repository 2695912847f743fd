package io.camphordrum.core.turns

/**
 * Bounds the rate at which prompts may be sent to an engine.
 *
 * @property tokensPerMilli prompt tokens that the engine reads in a millisecond when it does nothing else.
 * @property readingPart part of the engine's time that may be spent reading prompts.
 * @property burstTokens prompt tokens that may be sent at once.
 */
internal data class Pace(val tokensPerMilli: Double, val readingPart: Double, val burstTokens: Double)
