package io.camphordrum.core.config

/** Collects the entries of one branch into its nested form. */
internal class DeclarationBuilder {
    private var settings = Settings()
    private val maps = Section.entries.associateWith { LinkedHashMap<String, Entry>() }
    private val branches = sortedMapOf<String, DeclarationBuilder>()

    private fun at(branch: String): DeclarationBuilder =
        if (branch.isEmpty()) {
            this
        } else {
            branch.split('/').fold(this) { at, name ->
                at.branches.getOrPut(name, ::DeclarationBuilder)
            }
        }

    private fun add(name: String, section: Section, entry: Entry) {
        if (entry is Settings) settings = entry else maps.getValue(section)[name] = entry
    }

    private inline fun <reified E : Entry> section(section: Section): Map<String, E> =
        maps.getValue(section).mapValues { (_, entry) -> entry as E }

    private fun build(): Declaration = Declaration(
        settings,
        section(Section.ACCOUNTS),
        section(Section.KEYS),
        section(Section.ADAPTERS),
        section(Section.ROUTES),
        section(Section.DATA_CENTRES),
        section(Section.ENDPOINTS),
        section(Section.LOAD_BUDGETS),
        branches.mapValues { (_, builder) -> builder.build() },
    )

    companion object {
        fun of(tree: Tree): Declaration {
            val root = DeclarationBuilder()
            for (section in Section.entries) {
                tree.forEach(section) { path, entry ->
                    val place = TreePath.parse(path)
                    root.at(place.branch).add(place.name, section, entry)
                }
            }
            return root.build()
        }
    }
}
