package io.camphordrum.core.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Replicates configuration revisions between daemons; each message encodes to less than 1 MB. */
@Serializable
public sealed interface ConfigMessage {
    /** Announces the revision of the sender; sent periodically for anti-entropy. */
    @Serializable
    @SerialName("notice")
    public data class Notice(public val revision: Long) : ConfigMessage

    /** Requests the changes after [revision]; -1 requests an [Index]. */
    @Serializable
    @SerialName("fetch")
    public data class Fetch(public val revision: Long) : ConfigMessage

    /** Carries consecutive changes; the sender has revision [latest], which may be later than the last of [records]. */
    @Serializable
    @SerialName("changes")
    public data class Changes(public val latest: Long, public val records: List<ChangeRecord>) : ConfigMessage

    /** Lists the chunks of a revision; sent when the log of the sender does not cover the requested changes. */
    @Serializable
    @SerialName("index")
    public data class Index(public val revision: Long, public val chunks: List<String>) : ConfigMessage

    /** Requests chunks by address. */
    @Serializable
    @SerialName("fetchChunks")
    public data class FetchChunks(public val revision: Long, public val chunks: List<String>) : ConfigMessage

    /** Carries one chunk; its address is the SHA-256 of [text]. */
    @Serializable
    @SerialName("chunk")
    public data class Chunk(public val revision: Long, public val text: String) : ConfigMessage
}
