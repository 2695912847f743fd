package io.camphordrum.core.config

import io.camphordrum.core.AccountId
import io.camphordrum.core.BaseModelId
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.RateLimit

/** Holds lookup structures derived from all sections but adapters and keys; not rebuilt if only adapters change. */
internal class Views(
    private val branchSettings: Map<String, EffectiveSettings>,
    val limits: Map<AccountId, RateLimit>,
    val routes: List<LocatedRoute>,
    val dataCentres: Map<DataCentreId, DataCentre>,
    val leaving: Set<EndpointId>,
    val loadBudgets: Map<BaseModelId, LoadBudget>,
) {
    fun settings(branch: String): EffectiveSettings {
        var current = branch
        while (true) {
            branchSettings[current]?.let { return it }
            if (current.isEmpty()) return DEFAULTS
            current = parentOf(current)
        }
    }

    companion object {
        private val DEFAULTS = EffectiveSettings()
        val EMPTY = Views(emptyMap(), emptyMap(), emptyList(), emptyMap(), emptySet(), emptyMap())

        fun of(sections: Map<Section, PagedMap<Entry>>): Views {
            val limits = HashMap<AccountId, RateLimit>()
            val routes = ArrayList<LocatedRoute>()
            val dataCentres = HashMap<DataCentreId, DataCentre>()
            val leaving = HashSet<EndpointId>()
            val budgets = HashMap<BaseModelId, LoadBudget>()
            for (section in Section.entries - Section.ADAPTERS - Section.KEYS - Section.SETTINGS) {
                sections.getValue(section).forEach { path, entry ->
                    val parsed = TreePath.parse(path)
                    when (entry) {
                        is Account -> limits[AccountId(parsed.name)] =
                            RateLimit(entry.tokensPerSecond, entry.burstTokens)
                        is Route -> routes += LocatedRoute(parsed.name, parsed.branch, entry)
                        is DataCentre -> dataCentres[DataCentreId(parsed.name)] = entry
                        is Endpoint -> if (entry.leaving) leaving += EndpointId(parsed.name)
                        is LoadBudget -> budgets[BaseModelId(parsed.name)] = entry
                        is Adapter, is Key, is Settings -> Unit
                    }
                }
            }
            routes.sortWith(compareByDescending<LocatedRoute> { it.prefix.length }.thenBy { it.prefix })
            return Views(
                effectiveSettings(sections.getValue(Section.SETTINGS)),
                limits,
                routes,
                dataCentres,
                leaving,
                budgets,
            )
        }

        private fun effectiveSettings(settings: PagedMap<Entry>): Map<String, EffectiveSettings> {
            val declared = HashMap<String, Settings>()
            settings.forEach { path, entry -> declared[TreePath.parse(path).branch] = entry as Settings }
            val effective = HashMap<String, EffectiveSettings>()
            for (branch in declared.keys) {
                effective[branch] =
                    ancestors(branch).mapNotNull { declared[it] }.fold(DEFAULTS, EffectiveSettings::with)
            }
            return effective
        }
    }
}

/** Holds a route with its path prefix and the branch that declares it. */
internal class LocatedRoute(val prefix: String, val branch: String, val route: Route)

internal fun parentOf(branch: String): String = branch.substringBeforeLast('/', "")

/** Returns the root, then each branch on the path down to and including [branch]. */
internal fun ancestors(branch: String): List<String> =
    generateSequence(branch) { if (it.isEmpty()) null else parentOf(it) }.toList().asReversed()
