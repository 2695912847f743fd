package io.camphordrum.core.config

import io.camphordrum.core.AccountId
import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.BaseModelId
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.RateLimit

/**
 * Answers the questions that each request asks of one revision.
 *
 * ```kotlin
 * val snapshot = Snapshot(tree)
 * snapshot.resolve("reports@7") // Found(reports@7, base-1, settings)
 * ```
 */
public class Snapshot(public val tree: Tree) {
    public val revision: Long get() = tree.revision

    /** Returns the account of the key with [keyHash], or null when the key is unknown or withdrawn. */
    public fun account(keyHash: KeyHash): AccountId? =
        tree.keyHashes[keyHash.hex]?.takeIf { it.hash.matches(keyHash) }?.account

    /** Returns the limits of all accounts. */
    public fun limits(): Map<AccountId, RateLimit> = tree.views.limits

    /** Returns what [model], `name@version` or `name` for the current version, means. */
    public fun resolve(model: String): ModelResolution {
        // Adapter names have no '@', see checkEntry.
        if ('@' !in model) {
            val named = tree.models[model] ?: return ModelResolution.UnknownAdapter
            return found(named, AdapterVersion(model, named.adapter.current))
        }
        val asked = AdapterVersion.parse(model) ?: return ModelResolution.UnknownAdapter
        val located = tree.models[asked.adapter] ?: return ModelResolution.UnknownAdapter
        return if (asked.version in located.adapter.versions) found(located, asked) else ModelResolution.UnknownVersion
    }

    private fun found(located: LocatedAdapter, version: AdapterVersion) =
        ModelResolution.Found(version, located.adapter.base, tree.settings(located.branch))

    /** Returns the route with the longest prefix of [path]; a prefix ends at a segment's end. */
    public fun route(path: String): RouteResolution {
        val found = tree.views.routes.firstOrNull { covers(it.prefix, path) } ?: return RouteResolution.NoRoute
        val route = found.route
        return RouteResolution.Found(found.prefix, route.pool, route.idempotentMethods, tree.settings(found.branch))
    }

    private fun covers(prefix: String, path: String): Boolean = path.startsWith(prefix) &&
        (path.length == prefix.length || prefix.endsWith('/') || path[prefix.length] in "/?")

    /** Returns the state of the data centre; one that is not declared is serving. */
    public fun dataCentre(id: DataCentreId): DataCentreState =
        tree.views.dataCentres[id]?.state ?: DataCentreState.SERVING

    /** Returns the region of the data centre, or null when it is not declared. */
    public fun region(id: DataCentreId): String? = tree.views.dataCentres[id]?.region

    /** Returns all declared data centres. */
    public fun dataCentres(): Map<DataCentreId, DataCentre> = tree.views.dataCentres

    /** Tells whether an operator takes [id] out of service. */
    public fun endpointLeaving(id: EndpointId): Boolean = id in tree.views.leaving

    /** Returns the load budgets of all base models that have one. */
    public fun loadBudgets(): Map<BaseModelId, LoadBudget> = tree.views.loadBudgets

    /** Returns the settings in force at [branch]; `""` is the root. */
    public fun settings(branch: String = ""): EffectiveSettings = tree.settings(branch)

    /** Calls [action] with all adapters, sorted by name; the current version of each. */
    public fun forEachAdapter(action: (AdapterVersion, BaseModelId) -> Unit) {
        tree.models.forEach { name, located ->
            action(AdapterVersion(name, located.adapter.current), located.adapter.base)
        }
    }
}
