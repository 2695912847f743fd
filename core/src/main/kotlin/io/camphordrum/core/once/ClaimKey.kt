package io.camphordrum.core.once

import io.camphordrum.core.AccountId
import kotlinx.serialization.Serializable

/**
 * Identifies a request that must run at most once: the value of `Idempotency-Key` within a client account.
 *
 * Throws `IllegalArgumentException` when [key] is empty or longer than [MAX_LENGTH].
 */
@Serializable
public data class ClaimKey(public val account: AccountId, public val key: String) {
    init {
        require(key.length in 1..MAX_LENGTH) { "expected a key of 1 to $MAX_LENGTH characters, but was ${key.length}" }
    }

    /** Defines the length limit. */
    public companion object {
        /** The maximum length of a key, in characters. */
        public const val MAX_LENGTH: Int = 256
    }
}

/** Identifies one attempt to run a request; unique over all attempts of all processes. */
@Serializable
@JvmInline
public value class AttemptId(public val name: String) {
    override fun toString(): String = name
}
