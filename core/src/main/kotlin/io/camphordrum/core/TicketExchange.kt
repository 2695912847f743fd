package io.camphordrum.core

import io.camphordrum.core.request.RequestEffect
import io.camphordrum.core.request.TicketDenial
import io.camphordrum.core.request.TicketGrant
import io.camphordrum.core.residency.DenyReason
import io.camphordrum.core.residency.OrderOutcome
import io.camphordrum.core.residency.OwnerEffect
import io.camphordrum.core.residency.Router
import io.camphordrum.core.residency.TicketMessage
import io.camphordrum.core.residency.TicketReport
import io.camphordrum.core.residency.TicketRequest

/** Receives the answers of owners to the ticket requests of this instance. */
internal interface TicketListener {
    fun granted(now: Long, request: Long, grant: TicketGrant)

    fun denied(now: Long, request: Long, denial: TicketDenial)
}

/**
 * Exchanges ticket requests, answers and returned tickets between the request flow and local or remote owners.
 *
 * @param emit receives the effects.
 */
internal class TicketExchange(
    private val options: CoreOptions,
    private val directory: Directory,
    private val table: EndpointTable,
    private val router: Router,
    private val listener: TicketListener,
    private val emit: (CoreEffect) -> Unit,
) {
    private val self = options.self
    private var nextLoadRead = 0L
    private var nextDigest = 0L

    /** Handles a message from another instance. */
    fun receive(now: Long, from: Member, message: TicketMessage) {
        when (message) {
            is TicketMessage.Request -> handleRequest(now, from, message)
            is TicketMessage.Finish -> {
                val report = TicketReport(message.outcome, message.usedTokens, message.firstTokenMillis * MILLI)
                finish(now, message.endpoint, message.ticket, report)
            }
            is TicketMessage.Grant -> {
                val valid = message.validMillis * MILLI
                val start = message.dispatchWithinMillis * MILLI
                val wait = message.waitMillis * MILLI
                val grant = TicketGrant(message.ticket, null, message.fencing, start, valid, wait)
                listener.granted(now, message.id, grant)
            }
            is TicketMessage.Deny -> {
                val retry = message.retryAfterMillis * MILLI
                listener.denied(now, message.id, TicketDenial(message.reason, retry, message.waitMillis * MILLI))
            }
        }
    }

    /** Requests a ticket from the owner of an endpoint; the request is denied at once if the owner is unknown. */
    fun request(now: Long, effect: RequestEffect.RequestTicket) {
        val member = table[effect.endpoint]?.let(directory::owner)
        val ticket = effect.request
        val local = if (member == self) table.owner(effect.endpoint) else null
        val address = member?.takeIf { it != self }?.let(directory::address)
        when {
            local != null -> applyOwner(now, effect.endpoint, local.requestTicket(now, ticket))
            address != null -> emit(CoreEffect.SendTicket(address, ticket.message(now, effect.endpoint)))
            else ->
                listener.denied(now, ticket.request, TicketDenial(DenyReason.NO_LEASE, OWNER_RETRY_MILLIS * MILLI, 0))
        }
    }

    /** Returns a ticket to the owner of its endpoint. */
    fun finish(now: Long, effect: RequestEffect.FinishTicket) {
        val member = table[effect.endpoint]?.let(directory::owner) ?: return
        if (member == self) return finish(now, effect.endpoint, effect.ticket, effect.report)
        val report = effect.report
        val first = millis(report.firstTokenNanos)
        send(member, TicketMessage.Finish(effect.endpoint, effect.ticket, report.outcome, report.usedTokens, first))
    }

    /** Executes the effects of the owner of [endpoint]. */
    fun applyOwner(now: Long, endpoint: EndpointId, effects: List<OwnerEffect>) {
        for (effect in effects) {
            when (effect) {
                is OwnerEffect.Grant -> grant(now, effect)
                is OwnerEffect.Deny -> deny(now, effect)
                is OwnerEffect.Order -> sendOrder(now, endpoint, effect)
            }
        }
    }

    /** Performs the due actions of the owners, reads load reports and sends digests. */
    fun tick(now: Long) {
        for (owner in table.owned.toList()) applyOwner(now, owner.endpoint, owner.tick(now))
        if (now - nextLoadRead >= 0) readLoads(now)
        if (now - nextDigest >= 0) sendDigests(now)
    }

    /** Returns whether [member] owns [endpoint] according to the newest known generation. */
    fun isOwner(member: Member, endpoint: EndpointId): Boolean = table[endpoint]?.let(directory::owner) == member

    /** Returns whether the owner of [endpoint] is known and its peer connection is not known to be down. */
    fun isReachable(endpoint: EndpointId): Boolean {
        val owner = table[endpoint]?.let(directory::owner) ?: return false
        return directory.isReachable(owner)
    }

    private fun handleRequest(now: Long, from: Member, message: TicketMessage.Request) {
        val owner = table.owner(message.endpoint)
        if (owner == null) {
            send(from, TicketMessage.Deny(message.id, DenyReason.NO_LEASE, OWNER_RETRY_MILLIS))
            return
        }
        table.subscribe(message.endpoint, from, now + options.digestSubscriptionNanos)
        val request = TicketRequest(
            from = from,
            request = message.id,
            account = message.account,
            version = message.version,
            tokens = message.tokens,
            deadlineNanos = now + message.remainingMillis * MILLI,
            priority = message.priority,
            maxWaitNanos = if (message.maxWaitMillis == 0) Long.MAX_VALUE else message.maxWaitMillis * MILLI,
        )
        applyOwner(now, message.endpoint, owner.requestTicket(now, request))
    }

    private fun finish(now: Long, endpoint: EndpointId, ticket: Long, report: TicketReport) {
        table.owner(endpoint)?.let { applyOwner(now, endpoint, it.finish(now, ticket, report)) }
    }

    private fun grant(now: Long, effect: OwnerEffect.Grant) {
        if (effect.to == self) {
            val grant = TicketGrant(
                effect.ticket,
                effect.version,
                effect.fencing,
                effect.dispatchWithinNanos,
                effect.validNanos,
                effect.waitNanos,
            )
            return listener.granted(now, effect.request, grant)
        }
        val start = (effect.dispatchWithinNanos / MILLI).toInt()
        val valid = (effect.validNanos / MILLI).toInt()
        val wait = millis(effect.waitNanos)
        send(effect.to, TicketMessage.Grant(effect.request, effect.ticket, effect.fencing, start, valid, wait))
    }

    private fun deny(now: Long, effect: OwnerEffect.Deny) {
        if (effect.to == self) {
            val denial = TicketDenial(effect.reason, effect.retryAfterNanos, effect.waitNanos)
            return listener.denied(now, effect.request, denial)
        }
        val retry = millis(effect.retryAfterNanos)
        send(effect.to, TicketMessage.Deny(effect.request, effect.reason, retry, millis(effect.waitNanos)))
    }

    private fun sendOrder(now: Long, id: EndpointId, effect: OwnerEffect.Order) {
        val address = table[id]?.address
        if (address != null) {
            emit(CoreEffect.OrderEndpoint(effect, address))
        } else {
            table.owner(id)?.let { applyOwner(now, id, it.closeOrder(now, effect.order, OrderOutcome.NOT_SENT)) }
        }
    }

    private fun readLoads(now: Long) {
        nextLoadRead = now + options.loadReportNanos
        for (owner in table.owned) {
            val listed = table[owner.endpoint] ?: continue
            // A plain service may execute any request that it receives, so its load report is never read.
            if (listed.base != null) emit(CoreEffect.ReadLoad(listed.id, listed.address))
        }
    }

    // Digests go only to members that requested tickets recently, so that their number does not grow with the fleet.
    private fun sendDigests(now: Long) {
        nextDigest = now + options.digestNanos
        for (owner in table.owned) {
            val digest = owner.nextDigest(now) ?: continue
            router.receive(now, digest)
            for (member in table.subscribers(now, owner.endpoint)) {
                directory.address(member)?.let { emit(CoreEffect.SendResidency(it, digest)) }
            }
        }
    }

    private fun send(to: Member, message: TicketMessage) {
        directory.address(to)?.let { emit(CoreEffect.SendTicket(it, message)) }
    }

    private fun TicketRequest.message(now: Long, endpoint: EndpointId) = TicketMessage.Request(
        id = request,
        endpoint = endpoint,
        version = version,
        account = account,
        tokens = tokens,
        priority = priority,
        remainingMillis = millis(maxOf(0, deadlineNanos - now)),
        maxWaitMillis = millis(maxWaitNanos),
    )

    private companion object {
        const val MILLI = 1_000_000L
        const val OWNER_RETRY_MILLIS = 200

        fun millis(nanos: Long): Int {
            if (nanos > Int.MAX_VALUE * MILLI) return Int.MAX_VALUE
            return ((nanos + MILLI - 1) / MILLI).toInt()
        }
    }
}
