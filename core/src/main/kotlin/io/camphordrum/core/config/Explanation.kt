package io.camphordrum.core.config

import kotlinx.serialization.Serializable

/**
 * Holds the effective value of one setting and its origin.
 *
 * @property from branch that declares the value: `/` for the root, `default` when no branch does.
 */
@Serializable
public data class SettingOrigin(public val name: String, public val value: String, public val from: String)

/**
 * Describes the configuration in force at a path.
 *
 * @property entry entry at the path itself, or null for a branch or a missing entry.
 */
@Serializable
public data class Explanation(
    public val path: String,
    public val branch: String,
    public val entry: Entry? = null,
    public val settings: List<SettingOrigin>,
)
