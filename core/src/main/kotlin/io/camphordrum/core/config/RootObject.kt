package io.camphordrum.core.config

import kotlinx.serialization.Serializable

/**
 * References all objects of one revision; the only durable object that is overwritten.
 *
 * @property chunks addresses of all chunks.
 * @property record change that produced this revision; a large one is stored without its edits, see [history].
 * @property history address of the [HistoryObject] of this change.
 * @property recent latest accepted changes, oldest first; resolves changes whose answer was lost.
 */
@Serializable
public data class RootObject(
    public val revision: Long,
    public val chunks: List<String>,
    public val record: ChangeRecord,
    public val history: String,
    public val recent: List<RecentChange>,
)

/** Identifies an accepted change. */
@Serializable
public data class RecentChange(public val id: String, public val revision: Long)

/**
 * Holds the record of one change; the objects form a linked list from the newest change to the first.
 *
 * @property edits addresses of the [EditsObject]s, in order, when the edits of the record are stored separately.
 * @property undo the same for the edits that undo the change.
 * @property previous address of the preceding record, or null for the first.
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

/** Holds adjacent entries of one section; content-addressed and at most 256 KB. */
@Serializable
public data class ChunkObject(public val entries: Map<String, Entry>)
