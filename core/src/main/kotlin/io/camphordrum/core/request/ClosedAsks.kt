package io.camphordrum.core.request

import io.camphordrum.core.EndpointId

/** Remembers the endpoints of the latest [limit] asks that were given up; an older one's ticket just expires. */
internal class ClosedAsks(private val limit: Int) {
    private val endpoints = object : LinkedHashMap<Long, EndpointId>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, EndpointId>) = size > limit
    }

    operator fun get(ask: Long): EndpointId? = endpoints[ask]

    operator fun set(ask: Long, endpoint: EndpointId) {
        endpoints[ask] = endpoint
    }
}
