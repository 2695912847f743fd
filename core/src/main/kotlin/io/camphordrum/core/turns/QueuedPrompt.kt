package io.camphordrum.core.turns

/**
 * Describes a prompt that waits for its turn at an engine.
 *
 * @property requester daemon that sends the prompt when its turn is granted.
 * @property id id of the request.
 * @property tokens tokens that the engine reads before the first part of the answer.
 * @property rank 0 is granted first; see `AdmissionPolicy`.
 * @property untilNanos latest time of the turn at which the first part still meets its target.
 */
internal class QueuedPrompt(
    val requester: String,
    val id: String,
    val tokens: Int,
    val rank: Int,
    val untilNanos: Long,
)
