package io.camphordrum.core.membership

import io.camphordrum.core.Generation
import io.camphordrum.core.GenerationMember
import kotlinx.serialization.Serializable

/**
 * Records how the live members changed from generation `number - 1` to generation [number].
 *
 * @property joined members that are live in [number] and were not before.
 * @property left members that were live before and are not in [number].
 */
@Serializable
public data class MembershipChange(
    public val number: Long,
    public val joined: List<GenerationMember> = emptyList(),
    public val left: List<GenerationMember> = emptyList(),
)

/**
 * Represents the content of the platform object `membership/<data centre>`.
 *
 * @property history the latest changes, oldest first and without gaps. Every listed member is known to have adopted
 *   the generation before the first of them, so that no member acts on an older one.
 */
@Serializable
public data class MembershipRecord(
    public val generation: Generation,
    public val history: List<MembershipChange> = emptyList(),
)
