package io.camphordrum.core.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Changes one place of the tree; [path] has the form of [TreePath]. */
@Serializable
public sealed interface Edit {
    public val path: String

    /** Adds [entry] at [path], or replaces what is there. */
    @Serializable
    @SerialName("put")
    public data class Put(override val path: String, public val entry: Entry) : Edit

    /** Removes the entry, or the branch with everything below it; fails when there is none. */
    @Serializable
    @SerialName("remove")
    public data class Remove(override val path: String) : Edit
}
