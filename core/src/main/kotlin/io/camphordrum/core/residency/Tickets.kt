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
 * Keeps the tickets of an endpoint until they are returned, or until they expired and a later report shows that the
 * endpoint does not work for their adapter.
 */
internal class Tickets(private val settings: OwnerSettings) {
    private val all = LinkedHashMap<Long, Ticket>()
    private val byRequest = HashMap<Pair<Member, Long>, Ticket>()
    private val uses = HashMap<AdapterVersion, Int>()
    private val ended = ArrayDeque<Long>()

    val size: Int get() = all.size

    val full: Boolean get() = all.size >= settings.ticketLimit

    operator fun get(request: TicketRequest): Ticket? = byRequest[request.from to request.request]

    fun uses(version: AdapterVersion): Boolean = version in uses

    fun add(ticket: Ticket) {
        all[ticket.id] = ticket
        byRequest[ticket.request.from to ticket.request.request] = ticket
        ticket.request.version?.let { uses.merge(it, 1, Int::plus) }
    }

    fun find(id: Long): Ticket? = all[id]

    fun remove(now: Long, id: Long): Ticket? {
        val ticket = all.remove(id) ?: return null
        byRequest.remove(ticket.request.from to ticket.request.request)
        ticket.request.version?.let { version ->
            uses.computeIfPresent(version) { _, n -> if (n > 1) n - 1 else null }
        }
        if (ended.size >= settings.ticketLimit) ended.removeFirst()
        ended.addLast(now)
        return ticket
    }

    fun expired(now: Long): List<Ticket> = all.values.filter { it.expiresNanos <= now }

    /** Counts the tickets whose requests may have been running at [then] or later. */
    fun since(then: Long): Int = all.values.count { it.expiresNanos > then } + ended.count { it > then }

    /** Counts the tickets that hold a place, apart from those that a report of [then] can tell about. */
    fun active(then: Long): Int = all.values.count { it.expiresNanos > then }

    /**
     * Drops the tickets that a report of the state at [then] shows to be unused.
     *
     * A ticket cannot begin a request after its dispatch time. If the endpoint tells that it does not work for the
     * adapter after that, the request has ended or was never sent: its holder has died, or its message was lost.
     */
    fun settle(now: Long, then: Long, report: LoadReport) {
        all.values
            .filter { then > lastUse(it, report) + TRANSIT_NANOS && report.showsIdle(it.request.version) }
            .forEach { remove(now, it.id) }
    }

    private fun lastUse(ticket: Ticket, report: LoadReport): Long = if (report.busy == null) {
        ticket.expiresNanos
    } else {
        minOf(ticket.expiresNanos, ticket.grantedNanos + settings.dispatchNanos)
    }
}

/** True when the endpoint certainly runs and queues nothing for [version]. */
internal fun LoadReport.showsIdle(version: AdapterVersion?): Boolean =
    running + waiting == 0 || (busy != null && version != null && version !in busy)

// A request that was dispatched just before its ticket expired reaches the endpoint within this time.
internal const val TRANSIT_NANOS: Long = SECOND
