package io.camphordrum.core.once

import kotlinx.serialization.Serializable

/**
 * Identifies one stored object of claims.
 *
 * @property hour hours since the Unix epoch.
 * @property shard number of the shard, which each key determines; a shard is stored in many objects.
 * @property part 0 for the first object of the hour; the next part is used when the previous one is full.
 */
@Serializable
public data class ClaimShardId(public val hour: Long, public val shard: Int, public val part: Int = 0) {
    /** The name of the object in the platform's store. */
    public val objectName: String get() = if (part == 0) "claims/$hour/$shard" else "claims/$hour/$shard/$part"
}

/** States whether an object accepts new claims. */
@Serializable
public enum class ClaimShardState {
    /** New claims may be added. */
    OPEN,

    /** The object is full; new claims of the hour go to the next part. */
    CONTINUED,

    /** The hour is over; new claims go to a later hour. */
    SEALED,
}

/** States the progress of a claimed request. */
@Serializable
public enum class ClaimState {
    /** The request may have run; its outcome is unknown. */
    CLAIMED,

    /** The request has run, and its answer or the hash of its answer is recorded. */
    COMPLETED,

    /** The request did not run, and the key may be claimed again. */
    RELEASED,
}

/**
 * Records the claim of one request.
 *
 * @property fingerprint hash of the request; a repeat with another fingerprint is a conflict.
 * @property attempt the attempt that may run the request.
 * @property answer the answer; null while it is unknown or if it is too large.
 * @property answerHash hash of the answer's body; 0 while it is unknown.
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

/** Holds the content of one stored object of claims. */
@Serializable
public data class ClaimShard(
    public val state: ClaimShardState = ClaimShardState.OPEN,
    public val claims: List<Claim> = emptyList(),
)
