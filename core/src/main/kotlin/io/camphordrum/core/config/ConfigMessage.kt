package io.camphordrum.core.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Spreads configuration revisions between daemons; each message encodes to less than 1 MB. */
@Serializable
public sealed interface ConfigMessage {
    /** Tells which revision the sender has; sent with every heartbeat and for anti-entropy. */
    @Serializable
    @SerialName("notice")
    public data class Notice(public val revision: Long) : ConfigMessage

    /** Asks for the changes after [revision]; -1 asks for an [Index]. */
    @Serializable
    @SerialName("fetch")
    public data class Fetch(public val revision: Long) : ConfigMessage

    /** Carries consecutive changes; the sender has revision [latest], which may be more than fits in one message. */
    @Serializable
    @SerialName("changes")
    public data class Changes(public val latest: Long, public val records: List<ChangeRecord>) : ConfigMessage

    /** Names the chunks of a revision, when the sender no longer has the changes that were asked for. */
    @Serializable
    @SerialName("index")
    public data class Index(public val revision: Long, public val chunks: List<String>) : ConfigMessage

    /** Asks for chunks by their addresses. */
    @Serializable
    @SerialName("fetchChunks")
    public data class FetchChunks(public val revision: Long, public val chunks: List<String>) : ConfigMessage

    /** Carries one chunk; its address is the SHA-256 of [text]. */
    @Serializable
    @SerialName("chunk")
    public data class Chunk(public val revision: Long, public val text: String) : ConfigMessage
}
