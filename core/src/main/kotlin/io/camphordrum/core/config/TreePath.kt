package io.camphordrum.core.config

/**
 * Locates an entry, or a whole branch, in the configuration tree.
 *
 * ```kotlin
 * TreePath.parse("drafting/adapters/reports") // branch "drafting", section ADAPTERS, name "reports"
 * TreePath.parse("routes//orders")            // root branch, section ROUTES, name "/orders"
 * TreePath.parse("drafting/settings")         // the settings of the branch "drafting"
 * TreePath.parse("drafting")                  // the branch itself
 * ```
 *
 * @property branch names of the branches from the root, joined by `/`; empty for the root.
 * @property section null when the path names a branch.
 * @property name empty for a branch and for settings.
 */
public data class TreePath(public val branch: String, public val section: Section?, public val name: String = "") {
    override fun toString(): String = when {
        section == null -> branch
        else -> buildString {
            if (branch.isNotEmpty()) append(branch).append('/')
            append(section.key)
            if (name.isNotEmpty()) append('/').append(name)
        }
    }

    public companion object {
        /** Parses what an operator types: like [parse], but a branch may have slashes around it; `/` is the root. */
        public fun ofInput(text: String): TreePath {
            val place = parse(text.trimStart('/'))
            return if (place.section == null) TreePath(place.branch.trimEnd('/'), null) else place
        }

        /** Parses [text]; the first segment that is a section's name ends the branch. Every text has a path. */
        public fun parse(text: String): TreePath {
            var start = 0
            while (start <= text.length) {
                val end = text.indexOf('/', start).let { if (it < 0) text.length else it }
                val section = Section.of(text.substring(start, end))
                if (section != null) {
                    return TreePath(text.take(maxOf(0, start - 1)), section, text.drop(end + 1))
                }
                start = end + 1
            }
            return TreePath(text, null)
        }
    }
}
