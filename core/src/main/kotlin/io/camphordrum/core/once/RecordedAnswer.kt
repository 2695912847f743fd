package io.camphordrum.core.once

import kotlinx.serialization.Serializable
import kotlin.io.encoding.Base64

/**
 * Holds the answer that is replayed to a repeat of a request.
 *
 * ```kotlin
 * RecordedAnswer.of(201, "application/json", bytes).body()
 * ```
 *
 * @property bodyBase64 the body in base64, so that its stored size does not depend on its content.
 */
@Serializable
public data class RecordedAnswer(
    public val status: Int,
    public val contentType: String,
    public val bodyBase64: String,
) {
    /** Returns the body's bytes. */
    public fun body(): ByteArray = Base64.decode(bodyBase64)

    /** Creates recorded answers. */
    public companion object {
        /** Returns an answer with the bytes of [body]. */
        public fun of(status: Int, contentType: String, body: ByteArray): RecordedAnswer =
            RecordedAnswer(status, contentType, Base64.encode(body))
    }
}
