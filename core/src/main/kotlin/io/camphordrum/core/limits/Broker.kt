package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.Generation
import io.camphordrum.core.Member

/**
 * Collects surplus of accounts for members that asked, one member at a time for each account.
 *
 * The other members send their surplus to that member directly. Serving one at a time keeps a small limit from being
 * split so far that no member can cover a whole request.
 */
internal class Broker(private val self: Member, private val parameters: ShareParameters) {
    private class Waiting(val since: Long, val need: ShareAmount)

    private class Queue {
        val waiting = LinkedHashMap<Member, Waiting>()
        var servedAt: Long? = null
        var served: Member? = null
    }

    private val queues = HashMap<AccountId, Queue>()
    private var generation: Generation? = null

    fun onGeneration(generation: Generation) {
        this.generation = generation
        queues.clear()
    }

    fun add(now: Long, member: Member, need: ShareAmount) {
        val waiting = queues.getOrPut(need.account) { Queue() }.waiting
        waiting[member] = Waiting(waiting[member]?.since ?: now, need)
    }

    /** Returns the requests for surplus that are due, and tells members whose collection is over. */
    fun tick(now: Long, receivers: List<Member>): List<ShareEffect> {
        val number = generation?.number ?: return emptyList()
        val effects = mutableListOf<ShareEffect>()
        val entries = queues.entries.iterator()
        while (entries.hasNext()) {
            val (account, queue) = entries.next()
            val elapsed = queue.servedAt?.let { now - it }
            val served = queue.served
            if (served != null && elapsed != null && elapsed >= COLLECT_ASK_PERIODS * parameters.askPeriodNanos) {
                queue.served = null
                effects += over(number, served, account)
            }
            for (member in queue.waiting.filterValues { now - it.since >= MAX_WAIT_NANOS }.keys) {
                queue.waiting.remove(member)
                effects += over(number, member, account)
            }
            if (elapsed != null && elapsed < PERIOD_ASK_PERIODS * parameters.askPeriodNanos) continue
            val next = queue.waiting.entries.firstOrNull()
            if (next == null) entries.remove() else effects += serve(now, number, queue, next.key, receivers)
        }
        return effects
    }

    private fun serve(
        now: Long,
        number: Long,
        queue: Queue,
        member: Member,
        receivers: List<Member>,
    ): List<ShareEffect> {
        val need = queue.waiting.remove(member)?.need ?: return emptyList()
        queue.served = member
        queue.servedAt = now
        val ask = ShareMessage.Ask(number, listOf(need), onBehalfOf = member)
        return receivers.filter { it != self && it != member }.map { ShareEffect.Send(it, ask) }
    }

    private fun over(number: Long, member: Member, account: AccountId) =
        ShareEffect.Send(member, ShareMessage.NoSurplus(number, listOf(account)))

    private companion object {
        // The other members answer within this many periods of asking.
        const val COLLECT_ASK_PERIODS = 2

        // Time from one collection to the next; bounds the messages that an account over its limit causes.
        const val PERIOD_ASK_PERIODS = 5
        const val MAX_WAIT_NANOS = 500_000_000L
    }
}
