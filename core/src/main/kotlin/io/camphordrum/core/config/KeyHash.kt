package io.camphordrum.core.config

import kotlinx.serialization.Serializable
import java.security.MessageDigest

/**
 * Holds the HMAC-SHA256 of a caller's key under the fleet secret, as 64 lower-case hexadecimal digits.
 *
 * ```kotlin
 * val hash = KeyHasher(secret).hash("demo-key-1")
 * ```
 */
@Serializable
@JvmInline
public value class KeyHash(public val hex: String) {
    /** Compares in constant time, so that the duration does not reveal where the hashes differ. */
    public fun matches(other: KeyHash): Boolean = MessageDigest.isEqual(hex.toByteArray(), other.hex.toByteArray())

    override fun toString(): String = hex
}
