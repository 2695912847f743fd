package io.camphordrum.core.config

import kotlinx.serialization.Serializable

/**
 * Describes one validation error of the tree.
 *
 * @property path entry or branch, written as a [TreePath].
 */
@Serializable
public data class TreeError(public val path: String, public val expected: String, public val received: String) {
    override fun toString(): String = "$path: expected $expected, but was $received"
}
