package io.camphordrum.core.residency

import io.camphordrum.core.AdapterVersion

/** Sees only what holders and the endpoint see, and notes every eviction of an adapter that is in use. */
class EvictionChecker {
    private val uses = HashMap<Any, AdapterVersion>()
    val violations = ArrayList<String>()
    var evictions = 0
        private set

    /** A holder received a ticket, or the endpoint started a request. */
    fun used(by: Any, version: AdapterVersion) {
        uses[by] = version
    }

    /** The holder gave the ticket up or its time passed, or the endpoint stopped working on the request. */
    fun unused(by: Any) {
        uses.remove(by)
    }

    /** The endpoint carried out an eviction. */
    fun evicted(now: Long, version: AdapterVersion) {
        evictions++
        val users = uses.filterValues { it == version }.keys
        if (users.isNotEmpty()) violations += "expected no eviction of $version in use by $users, got one at $now"
    }
}
