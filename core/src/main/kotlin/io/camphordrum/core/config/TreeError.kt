package io.camphordrum.core.config

import kotlinx.serialization.Serializable

/**
 * Says what is wrong at one place of the tree.
 *
 * @property path the entry or branch, in the form of [TreePath].
 */
@Serializable
public data class TreeError(public val path: String, public val expected: String, public val received: String) {
    override fun toString(): String = "$path: expected $expected, but was $received"
}
