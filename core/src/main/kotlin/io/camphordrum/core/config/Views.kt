package io.camphordrum.core.config

import io.camphordrum.core.AccountId
import io.camphordrum.core.BaseModelId
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.RateLimit

/** Holds what is derived from the small sections; rebuilt only when one of them changes. */
internal class Views(
    private val branchSettings: Map<String, EffectiveSettings>,
    val limits: Map<AccountId, RateLimit>,
    val routes: List<LocatedRoute>,
    val dataCentres: Map<DataCentreId, DataCentre>,
    val leaving: Set<EndpointId>,
    val loadBudgets: Map<BaseModelId, LoadBudget>,
) {
    fun settings(branch: String): EffectiveSettings {
        var at = branch
        while (true) {
            branchSettings[at]?.let { return it }
            if (at.isEmpty()) return DEFAULTS
            at = parentOf(at)
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
                    val place = TreePath.parse(path)
                    when (entry) {
                        is Account -> limits[AccountId(place.name)] =
                            RateLimit(entry.tokensPerSecond, entry.burstTokens)
                        is Route -> routes += LocatedRoute(place.name, place.branch, entry)
                        is DataCentre -> dataCentres[DataCentreId(place.name)] = entry
                        is Endpoint -> if (entry.leaving) leaving += EndpointId(place.name)
                        is LoadBudget -> budgets[BaseModelId(place.name)] = entry
                        is Adapter, is Key, is Settings -> Unit
                    }
                }
            }
            routes.sortWith(compareByDescending<LocatedRoute> { it.prefix.length }.thenBy { it.prefix })
            return Views(effective(sections.getValue(Section.SETTINGS)), limits, routes, dataCentres, leaving, budgets)
        }

        private fun effective(settings: PagedMap<Entry>): Map<String, EffectiveSettings> {
            val own = HashMap<String, Settings>()
            settings.forEach { path, entry -> own[TreePath.parse(path).branch] = entry as Settings }
            val out = HashMap<String, EffectiveSettings>()
            for (branch in own.keys) {
                out[branch] = ancestors(branch).mapNotNull { own[it] }.fold(DEFAULTS, EffectiveSettings::with)
            }
            return out
        }
    }
}

/** Tells in which branch a route is declared. */
internal class LocatedRoute(val prefix: String, val branch: String, val route: Route)

internal fun parentOf(branch: String): String = branch.substringBeforeLast('/', "")

/** Returns the root, then the branches down to [branch] itself. */
internal fun ancestors(branch: String): List<String> =
    generateSequence(branch) { if (it.isEmpty()) null else parentOf(it) }.toList().asReversed()
