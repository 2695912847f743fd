package io.camphordrum.core.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Changes the tree at one [path], written as a [TreePath]. */
@Serializable
public sealed interface Edit {
    public val path: String

    /** Adds [entry] at [path], or replaces the existing entry. */
    @Serializable
    @SerialName("put")
    public data class Put(override val path: String, public val entry: Entry) : Edit

    /** Removes the entry, or the branch with everything below it; invalid when neither exists. */
    @Serializable
    @SerialName("remove")
    public data class Remove(override val path: String) : Edit
}
