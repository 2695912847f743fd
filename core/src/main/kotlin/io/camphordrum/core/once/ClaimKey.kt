package io.camphordrum.core.once

import io.camphordrum.core.AccountId
import kotlinx.serialization.Serializable

/**
 * Names a request that must run at most once: the value of `Idempotency-Key` within a client account.
 *
 * Throws `IllegalArgumentException` when [key] is empty or longer than [MAX_LENGTH].
 */
@Serializable
public data class ClaimKey(public val account: AccountId, public val key: String) {
    init {
        require(key.length in 1..MAX_LENGTH) { "expected a key of 1 to $MAX_LENGTH characters, but was ${key.length}" }
    }

    /** Names the limit. */
    public companion object {
        /** The most characters of a key. */
        public const val MAX_LENGTH: Int = 256
    }
}

/** Identifies one attempt to run a request; no two attempts of any process have the same one. */
@Serializable
@JvmInline
public value class AttemptId(public val name: String) {
    override fun toString(): String = name
}
