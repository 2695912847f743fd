package io.camphordrum.core.config

/** Builds the nested declaration of one branch from its entries. */
internal class DeclarationBuilder {
    private var settings = Settings()
    private val entriesBySection = Section.entries.associateWith { LinkedHashMap<String, Entry>() }
    private val branches = sortedMapOf<String, DeclarationBuilder>()

    private fun builderAt(branch: String): DeclarationBuilder =
        if (branch.isEmpty()) {
            this
        } else {
            branch.split('/').fold(this) { builder, name ->
                builder.branches.getOrPut(name, ::DeclarationBuilder)
            }
        }

    private fun add(name: String, section: Section, entry: Entry) {
        if (entry is Settings) settings = entry else entriesBySection.getValue(section)[name] = entry
    }

    private inline fun <reified E : Entry> section(section: Section): Map<String, E> =
        entriesBySection.getValue(section).mapValues { (_, entry) -> entry as E }

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
                    val parsed = TreePath.parse(path)
                    root.builderAt(parsed.branch).add(parsed.name, section, entry)
                }
            }
            return root.build()
        }
    }
}
