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
        /** Parses operator input: like [parse], but ignores slashes around a branch; `/` is the root. */
        public fun parseInput(text: String): TreePath {
            val parsed = parse(text.trimStart('/'))
            return if (parsed.section == null) TreePath(parsed.branch.trimEnd('/'), null) else parsed
        }

        /** Parses [text]; the first segment that is a section key ends the branch. Every text is valid. */
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
