package io.camphordrum.core.config

import kotlinx.serialization.Serializable

/**
 * Asks for edits that are accepted together or not at all.
 *
 * ```kotlin
 * Change("5f1c", base = 41, who = "ada", epochMillis = clock.epochMillis(), why = "new client", edits = edits)
 * ```
 *
 * @property id unique; settles whether a change with a lost answer took effect.
 * @property base the revision that the operator saw; the change becomes revision `base + 1` or is refused.
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
 * @property undo the edits that lead back to the revision before; empty in records that peers exchange.
 */
@Serializable
public data class ChangeRecord(
    public val revision: Long,
    public val change: Change,
    public val undo: List<Edit> = emptyList(),
)
