package io.camphordrum.core.config

/** Names the kinds of entries that a branch holds; [key] is the name in paths and declarations. */
public enum class Section(public val key: String) {
    SETTINGS("settings"),
    ACCOUNTS("accounts"),
    KEYS("keys"),
    ADAPTERS("adapters"),
    ROUTES("routes"),
    DATA_CENTRES("dataCentres"),
    ENDPOINTS("endpoints"),
    LOAD_BUDGETS("loadBudgets"),
    ;

    public companion object {
        private val byKey = entries.associateBy { it.key }

        /** Returns the section called [key], or null when there is none. */
        public fun of(key: String): Section? = byKey[key]
    }
}
