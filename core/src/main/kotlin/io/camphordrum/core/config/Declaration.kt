package io.camphordrum.core.config

import kotlinx.serialization.Serializable

/**
 * Holds a branch with everything below it, in the nested form that operators keep under version control.
 *
 * ```json
 * {
 *   "accounts": { "demo": { "tokensPerSecond": 2000, "burstTokens": 20000 } },
 *   "branches": { "drafting": { "settings": { "allow": ["demo"] }, "adapters": {
 *     "reports": { "base": "base-1", "current": 7, "versions": [6, 7] } } } }
 * }
 * ```
 */
@Serializable
public data class Declaration(
    public val settings: Settings = Settings(),
    public val accounts: Map<String, Account> = emptyMap(),
    public val keys: Map<String, Key> = emptyMap(),
    public val adapters: Map<String, Adapter> = emptyMap(),
    public val routes: Map<String, Route> = emptyMap(),
    public val dataCentres: Map<String, DataCentre> = emptyMap(),
    public val endpoints: Map<String, Endpoint> = emptyMap(),
    public val loadBudgets: Map<String, LoadBudget> = emptyMap(),
    public val branches: Map<String, Declaration> = emptyMap(),
) {
    /** Returns all entries by path, sorted; [branch] is the path of the branch that this declaration describes. */
    public fun entries(branch: String = ""): Map<String, Entry> {
        val out = sortedMapOf<String, Entry>()
        collect(branch, out)
        return out
    }

    private fun collect(branch: String, out: MutableMap<String, Entry>) {
        val sizeBefore = out.size
        if (settings != Settings()) out[TreePath(branch, Section.SETTINGS).toString()] = settings
        for ((section, map) in sections()) {
            for ((name, entry) in map) out[TreePath(branch, section, name).toString()] = entry
        }
        for ((name, child) in branches) child.collect(if (branch.isEmpty()) name else "$branch/$name", out)
        // A branch exists only through its entries, so an empty branch is represented by empty settings.
        if (branch.isNotEmpty() && out.size == sizeBefore) out[TreePath(branch, Section.SETTINGS).toString()] = settings
    }

    private fun sections(): List<Pair<Section, Map<String, Entry>>> = listOf(
        Section.ACCOUNTS to accounts,
        Section.KEYS to keys,
        Section.ADAPTERS to adapters,
        Section.ROUTES to routes,
        Section.DATA_CENTRES to dataCentres,
        Section.ENDPOINTS to endpoints,
        Section.LOAD_BUDGETS to loadBudgets,
    )
}

/** Holds a revision and its whole tree; the response to `GET /v1/tree`. */
@Serializable
public data class TreeDocument(public val revision: Long, public val tree: Declaration)
