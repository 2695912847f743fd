package io.camphordrum.core.config

import kotlinx.serialization.Serializable

/**
 * Tells the effective value of one setting and where it comes from.
 *
 * @property from the branch that says so: `/` for the root, `default` when no branch does.
 */
@Serializable
public data class SettingOrigin(public val name: String, public val value: String, public val from: String)

/**
 * Explains what is in force at a path.
 *
 * @property entry what stands at the path itself, or null for a branch or a missing entry.
 */
@Serializable
public data class Explanation(
    public val path: String,
    public val branch: String,
    public val entry: Entry? = null,
    public val settings: List<SettingOrigin>,
)
