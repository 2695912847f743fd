package io.camphordrum.core.membership

import io.camphordrum.core.Generation
import io.camphordrum.core.GenerationMember
import kotlinx.serialization.Serializable

/**
 * Lists how the live members changed from generation `number - 1` to generation [number].
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
 * Holds what the platform object `membership/<data centre>` stores.
 *
 * @property history the latest changes, oldest first and without gaps. Every listed member is known to have adopted
 *   the generation before the first of them, so that older generations matter to nobody.
 */
@Serializable
public data class MembershipRecord(
    public val generation: Generation,
    public val history: List<MembershipChange> = emptyList(),
)
