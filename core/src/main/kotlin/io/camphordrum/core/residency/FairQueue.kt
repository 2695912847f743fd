package io.camphordrum.core.residency

import io.camphordrum.core.AccountId
import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.Member

/** A request in the queue, with the number of later requests of its account that went before it. */
internal class Waiting(val request: TicketRequest, val arrivedNanos: Long) {
    var passedOver: Int = 0
}

/** The place of one account in the ring; a negative [credit] is work that it was given ahead of its turn. */
internal class Turn(val account: AccountId, var weight: Long) {
    val waiting: ArrayList<Waiting> = ArrayList()
    var credit: Long = 0

    /** Loads made for the account, divided by its weight; the account with the fewest chooses the next load. */
    var loads: Double = 0.0
}

/**
 * Shares an endpoint between client accounts by deficit round robin in tokens.
 *
 * An account is served while its credit is positive, and each round adds a quantum in proportion to its weight. An
 * account that was idle starts with a quantum, so its first request does not wait for a round. An account that
 * leaves the queue in debt stays in the ring until its debt is paid, so that it gains nothing by coming back.
 */
internal class FairQueue(private val settings: OwnerSettings, private val weight: (AccountId) -> Long) {
    private val ring = ArrayList<Turn>()
    private val byAccount = HashMap<AccountId, Turn>()
    private val byRequest = HashMap<Pair<Member, Long>, Waiting>()
    private val byVersion = HashMap<AdapterVersion, Demand>()

    // A new account starts level with the account that got the latest load, as it was before that load.
    private var loadTurn = 0.0

    val size: Int get() = byRequest.size

    /** Accounts with waiting requests. */
    val accounts: Int get() = ring.count { it.waiting.isNotEmpty() }

    val turns: List<Turn> get() = ring

    fun sizeOf(account: AccountId): Int = byAccount[account]?.waiting?.size ?: 0

    operator fun contains(request: TicketRequest): Boolean = (request.from to request.request) in byRequest

    /**
     * Adds a request and returns true, or returns false when there is no room.
     *
     * At the limit the account with the most waiting requests gives up its newest one to [displaced], unless the new
     * request belongs to that account; a single account can therefore not fill the queue for the others.
     */
    fun add(now: Long, request: TicketRequest, displaced: (Waiting) -> Unit): Boolean {
        val turn = turnOf(request.account) ?: return false
        if (size >= settings.queueLimit) {
            val largest = ring.maxBy { it.waiting.size }
            if (largest.waiting.size <= turn.waiting.size + 1) return false
            val newest = largest.waiting.last()
            remove(newest)
            displaced(newest)
        }
        val entry = Waiting(request, now)
        turn.waiting += entry
        byRequest[request.from to request.request] = entry
        request.version?.let { byVersion.getOrPut(it) { Demand() }.add(entry) }
        return true
    }

    /** Removes and returns the request whose turn it is among those that are [ready], or returns null. */
    fun next(ready: (Waiting) -> Boolean): Waiting? {
        val choices = ring.mapNotNull { turn -> choose(turn, ready)?.let { turn to it } }
        if (choices.isEmpty()) return null
        if (choices.none { (turn, _) -> turn.credit > 0 }) advance(choices.minOf { (turn, _) -> roundsUntilPaid(turn) })
        val (turn, entry) = choices.first { (turn, _) -> turn.credit > 0 }
        serve(turn, entry)
        return entry
    }

    /** Gives back what a finished request did not use. */
    fun credit(account: AccountId, tokens: Long) {
        val turn = byAccount[account] ?: return
        turn.credit = minOf(turn.credit + maxOf(0, tokens), maxOf(turn.credit, quantum(turn)))
    }

    /** Removes all requests for which [test] holds and returns them. */
    fun removeIf(test: (Waiting) -> Boolean): List<Waiting> {
        if (size == 0) return emptyList()
        val gone = byRequest.values.filter(test).sortedBy { it.arrivedNanos }
        gone.forEach(::remove)
        return gone
    }

    /** Counts a load made for the account of [turn]. */
    fun chargeLoad(turn: Turn) {
        loadTurn = turn.loads
        turn.loads += ring.maxOf { it.weight }.toDouble() / turn.weight
    }

    /** The waiting work for each adapter. */
    val demand: Map<AdapterVersion, Demand> get() = byVersion

    // Requests are kept by arrival, so the first has been passed over most often.
    private fun choose(turn: Turn, ready: (Waiting) -> Boolean): Waiting? {
        val first = turn.waiting.firstOrNull() ?: return null
        if (first.passedOver >= settings.passOverLimit) return first.takeIf(ready)
        var best: Waiting? = null
        for (entry in turn.waiting) {
            val higher = best == null || entry.request.priority > best.request.priority
            if (higher && ready(entry)) best = entry
        }
        return best
    }

    private fun serve(turn: Turn, entry: Waiting) {
        for (earlier in turn.waiting) {
            if (earlier === entry) break
            earlier.passedOver++
        }
        turn.credit -= maxOf(1, entry.request.tokens)
        remove(entry)
        if (turn.credit <= 0 && ring.remove(turn)) ring += turn
    }

    private fun remove(entry: Waiting) {
        byRequest.remove(entry.request.from to entry.request.request)
        val turn = byAccount.getValue(entry.request.account)
        turn.waiting.remove(entry)
        entry.request.version?.let { version ->
            byVersion.computeIfPresent(version) { _, demand -> demand.takeIf { it.remove(entry) } }
        }
        dropIfPaid(turn)
    }

    private fun dropIfPaid(turn: Turn) {
        if (turn.waiting.isNotEmpty() || turn.credit < 0) return
        byAccount.remove(turn.account)
        ring.remove(turn)
    }

    private fun turnOf(account: AccountId): Turn? {
        val known = byAccount[account]
        if (known != null) return known.also { it.weight = maxOf(1, weight(account)) }
        if (ring.size >= settings.accountLimit) {
            // The debt of an account without requests is given up before another account is refused.
            val indebted = ring.firstOrNull { it.waiting.isEmpty() } ?: return null
            byAccount.remove(indebted.account)
            ring.remove(indebted)
        }
        val turn = Turn(account, maxOf(1, weight(account)))
        turn.loads = loadTurn
        byAccount[account] = turn
        ring += turn
        turn.credit = quantum(turn)
        return turn
    }

    private fun quantum(turn: Turn): Long {
        val largest = ring.maxOf { it.weight }
        return maxOf(1, (settings.quantumTokens * (turn.weight.toDouble() / largest)).toLong())
    }

    private fun roundsUntilPaid(turn: Turn): Long {
        val quantum = quantum(turn)
        return (1 - turn.credit + quantum - 1) / quantum
    }

    // Rounds in which no account can be served are added up in one step, so large debts cost no time.
    private fun advance(rounds: Long) {
        for (turn in ring.toList()) {
            val quantum = quantum(turn)
            if (turn.credit <= 0) turn.credit = minOf(turn.credit + rounds * quantum, quantum)
        }
        ring.toList().forEach(::dropIfPaid)
    }
}

/** The waiting work for one adapter. */
internal class Demand {
    private val entries = LinkedHashSet<Waiting>()

    var tokens: Long = 0
        private set

    val oldestNanos: Long get() = entries.first().arrivedNanos

    fun add(entry: Waiting) {
        tokens += maxOf(1, entry.request.tokens)
        entries += entry
    }

    /** Returns false when nothing is left. */
    fun remove(entry: Waiting): Boolean {
        if (entries.remove(entry)) tokens -= maxOf(1, entry.request.tokens)
        return entries.isNotEmpty()
    }
}
