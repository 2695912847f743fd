package io.camphordrum.core.once

import kotlinx.serialization.Serializable

/**
 * Names one object of claims.
 *
 * @property hour hours since the Unix epoch.
 * @property part 0 for the first object of the hour; the next one is used when the one before is full.
 */
@Serializable
public data class ClaimShardId(public val hour: Long, public val shard: Int, public val part: Int = 0) {
    /** The name of the object in the platform's store. */
    public val objectName: String get() = if (part == 0) "claims/$hour/$shard" else "claims/$hour/$shard/$part"
}

/** Tells whether an object takes new claims. */
@Serializable
public enum class ClaimShardState {
    /** New claims may be added. */
    OPEN,

    /** The object is full; new claims of the hour go to the next part. */
    CONTINUED,

    /** The hour is over; new claims go to a later hour. */
    SEALED,
}

/** Tells how far a claimed request has come. */
@Serializable
public enum class ClaimState {
    /** The request may have run; nothing is known about its outcome. */
    CLAIMED,

    /** The request has run, and its answer or the hash of its answer is recorded. */
    COMPLETED,

    /** The request did not run, and the key may be claimed again. */
    RELEASED,
}

/**
 * Records the claim of one request.
 *
 * @property fingerprint hash of the request; a repeat with another one is a conflict.
 * @property attempt the attempt that may run the request.
 * @property answer the answer, or null while none is known or when it is too large.
 * @property answerHash hash of the answer's body, or 0 while none is known.
 */
@Serializable
public data class Claim(
    public val key: ClaimKey,
    public val fingerprint: Long,
    public val attempt: AttemptId,
    public val state: ClaimState = ClaimState.CLAIMED,
    public val answer: RecordedAnswer? = null,
    public val answerHash: Long = 0,
)

/** Holds what one object of claims stores. */
@Serializable
public data class ClaimShard(
    public val state: ClaimShardState = ClaimShardState.OPEN,
    public val claims: List<Claim> = emptyList(),
)
