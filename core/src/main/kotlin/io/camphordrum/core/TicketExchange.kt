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

/** Receives the answers of owners to this instance's own asks. */
internal interface TicketAnswers {
    fun granted(now: Long, ask: Long, grant: TicketGrant)

    fun denied(now: Long, ask: Long, denial: TicketDenial)
}

/**
 * Carries asks, answers and ends of tickets between the request flow and the owners, here and on other instances.
 *
 * @param emit takes the effects.
 */
internal class TicketExchange(
    private val options: CoreOptions,
    private val directory: Directory,
    private val table: EndpointTable,
    private val router: Router,
    private val answers: TicketAnswers,
    private val emit: (CoreEffect) -> Unit,
) {
    private val self = options.self
    private var nextLoadRead = 0L
    private var nextDigest = 0L

    /** Takes a message of another instance. */
    fun receive(now: Long, from: Member, message: TicketMessage) {
        when (message) {
            is TicketMessage.Request -> asked(now, from, message)
            is TicketMessage.Finish -> {
                val report = TicketReport(message.outcome, message.usedTokens, message.firstTokenMillis * MILLI)
                finish(now, message.endpoint, message.ticket, report)
            }
            is TicketMessage.Grant -> {
                val valid = message.validMillis * MILLI
                val start = message.dispatchWithinMillis * MILLI
                val wait = message.waitMillis * MILLI
                val grant = TicketGrant(message.ticket, null, message.fencing, start, valid, wait)
                answers.granted(now, message.id, grant)
            }
            is TicketMessage.Deny -> {
                val retry = message.retryAfterMillis * MILLI
                answers.denied(now, message.id, TicketDenial(message.reason, retry, message.waitMillis * MILLI))
            }
        }
    }

    /** Asks the owner of an endpoint for a ticket; an unknown owner denies at once. */
    fun ask(now: Long, effect: RequestEffect.RequestTicket) {
        val member = table[effect.endpoint]?.let(directory::owner)
        val ask = effect.request
        val local = if (member == self) table.owner(effect.endpoint) else null
        val address = member?.takeIf { it != self }?.let(directory::address)
        when {
            local != null -> owner(now, effect.endpoint, local.requestTicket(now, ask))
            address != null -> emit(CoreEffect.SendTicket(address, ask.message(now, effect.endpoint)))
            else -> answers.denied(now, ask.request, TicketDenial(DenyReason.NO_LEASE, OWNER_RETRY_MILLIS * MILLI, 0))
        }
    }

    /** Returns a ticket to the owner of its endpoint. */
    fun finish(now: Long, effect: RequestEffect.FinishTicket) {
        val member = table[effect.endpoint]?.let(directory::owner) ?: return
        if (member == self) return finish(now, effect.endpoint, effect.ticket, effect.report)
        val report = effect.report
        val first = millis(report.firstTokenNanos)
        reply(member, TicketMessage.Finish(effect.endpoint, effect.ticket, report.outcome, report.usedTokens, first))
    }

    /** Carries out what the owner of [endpoint] wants. */
    fun owner(now: Long, endpoint: EndpointId, effects: List<OwnerEffect>) {
        for (effect in effects) {
            when (effect) {
                is OwnerEffect.Grant -> grant(now, effect)
                is OwnerEffect.Deny -> deny(now, effect)
                is OwnerEffect.Order -> order(now, endpoint, effect)
            }
        }
    }

    /** Lets the owners act on the passage of time, reads load pages and sends digests. */
    fun tick(now: Long) {
        for (owner in table.owned.toList()) owner(now, owner.endpoint, owner.tick(now))
        if (now - nextLoadRead >= 0) readLoads(now)
        if (now - nextDigest >= 0) sendDigests(now)
    }

    /** Returns whether [member] owns [endpoint] according to the newest known generation. */
    fun isOwner(member: Member, endpoint: EndpointId): Boolean = table[endpoint]?.let(directory::owner) == member

    /** Returns whether the owner of [endpoint] is known and its peer connection is not known to be down. */
    fun reachable(endpoint: EndpointId): Boolean {
        val owner = table[endpoint]?.let(directory::owner) ?: return false
        return directory.reachable(owner)
    }

    private fun asked(now: Long, from: Member, message: TicketMessage.Request) {
        val owner = table.owner(message.endpoint)
        if (owner == null) {
            reply(from, TicketMessage.Deny(message.id, DenyReason.NO_LEASE, OWNER_RETRY_MILLIS))
            return
        }
        table.interested(message.endpoint, from, now + options.interestNanos)
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
        owner(now, message.endpoint, owner.requestTicket(now, request))
    }

    private fun finish(now: Long, endpoint: EndpointId, ticket: Long, report: TicketReport) {
        table.owner(endpoint)?.let { owner(now, endpoint, it.finish(now, ticket, report)) }
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
            return answers.granted(now, effect.request, grant)
        }
        val start = (effect.dispatchWithinNanos / MILLI).toInt()
        val valid = (effect.validNanos / MILLI).toInt()
        val wait = millis(effect.waitNanos)
        reply(effect.to, TicketMessage.Grant(effect.request, effect.ticket, effect.fencing, start, valid, wait))
    }

    private fun deny(now: Long, effect: OwnerEffect.Deny) {
        if (effect.to == self) {
            val denial = TicketDenial(effect.reason, effect.retryAfterNanos, effect.waitNanos)
            return answers.denied(now, effect.request, denial)
        }
        val retry = millis(effect.retryAfterNanos)
        reply(effect.to, TicketMessage.Deny(effect.request, effect.reason, retry, millis(effect.waitNanos)))
    }

    private fun order(now: Long, endpoint: EndpointId, effect: OwnerEffect.Order) {
        val address = table[endpoint]?.address
        if (address != null) {
            emit(CoreEffect.OrderEndpoint(effect, address))
        } else {
            table.owner(endpoint)?.let {
                owner(now, endpoint, it.completeOrder(now, effect.order, OrderOutcome.NOT_SENT))
            }
        }
    }

    private fun readLoads(now: Long) {
        nextLoadRead = now + options.loadReportNanos
        for (owner in table.owned) {
            val listed = table[owner.endpoint] ?: continue
            // A plain service may execute any request, so it is never polled.
            if (listed.base != null) emit(CoreEffect.ReadLoad(listed.id, listed.address))
        }
    }

    // Digests go only to members that lately asked for tickets, so that their number does not grow with the fleet.
    private fun sendDigests(now: Long) {
        nextDigest = now + options.digestNanos
        for (owner in table.owned) {
            val digest = owner.nextDigest(now) ?: continue
            router.receive(now, digest)
            for (member in table.interested(now, owner.endpoint)) {
                directory.address(member)?.let { emit(CoreEffect.SendResidency(it, digest)) }
            }
        }
    }

    private fun reply(to: Member, message: TicketMessage) {
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
