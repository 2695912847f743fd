package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.Generation
import io.camphordrum.core.Member

/**
 * Collects surplus of accounts for members that requested it, one member at a time for each account.
 *
 * The other members send their surplus to that member directly. Serving one member at a time keeps a small limit from
 * being split so far that no member can cover a whole request.
 */
internal class SurplusBroker(private val self: Member, private val parameters: ShareParameters) {
    private class PendingRequest(val since: Long, val amount: ShareAmount)

    private class Queue {
        val pending = LinkedHashMap<Member, PendingRequest>()
        var collectionStartedAt: Long? = null
        var receiver: Member? = null
    }

    private val queues = HashMap<AccountId, Queue>()
    private var generation: Generation? = null

    fun onGeneration(generation: Generation) {
        this.generation = generation
        queues.clear()
    }

    fun add(now: Long, member: Member, amount: ShareAmount) {
        val pending = queues.getOrPut(amount.account) { Queue() }.pending
        pending[member] = PendingRequest(pending[member]?.since ?: now, amount)
    }

    /** Returns the surplus requests that are due, and notifies members whose collection has finished. */
    fun tick(now: Long, members: List<Member>): List<ShareEffect> {
        val generationNumber = generation?.number ?: return emptyList()
        val effects = mutableListOf<ShareEffect>()
        val entries = queues.entries.iterator()
        while (entries.hasNext()) {
            val (account, queue) = entries.next()
            val elapsed = queue.collectionStartedAt?.let { now - it }
            val receiver = queue.receiver
            if (receiver != null && elapsed != null && elapsed >= COLLECTION_PERIODS * parameters.requestPeriodNanos) {
                queue.receiver = null
                effects += noSurplus(generationNumber, receiver, account)
            }
            for (member in queue.pending.filterValues { now - it.since >= MAX_WAIT_NANOS }.keys) {
                queue.pending.remove(member)
                effects += noSurplus(generationNumber, member, account)
            }
            if (elapsed != null && elapsed < COLLECTION_INTERVAL_PERIODS * parameters.requestPeriodNanos) continue
            val next = queue.pending.entries.firstOrNull()
            if (next == null) entries.remove() else effects += collect(now, generationNumber, queue, next.key, members)
        }
        return effects
    }

    private fun collect(
        now: Long,
        generationNumber: Long,
        queue: Queue,
        member: Member,
        members: List<Member>,
    ): List<ShareEffect> {
        val amount = queue.pending.remove(member)?.amount ?: return emptyList()
        queue.receiver = member
        queue.collectionStartedAt = now
        val request = ShareMessage.SurplusRequest(generationNumber, listOf(amount), onBehalfOf = member)
        return members.filter { it != self && it != member }.map { ShareEffect.Send(it, request) }
    }

    private fun noSurplus(generationNumber: Long, member: Member, account: AccountId) =
        ShareEffect.Send(member, ShareMessage.NoSurplus(generationNumber, listOf(account)))

    private companion object {
        // Number of request periods within which the other members respond.
        const val COLLECTION_PERIODS = 2

        // Request periods from one collection to the next; limits the messages that an account over its limit causes.
        const val COLLECTION_INTERVAL_PERIODS = 5
        const val MAX_WAIT_NANOS = 500_000_000L
    }
}
