package io.camphordrum.core.once

import io.camphordrum.core.AccountId
import kotlinx.serialization.Serializable

/** Names a request that must run at most once: the value of `Idempotency-Key` within a client account. */
@Serializable
public data class ClaimKey(public val account: AccountId, public val key: String)

/** Identifies one attempt to run a request; no two attempts of any process have the same one. */
@Serializable
@JvmInline
public value class AttemptId(public val name: String) {
    override fun toString(): String = name
}
