package io.camphordrum.core

import kotlinx.serialization.Serializable

/**
 * Identifies one version of an adapter; its string form is `name@version`.
 *
 * ```kotlin
 * AdapterVersion.parse("reports@7") // AdapterVersion("reports", 7)
 * ```
 */
@Serializable
public data class AdapterVersion(public val adapter: String, public val version: Int) : Comparable<AdapterVersion> {
    override fun compareTo(other: AdapterVersion): Int = compareValuesBy(this, other, { it.adapter }, { it.version })

    override fun toString(): String = "$adapter@$version"

    public companion object {
        /** Parses `name@version`; returns null unless the name is non-empty and the version is a positive number. */
        public fun parse(text: String): AdapterVersion? {
            val separator = text.lastIndexOf('@')
            if (separator <= 0) return null
            val version = text.substring(separator + 1).toIntOrNull() ?: return null
            return if (version > 0) AdapterVersion(text.substring(0, separator), version) else null
        }
    }
}
