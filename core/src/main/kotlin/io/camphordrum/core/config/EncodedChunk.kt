package io.camphordrum.core.config

import java.security.MessageDigest

/** Holds the encoded form of a page and its address, the SHA-256 of the text. */
internal class EncodedChunk(val hash: String, val text: String) {
    companion object {
        fun of(text: String) = EncodedChunk(hashOf(text), text)

        fun hashOf(text: String): String = hex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))
    }
}
