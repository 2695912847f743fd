package io.camphordrum.core.config

import kotlinx.serialization.Serializable

/**
 * Names everything that makes up one revision; the only durable object that is overwritten.
 *
 * @property chunks addresses of all chunks.
 * @property record the change that made this revision; without its edits when they are many, see [history].
 * @property history address of the [HistoryObject] of this change.
 * @property recent the newest accepted changes, the newest last; settles changes whose answer was lost.
 */
@Serializable
public data class RootObject(
    public val revision: Long,
    public val chunks: List<String>,
    public val record: ChangeRecord,
    public val history: String,
    public val recent: List<RecentChange>,
)

/** Names an accepted change. */
@Serializable
public data class RecentChange(public val id: String, public val revision: Long)

/**
 * Keeps the record of one change; the objects form a chain from the newest change to the first.
 *
 * @property edits addresses of [EditsObject]s when the record's edits are stored apart, in order.
 * @property undo the same for the edits that lead back.
 * @property previous address of the record before this one, or null for the first.
 */
@Serializable
public data class HistoryObject(
    public val record: ChangeRecord,
    public val edits: List<String> = emptyList(),
    public val undo: List<String> = emptyList(),
    public val previous: String? = null,
)

/** Holds a part of the edits of a large change. */
@Serializable
public data class EditsObject(public val edits: List<Edit>)

/** Holds neighbouring entries of one section; content-addressed and at most 256 KB. */
@Serializable
public data class ChunkObject(public val entries: Map<String, Entry>)
