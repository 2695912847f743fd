package io.camphordrum.core.residency

import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.Member

internal class Ticket(
    val id: Long,
    val request: TicketRequest,
    val arrivedNanos: Long,
    val grantedNanos: Long,
    var expiresNanos: Long,
)

/**
 * Stores the tickets of an endpoint until they are returned, or until they have expired and a later report shows that
 * the endpoint does not process requests for their adapter.
 */
internal class Tickets(private val settings: OwnerSettings) {
    private val byId = LinkedHashMap<Long, Ticket>()
    private val byRequest = HashMap<Pair<Member, Long>, Ticket>()
    private val countByVersion = HashMap<AdapterVersion, Int>()
    private val finishedNanos = ArrayDeque<Long>()

    val size: Int get() = byId.size

    val full: Boolean get() = byId.size >= settings.ticketLimit

    operator fun get(request: TicketRequest): Ticket? = byRequest[request.from to request.request]

    fun hasTicketFor(version: AdapterVersion): Boolean = version in countByVersion

    fun add(ticket: Ticket) {
        byId[ticket.id] = ticket
        byRequest[ticket.request.from to ticket.request.request] = ticket
        ticket.request.version?.let { countByVersion.merge(it, 1, Int::plus) }
    }

    fun find(id: Long): Ticket? = byId[id]

    fun remove(now: Long, id: Long): Ticket? {
        val ticket = byId.remove(id) ?: return null
        byRequest.remove(ticket.request.from to ticket.request.request)
        ticket.request.version?.let { version ->
            countByVersion.computeIfPresent(version) { _, count -> if (count > 1) count - 1 else null }
        }
        if (finishedNanos.size >= settings.ticketLimit) finishedNanos.removeFirst()
        finishedNanos.addLast(now)
        return ticket
    }

    fun expired(now: Long): List<Ticket> = byId.values.filter { it.expiresNanos <= now }

    /** Counts the tickets whose requests may have been running at [stateNanos] or later. */
    fun countRunningSince(stateNanos: Long): Int =
        byId.values.count { it.expiresNanos > stateNanos } + finishedNanos.count { it > stateNanos }

    /** Counts the tickets that had not expired at [stateNanos]; a report of that state accounts for the others. */
    fun countUnexpired(stateNanos: Long): Int = byId.values.count { it.expiresNanos > stateNanos }

    /**
     * Removes the tickets that a report of the state at [stateNanos] shows to be unused.
     *
     * A ticket cannot be used to send a request after its dispatch timeout. If a later report shows the adapter idle,
     * the request has finished or was never sent, because the holder failed or its message was lost.
     */
    fun releaseIdle(now: Long, stateNanos: Long, report: LoadReport) {
        byId.values
            .filter {
                stateNanos > latestDispatchNanos(it, report) + TRANSIT_NANOS && report.showsIdle(it.request.version)
            }
            .forEach { remove(now, it.id) }
    }

    private fun latestDispatchNanos(ticket: Ticket, report: LoadReport): Long = if (report.busy == null) {
        ticket.expiresNanos
    } else {
        minOf(ticket.expiresNanos, ticket.grantedNanos + settings.dispatchTimeoutNanos)
    }
}

/** Returns whether the report shows no running and no waiting request for [version]. */
internal fun LoadReport.showsIdle(version: AdapterVersion?): Boolean =
    running + waiting == 0 || (busy != null && version != null && version !in busy)

// A request that was dispatched just before its ticket expired arrives at the endpoint within this time.
internal const val TRANSIT_NANOS: Long = SECOND
