package io.camphordrum.core.config

/**
 * Lists the kinds of entries in a branch.
 *
 * @property key name in paths and declarations.
 * @property meaning description of the entries for the reference documentation.
 */
public enum class Section(public val key: String, public val meaning: String) {
    SETTINGS("settings", "what holds for the branch and all below it, unless a branch below says otherwise"),
    ACCOUNTS("accounts", "client accounts, with limits that hold over all instances together"),
    KEYS("keys", "callers' keys; only the HMAC-SHA256 under the fleet secret is kept"),
    ADAPTERS("adapters", "adapters with the versions that may be asked for"),
    ROUTES("routes", "path prefixes that lead to the pool of a plain service"),
    DATA_CENTRES("dataCentres", "data centres; a drained one gets no new work"),
    ENDPOINTS("endpoints", "endpoints that an operator takes out of service"),
    LOAD_BUDGETS("loadBudgets", "loads from the weight store of a base model, over the whole fleet"),
    ;

    public companion object {
        private val byKey = entries.associateBy { it.key }

        /** Returns the section with [key], or null when there is none. */
        public fun of(key: String): Section? = byKey[key]
    }
}
