package io.camphordrum.core.request

import io.camphordrum.core.EndpointId

/**
 * Stores the endpoints of the latest [limit] closed ticket requests; a ticket for an older one is not returned and
 * expires.
 */
internal class ClosedTicketRequests(private val limit: Int) {
    private val endpointById = object : LinkedHashMap<Long, EndpointId>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, EndpointId>) = size > limit
    }

    operator fun get(ticketRequestId: Long): EndpointId? = endpointById[ticketRequestId]

    operator fun set(ticketRequestId: Long, endpoint: EndpointId) {
        endpointById[ticketRequestId] = endpoint
    }
}
