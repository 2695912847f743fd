package io.camphordrum.core.residency

import io.camphordrum.core.AccountId
import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.Member

/** A queued request and the number of later requests of its account that were served before it. */
internal class QueuedRequest(val request: TicketRequest, val arrivedNanos: Long) {
    var passOverCount: Int = 0
}

/** The queue of one account; a negative [credit] is service that the account received in advance. */
internal class AccountQueue(val account: AccountId, var weight: Long) {
    val requests: ArrayList<QueuedRequest> = ArrayList()
    var credit: Long = 0

    /** The loads for the account divided by its weight; the account with the lowest value selects the next load. */
    var weightedLoads: Double = 0.0
}

/**
 * Shares an endpoint between client accounts by deficit round robin in tokens.
 *
 * An account is served while its credit is positive, and each round adds a quantum in proportion to its weight. An
 * account that was idle starts with one quantum, so its first request does not wait for a round. An account that has no
 * more queued requests but a negative credit stays in the ring until the credit is restored, so that it gains nothing
 * by leaving and returning.
 */
internal class FairQueue(private val settings: OwnerSettings, private val weight: (AccountId) -> Long) {
    private val ring = ArrayList<AccountQueue>()
    private val byAccount = HashMap<AccountId, AccountQueue>()
    private val byRequest = HashMap<Pair<Member, Long>, QueuedRequest>()
    private val byVersion = HashMap<AdapterVersion, Demand>()

    // Weighted loads, before its load, of the account that made the latest load; the start value of a new account.
    private var latestWeightedLoads = 0.0

    val size: Int get() = byRequest.size

    /** The number of accounts with queued requests. */
    val activeAccounts: Int get() = ring.count { it.requests.isNotEmpty() }

    val accountQueues: List<AccountQueue> get() = ring

    fun sizeOf(account: AccountId): Int = byAccount[account]?.requests?.size ?: 0

    operator fun contains(request: TicketRequest): Boolean = (request.from to request.request) in byRequest

    /**
     * Adds a request and returns true, or returns false when there is no space.
     *
     * At the limit the newest request of the account with the most queued requests is removed and passed to
     * [onDisplaced], unless the new request belongs to that account. A single account can therefore not fill the queue
     * for the others.
     */
    fun add(now: Long, request: TicketRequest, onDisplaced: (QueuedRequest) -> Unit): Boolean {
        val queue = queueFor(request.account) ?: return false
        if (size >= settings.queueLimit) {
            val longest = ring.maxBy { it.requests.size }
            if (longest.requests.size <= queue.requests.size + 1) return false
            val newest = longest.requests.last()
            remove(newest)
            onDisplaced(newest)
        }
        val entry = QueuedRequest(request, now)
        queue.requests += entry
        byRequest[request.from to request.request] = entry
        request.version?.let { byVersion.getOrPut(it) { Demand() }.add(entry) }
        return true
    }

    /** Removes and returns the next request among those for which [isGrantable] holds, or returns null. */
    fun next(isGrantable: (QueuedRequest) -> Boolean): QueuedRequest? {
        val eligible = ring.mapNotNull { queue -> select(queue, isGrantable)?.let { queue to it } }
        if (eligible.isEmpty()) return null
        if (eligible.none { (queue, _) -> queue.credit > 0 }) {
            addRounds(eligible.minOf { (queue, _) -> roundsUntilPositive(queue) })
        }
        val (queue, entry) = eligible.first { (queue, _) -> queue.credit > 0 }
        dequeue(queue, entry)
        return entry
    }

    /** Credits the [tokens] that were charged to a finished request but not used. */
    fun refund(account: AccountId, tokens: Long) {
        val queue = byAccount[account] ?: return
        queue.credit = minOf(queue.credit + maxOf(0, tokens), maxOf(queue.credit, quantum(queue)))
    }

    /** Removes all requests for which [predicate] holds and returns them. */
    fun removeIf(predicate: (QueuedRequest) -> Boolean): List<QueuedRequest> {
        if (size == 0) return emptyList()
        val removed = byRequest.values.filter(predicate).sortedBy { it.arrivedNanos }
        removed.forEach(::remove)
        return removed
    }

    /** Records a load for the account of [queue]. */
    fun chargeLoad(queue: AccountQueue) {
        latestWeightedLoads = queue.weightedLoads
        queue.weightedLoads += ring.maxOf { it.weight }.toDouble() / queue.weight
    }

    /** The queued demand for each adapter. */
    val demand: Map<AdapterVersion, Demand> get() = byVersion

    // Requests are ordered by arrival, so the first one has the highest pass-over count.
    private fun select(queue: AccountQueue, isGrantable: (QueuedRequest) -> Boolean): QueuedRequest? {
        val first = queue.requests.firstOrNull() ?: return null
        if (first.passOverCount >= settings.passOverLimit) return first.takeIf(isGrantable)
        var best: QueuedRequest? = null
        for (entry in queue.requests) {
            val higher = best == null || entry.request.priority > best.request.priority
            if (higher && isGrantable(entry)) best = entry
        }
        return best
    }

    private fun dequeue(queue: AccountQueue, entry: QueuedRequest) {
        for (earlier in queue.requests) {
            if (earlier === entry) break
            earlier.passOverCount++
        }
        queue.credit -= maxOf(1, entry.request.tokens)
        remove(entry)
        if (queue.credit <= 0 && ring.remove(queue)) ring += queue
    }

    private fun remove(entry: QueuedRequest) {
        byRequest.remove(entry.request.from to entry.request.request)
        val queue = byAccount.getValue(entry.request.account)
        queue.requests.remove(entry)
        entry.request.version?.let { version ->
            byVersion.computeIfPresent(version) { _, demand -> demand.takeIf { it.remove(entry) } }
        }
        removeIfIdle(queue)
    }

    private fun removeIfIdle(queue: AccountQueue) {
        if (queue.requests.isNotEmpty() || queue.credit < 0) return
        byAccount.remove(queue.account)
        ring.remove(queue)
    }

    private fun queueFor(account: AccountId): AccountQueue? {
        val existing = byAccount[account]
        if (existing != null) return existing.also { it.weight = maxOf(1, weight(account)) }
        if (ring.size >= settings.accountLimit) {
            // An idle account with negative credit is removed before another account is refused.
            val indebted = ring.firstOrNull { it.requests.isEmpty() } ?: return null
            byAccount.remove(indebted.account)
            ring.remove(indebted)
        }
        val queue = AccountQueue(account, maxOf(1, weight(account)))
        queue.weightedLoads = latestWeightedLoads
        byAccount[account] = queue
        ring += queue
        queue.credit = quantum(queue)
        return queue
    }

    private fun quantum(queue: AccountQueue): Long {
        val maxWeight = ring.maxOf { it.weight }
        return maxOf(1, (settings.quantumTokens * (queue.weight.toDouble() / maxWeight)).toLong())
    }

    private fun roundsUntilPositive(queue: AccountQueue): Long {
        val quantum = quantum(queue)
        return (1 - queue.credit + quantum - 1) / quantum
    }

    // Rounds in which no account can be served are added in one step, so that a large negative credit costs no time.
    private fun addRounds(rounds: Long) {
        for (queue in ring.toList()) {
            val quantum = quantum(queue)
            if (queue.credit <= 0) queue.credit = minOf(queue.credit + rounds * quantum, quantum)
        }
        ring.toList().forEach(::removeIfIdle)
    }
}

/** The queued demand for one adapter. */
internal class Demand {
    private val entries = LinkedHashSet<QueuedRequest>()

    var tokens: Long = 0
        private set

    val oldestNanos: Long get() = entries.first().arrivedNanos

    fun add(entry: QueuedRequest) {
        tokens += maxOf(1, entry.request.tokens)
        entries += entry
    }

    /** Removes [entry] and returns false when no entry remains. */
    fun remove(entry: QueuedRequest): Boolean {
        if (entries.remove(entry)) tokens -= maxOf(1, entry.request.tokens)
        return entries.isNotEmpty()
    }
}
