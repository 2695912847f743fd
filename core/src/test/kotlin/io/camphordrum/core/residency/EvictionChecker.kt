package io.camphordrum.core.residency

import io.camphordrum.core.AdapterVersion

/**
 * Records which adapters are in use from the events of holders and the endpoint only, and every eviction of an adapter
 * that is in use.
 */
class EvictionChecker {
    private val versionByUser = HashMap<Any, AdapterVersion>()
    val violations = ArrayList<String>()
    var evictions = 0
        private set

    /** Records that a holder received a ticket, or that the endpoint started a request. */
    fun startUse(user: Any, version: AdapterVersion) {
        versionByUser[user] = version
    }

    /**
     * Records that the holder returned its ticket or the ticket expired, or that the endpoint finished the request.
     */
    fun endUse(user: Any) {
        versionByUser.remove(user)
    }

    /** Records an eviction at the endpoint. */
    fun recordEviction(now: Long, version: AdapterVersion) {
        evictions++
        val users = versionByUser.filterValues { it == version }.keys
        if (users.isNotEmpty()) violations += "expected no eviction of $version in use by $users, got one at $now"
    }
}
