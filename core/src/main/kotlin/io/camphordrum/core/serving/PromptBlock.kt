package io.camphordrum.core.serving

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Blocks requests whose prompt has crashed endpoints.
 *
 * A block covers the requests that contain all of its [parts]. What the requests that crashed endpoints had in common
 * is blocked, not each of their parts, so a sound part among them is never refused by itself.
 *
 * @property parts ids of prompt parts, in order.
 * @property account only account whose requests crashed endpoints; null if several did, and the block covers all.
 * @property crashes number of crashes that led to the block.
 * @property endpoints endpoints that crashed.
 * @property decidedEpochMillis wall-clock time of the decision.
 */
@Serializable
public data class PromptBlock(
    @SerialName("p") public val parts: List<String>,
    @SerialName("k") public val account: String?,
    @SerialName("n") public val crashes: Int,
    @SerialName("e") public val endpoints: List<String>,
    @SerialName("t") public val decidedEpochMillis: Long,
) {
    /** Identifies the block on all daemons and in the store. */
    public val id: String get() = parts.joinToString("+") + account?.let { "@$it" }.orEmpty()

    /** Returns whether requests of [otherAccount] with [otherParts] are blocked. */
    public fun covers(otherAccount: String?, otherParts: Collection<String>): Boolean =
        (account == null || account == otherAccount) && otherParts.containsAll(parts)
}

/**
 * Carries what daemons know about prompts that may crash endpoints.
 *
 * @property crashes recent crashes and their suspects.
 * @property cleanRuns answers that disprove a suspicion.
 * @property blocks all blocks in force.
 */
@Serializable
public data class PromptReport(
    @SerialName("c") public val crashes: List<EndpointCrash> = emptyList(),
    @SerialName("r") public val cleanRuns: List<CleanRun> = emptyList(),
    @SerialName("b") public val blocks: List<PromptBlock> = emptyList(),
)

/**
 * Describes an answer that got well under way on a suspected part.
 *
 * @property id id of the caller's attempt.
 * @property ageMillis time since the answer began.
 */
@Serializable
public data class CleanRun(
    @SerialName("p") public val part: String,
    @SerialName("i") public val id: String,
    @SerialName("a") public val ageMillis: Long,
)

/** Stores blocks, so that they outlast all daemons. */
public fun interface PromptBlockStore {
    /** Creates [block] unless it is stored; [onEnd] receives whether it is stored now. */
    public fun create(block: PromptBlock, onEnd: (Boolean) -> Unit)
}
