package io.camphordrum.core.config

import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * Hashes callers' keys under the fleet secret; thread-safe.
 *
 * ```kotlin
 * snapshot.account(KeyHasher(settings.keySecret).hash(bearer))
 * ```
 *
 * @param secret fleet secret; must not be empty.
 */
public class KeyHasher(secret: String) {
    private val spec = SecretKeySpec(secret.toByteArray(), ALGORITHM)

    // Mac is stateful during a computation, so each thread has its own.
    private val macs = ThreadLocal.withInitial { Mac.getInstance(ALGORITHM).apply { init(spec) } }

    /** Returns the keyed hash of [key]. */
    public fun hash(key: String): KeyHash = KeyHash(hex(macs.get().doFinal(key.toByteArray())))
}

internal fun hex(bytes: ByteArray): String {
    val digits = CharArray(bytes.size * 2)
    for ((i, byte) in bytes.withIndex()) {
        digits[2 * i] = DIGITS[(byte.toInt() shr 4) and 0xf]
        digits[2 * i + 1] = DIGITS[byte.toInt() and 0xf]
    }
    return digits.concatToString()
}

private const val DIGITS = "0123456789abcdef"
private const val ALGORITHM = "HmacSHA256"
