package io.camphordrum.core.config

import io.camphordrum.core.AccountId

/**
 * Holds one revision of the configuration; immutable, and derived revisions share unchanged pages.
 *
 * ```kotlin
 * val result = Tree.empty().apply(change)
 * if (result is ApplyResult.Applied) Snapshot(result.tree)
 * ```
 *
 * @property revision 0 for the empty tree; incremented by every change.
 */
public class Tree internal constructor(
    public val revision: Long,
    internal val sections: Map<Section, PagedMap<Entry>>,
    internal val models: PagedMap<LocatedAdapter>,
    internal val keyHashes: PagedMap<Key>,
    internal val views: Views,
) {
    /** Applies [change], whose base must be this revision. */
    public fun apply(change: Change): ApplyResult {
        if (change.base != revision) return ApplyResult.Stale(change.base, revision)
        val errors = checkChange(change)
        return if (errors.isEmpty()) TreeUpdate(this).apply(revision + 1, change.edits) else ApplyResult.Invalid(errors)
    }

    /** Returns the entry at [path], or null when there is none. */
    public fun entry(path: String): Entry? = TreePath.parse(path).section?.let { sections.getValue(it)[path] }

    /** Returns the number of entries in [section], over all branches. */
    public fun count(section: Section): Int = sections.getValue(section).size

    /** Calls [action] with the path and value of all entries in [section], sorted by path. */
    public fun forEach(section: Section, action: (String, Entry) -> Unit) {
        sections.getValue(section).forEach(action)
    }

    /** Returns the settings in force at [branch]; a branch without entries has those of its parent. */
    public fun settings(branch: String): EffectiveSettings = views.settings(branch)

    /** Returns the edits that turn this tree into [other], sorted by path within each section. */
    public fun diff(other: Tree): List<Edit> = Section.entries.flatMap { section ->
        diffPages(sections.getValue(section).pages, other.sections.getValue(section).pages)
    }

    /** Returns the effective settings at [path] with the branch that declares each. */
    public fun explain(path: String): Explanation = explainPath(this, path)

    /** Returns the whole tree as a nested declaration. */
    public fun toDeclaration(): Declaration = DeclarationBuilder.of(this)

    public companion object {
        private val empty = Tree(
            revision = 0,
            sections = Section.entries.associateWith { PagedMap(::entryWeight) },
            models = PagedMap { _, _ -> 0 },
            keyHashes = PagedMap { _, _ -> 0 },
            views = Views.EMPTY,
        )

        /** Returns the tree without entries, at revision 0. */
        public fun empty(): Tree = empty

        /** Returns the tree of [declaration] as [revision], or the errors in it. */
        public fun of(revision: Long, declaration: Declaration): ApplyResult =
            TreeUpdate(empty).apply(revision, declaration.entries().map { (path, entry) -> Edit.Put(path, entry) })
    }
}

/** Holds an adapter with the branch that declares it. */
internal class LocatedAdapter(val branch: String, val adapter: Adapter)

// Compares entries only on pages that the trees do not share.
private fun diffPages(from: Array<Page<Entry>>, to: Array<Page<Entry>>): List<Edit> {
    val shared = java.util.Collections.newSetFromMap(java.util.IdentityHashMap<Page<Entry>, Boolean>())
    val oldPages = java.util.Collections.newSetFromMap(java.util.IdentityHashMap<Page<Entry>, Boolean>())
    oldPages.addAll(from)
    to.filterTo(shared) { it in oldPages }
    val oldEntries = entriesOf(from.filter { it !in shared })
    val newEntries = entriesOf(to.filter { it !in shared })
    val edits = sortedMapOf<String, Edit>()
    for (path in oldEntries.keys) if (path !in newEntries) edits[path] = Edit.Remove(path)
    for ((path, entry) in newEntries) if (oldEntries[path] != entry) edits[path] = Edit.Put(path, entry)
    return edits.values.toList()
}

private fun entriesOf(pages: List<Page<Entry>>): Map<String, Entry> {
    val out = HashMap<String, Entry>()
    for (page in pages) for (i in page.keys.indices) out[page.keys[i]] = page.value(i)
    return out
}

// Returns an upper bound of the JSON size in bytes; names are ASCII.
internal fun entryWeight(path: String, entry: Entry): Int = path.length + ENTRY_OVERHEAD_BYTES + when (entry) {
    is Adapter -> entry.base.name.length + entry.versions.size * VERSION_BYTES
    is Settings -> SETTINGS_OVERHEAD_BYTES + entry.allow.orEmpty().sumOf { it.name.length + QUOTE_BYTES }
    is Route -> entry.pool.length + entry.idempotentMethods.sumOf { it.length + QUOTE_BYTES }
    is Key -> entry.account.name.length + HASH_BYTES
    is DataCentre -> entry.region.length
    is Account, is Endpoint, is LoadBudget -> 0
}

internal fun accountsOf(settings: Settings): Set<AccountId> =
    settings.allow.orEmpty() + listOfNotNull(settings.openAccount)

private const val ENTRY_OVERHEAD_BYTES = 160
private const val SETTINGS_OVERHEAD_BYTES = 600
private const val VERSION_BYTES = 12
private const val HASH_BYTES = 66
private const val QUOTE_BYTES = 3
