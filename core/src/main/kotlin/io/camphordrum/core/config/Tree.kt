package io.camphordrum.core.config

import io.camphordrum.core.AccountId

/**
 * Holds one revision of the configuration; immutable and cheap to change.
 *
 * ```kotlin
 * val result = Tree.empty().apply(change)
 * if (result is ApplyResult.Applied) Snapshot(result.tree)
 * ```
 *
 * @property revision 0 for the empty tree, then one more with every change.
 */
public class Tree internal constructor(
    public val revision: Long,
    internal val sections: Map<Section, PagedMap<Entry>>,
    internal val models: PagedMap<LocatedAdapter>,
    internal val keyHashes: PagedMap<Key>,
    internal val views: Views,
) {
    /** Returns the tree with [change], whose base must be this revision. */
    public fun apply(change: Change): ApplyResult {
        if (change.base != revision) return ApplyResult.Stale(change.base, revision)
        val faults = checkChange(change)
        return if (faults.isEmpty()) TreeUpdate(this).apply(revision + 1, change.edits) else ApplyResult.Invalid(faults)
    }

    /** Returns the entry at [path], or null when there is none. */
    public fun entry(path: String): Entry? = TreePath.parse(path).section?.let { sections.getValue(it)[path] }

    /** Returns the number of entries in [section], over all branches. */
    public fun count(section: Section): Int = sections.getValue(section).size

    /** Calls [action] with the path and value of all entries in [section], sorted by path. */
    public fun forEach(section: Section, action: (String, Entry) -> Unit) {
        sections.getValue(section).forEach(action)
    }

    /** Returns the settings in force at [branch]; a branch that does not exist has those of its parent. */
    public fun settings(branch: String): EffectiveSettings = views.settings(branch)

    /** Returns the edits that turn this tree into [other], sorted by path within each section. */
    public fun diff(other: Tree): List<Edit> = Section.entries.flatMap { section ->
        diffPages(sections.getValue(section).pages, other.sections.getValue(section).pages)
    }

    /** Returns the effective settings at [path] with the branches that they come from. */
    public fun explain(path: String): Explanation = explainPath(this, path)

    /** Returns the nested form of the whole tree. */
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

        /** Returns the tree that [declaration] describes at [revision], or what is wrong with it. */
        public fun of(revision: Long, declaration: Declaration): ApplyResult =
            TreeUpdate(empty).apply(revision, declaration.entries().map { (path, entry) -> Edit.Put(path, entry) })
    }
}

/** Tells in which branch an adapter is declared. */
internal class LocatedAdapter(val branch: String, val adapter: Adapter)

// Entries are compared only on pages that the trees do not share.
private fun diffPages(from: Array<Page<Entry>>, to: Array<Page<Entry>>): List<Edit> {
    val shared = java.util.Collections.newSetFromMap(java.util.IdentityHashMap<Page<Entry>, Boolean>())
    val old = java.util.Collections.newSetFromMap(java.util.IdentityHashMap<Page<Entry>, Boolean>())
    old.addAll(from)
    to.filterTo(shared) { it in old }
    val before = entriesOf(from.filter { it !in shared })
    val after = entriesOf(to.filter { it !in shared })
    val edits = sortedMapOf<String, Edit>()
    for (path in before.keys) if (path !in after) edits[path] = Edit.Remove(path)
    for ((path, entry) in after) if (before[path] != entry) edits[path] = Edit.Put(path, entry)
    return edits.values.toList()
}

private fun entriesOf(pages: List<Page<Entry>>): Map<String, Entry> {
    val out = HashMap<String, Entry>()
    for (page in pages) for (i in page.keys.indices) out[page.keys[i]] = page.value(i)
    return out
}

// An upper bound of the JSON form; names are plain ASCII.
internal fun entryWeight(path: String, entry: Entry): Int = path.length + ENTRY_BYTES + when (entry) {
    is Adapter -> entry.base.name.length + entry.versions.size * INT_BYTES
    is Settings -> SETTINGS_BYTES + entry.allow.orEmpty().sumOf { it.name.length + QUOTES }
    is Route -> entry.pool.length + entry.idempotentMethods.sumOf { it.length + QUOTES }
    is Key -> entry.account.name.length + HASH_BYTES
    is DataCentre -> entry.region.length
    is Account, is Endpoint, is LoadBudget -> 0
}

internal fun accountsOf(settings: Settings): Set<AccountId> =
    settings.allow.orEmpty() + listOfNotNull(settings.openAccount)

private const val ENTRY_BYTES = 160
private const val SETTINGS_BYTES = 600
private const val INT_BYTES = 12
private const val HASH_BYTES = 66
private const val QUOTES = 3
