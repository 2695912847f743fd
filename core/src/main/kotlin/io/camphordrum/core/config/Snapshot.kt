package io.camphordrum.core.config

import io.camphordrum.core.AccountId
import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.BaseModelId
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.RateLimit

/**
 * Resolves keys, models, routes and settings against one revision of the configuration.
 *
 * ```kotlin
 * val snapshot = Snapshot(tree)
 * snapshot.resolve("reports@7") // Found(reports@7, base-1, settings)
 * ```
 */
public class Snapshot(public val tree: Tree) {
    public val revision: Long get() = tree.revision

    /** Returns the account of the key with [keyHash], or null when the key is unknown or was removed. */
    public fun account(keyHash: KeyHash): AccountId? =
        tree.keyHashes[keyHash.hex]?.takeIf { it.hash.matches(keyHash) }?.account

    /** Returns the rate limits of all accounts. */
    public fun limits(): Map<AccountId, RateLimit> = tree.views.limits

    /** Resolves [model], which is `name@version`, or `name` for the current version. */
    public fun resolve(model: String): ModelResolution {
        // Adapter names have no '@', see checkEntry.
        if ('@' !in model) {
            val located = tree.models[model] ?: return ModelResolution.UnknownAdapter
            return foundModel(located, AdapterVersion(model, located.adapter.current))
        }
        val requested = AdapterVersion.parse(model) ?: return ModelResolution.UnknownAdapter
        val located = tree.models[requested.adapter] ?: return ModelResolution.UnknownAdapter
        return if (requested.version in located.adapter.versions) {
            foundModel(located, requested)
        } else {
            ModelResolution.UnknownVersion
        }
    }

    private fun foundModel(located: LocatedAdapter, version: AdapterVersion) =
        ModelResolution.Found(version, located.adapter.base, tree.settings(located.branch))

    /** Returns the route with the longest prefix of [path]; a prefix matches whole path segments only. */
    public fun route(path: String): RouteResolution {
        val match = tree.views.routes.firstOrNull { matchesPrefix(it.prefix, path) } ?: return RouteResolution.NoRoute
        val route = match.route
        return RouteResolution.Found(match.prefix, route.pool, route.idempotentMethods, tree.settings(match.branch))
    }

    private fun matchesPrefix(prefix: String, path: String): Boolean = path.startsWith(prefix) &&
        (path.length == prefix.length || prefix.endsWith('/') || path[prefix.length] in "/?")

    /** Returns the state of the data centre; an undeclared data centre is serving. */
    public fun dataCentre(id: DataCentreId): DataCentreState =
        tree.views.dataCentres[id]?.state ?: DataCentreState.SERVING

    /** Returns the region of the data centre, or null when it is undeclared. */
    public fun region(id: DataCentreId): String? = tree.views.dataCentres[id]?.region

    /** Returns all declared data centres. */
    public fun dataCentres(): Map<DataCentreId, DataCentre> = tree.views.dataCentres

    /** Returns whether an operator is taking the endpoint [id] out of service. */
    public fun endpointLeaving(id: EndpointId): Boolean = id in tree.views.leaving

    /** Returns the load budgets of all base models that have one. */
    public fun loadBudgets(): Map<BaseModelId, LoadBudget> = tree.views.loadBudgets

    /** Returns the settings in force at [branch]; `""` is the root. */
    public fun settings(branch: String = ""): EffectiveSettings = tree.settings(branch)

    /** Calls [action] with the current version and the base model of each adapter, in order of name. */
    public fun forEachAdapter(action: (AdapterVersion, BaseModelId) -> Unit) {
        tree.models.forEach { name, located ->
            action(AdapterVersion(name, located.adapter.current), located.adapter.base)
        }
    }
}
