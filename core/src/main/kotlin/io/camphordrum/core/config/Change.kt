package io.camphordrum.core.config

import kotlinx.serialization.Serializable

/**
 * Requests edits that are applied atomically: all of them or none.
 *
 * ```kotlin
 * Change("5f1c", base = 41, who = "ada", epochMillis = clock.epochMillis(), why = "new client", edits = edits)
 * ```
 *
 * @property id unique id; shows whether a change whose answer was lost took effect.
 * @property base revision on which the operator based the change; it becomes revision `base + 1` or is refused.
 */
@Serializable
public data class Change(
    public val id: String,
    public val base: Long,
    public val who: String,
    public val epochMillis: Long,
    public val why: String,
    public val edits: List<Edit>,
)

/**
 * Records an accepted [change] as [revision].
 *
 * @property undo edits that restore the previous revision; empty in records exchanged between peers.
 */
@Serializable
public data class ChangeRecord(
    public val revision: Long,
    public val change: Change,
    public val undo: List<Edit> = emptyList(),
)
