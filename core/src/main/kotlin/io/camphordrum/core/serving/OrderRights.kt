package io.camphordrum.core.serving

import io.camphordrum.core.Clock
import io.camphordrum.core.EndpointId
import kotlin.math.abs

/**
 * Holds the order rights of this daemon, so that two daemons never send orders to one endpoint within a lease.
 *
 * A right is usable for [VALID_NANOS] after the start of the last store read that showed it. A new holder writes the
 * right first. Every read that starts later shows the new holder, so the former one stops within [VALID_NANOS], and the
 * new one waits for that time plus the lease. Endpoints do not check fencing tokens, so time alone separates holders.
 *
 * The monotonic clock stops while an instance is suspended. Therefore a right is usable only while the wall clock and
 * the monotonic clock have advanced equally since that read; after a clock step the rights must be read again first.
 */
internal class OrderRights(
    private val options: ServingOptions,
    private val machine: String,
    private val clock: Clock,
    private val store: RightStore,
) {
    private class HeldRight(
        val token: Long,
        val usableFromNanos: Long,
        var settled: Boolean,
        var readNanos: Long,
        var readEpochMillis: Long,
    )

    private val heldRights = HashMap<EndpointId, HeldRight>()
    private var storedRights: Map<String, StoredRight>? = null
    private var listing = false
    private var listStartedNanos = Long.MIN_VALUE / 2
    private val writing = HashSet<EndpointId>()

    // When a change of the holder was seen. Two partitioned daemons must not take the right from each other repeatedly.
    private val holderChangedNanos = HashMap<String, Long>()

    /** Whether this daemon has released its rights and claims no more. */
    var leaving = false

    /** Highest token known to have been used; a store that was restored to an older state may hold lower ones. */
    var usedToken = 0L

    val heldEndpoints: Set<EndpointId> get() = heldRights.keys

    fun token(endpoint: EndpointId): Long? = heldRights[endpoint]?.token

    /** Returns whether an order may be sent to [endpoint] now. */
    fun usable(now: Long, endpoint: EndpointId): Boolean {
        val right = heldRights[endpoint] ?: return false
        return now >= right.usableFromNanos && isCurrent(now, endpoint)
    }

    /** Returns whether the right to [endpoint] is held and was read recently, also while it is not usable yet. */
    fun isCurrent(now: Long, endpoint: EndpointId): Boolean {
        val right = heldRights[endpoint] ?: return false
        if (leaving || now - right.readNanos > VALID_NANOS) return false
        val stepMillis = (clock.epochMillis() - right.readEpochMillis) - (now - right.readNanos) / NANOS_PER_MILLI
        return abs(stepMillis) <= MAX_CLOCK_STEP_MILLIS
    }

    /** Reads the rights again unless a read is in progress. */
    fun refresh(now: Long) {
        if (listing) return
        listing = true
        listStartedNanos = now
        val startedMillis = clock.epochMillis()
        store.list { rights ->
            listing = false
            if (rights != null) applyList(now, startedMillis, rights)
        }
    }

    /** Reads the rights again if the right to [endpoint] is unusable only because its last read is too old. */
    fun refreshStale(now: Long, endpoint: EndpointId) {
        val right = heldRights[endpoint] ?: return
        // While the lease of the former holder runs, a read would not make the right usable.
        if (now < right.usableFromNanos || now - listStartedNanos < MIN_READ_INTERVAL_NANOS) return
        refresh(now)
    }

    /** Whether the rights have been read since the start. */
    val wereRead: Boolean get() = storedRights != null

    fun now(): Long = clock.nanos()

    /** Returns whether no read is in progress and none was started for [nanos]. */
    fun readOlderThan(now: Long, nanos: Long): Boolean = !listing && now - listStartedNanos > nanos

    /**
     * Claims the right to [endpoint] if it is free, was held by this machine, or its holder is not live.
     *
     * @param preferred whether this daemon is the preferred owner; others claim only rights of their own machine.
     * @param isLive returns whether the daemon of a machine was heard from recently.
     */
    fun claim(now: Long, endpoint: EndpointId, preferred: Boolean, isLive: (machine: String) -> Boolean) {
        val rights = storedRights ?: return
        if (leaving || endpoint in heldRights || endpoint in writing) return
        val previous = rights[endpoint.name]
        val heldByThisMachine = previous?.right?.machine == machine
        val recentlyChanged = holderChangedNanos[endpoint.name]?.let { now - it < MIN_TENURE_NANOS } == true
        val unclaimed =
            previous == null || previous.right.released || (!recentlyChanged && !isLive(previous.right.machine))
        if (!heldByThisMachine && !(preferred && unclaimed)) return
        writeClaim(now, endpoint, previous, heldByThisMachine)
    }

    private fun writeClaim(now: Long, endpoint: EndpointId, previous: StoredRight?, heldByThisMachine: Boolean) {
        val settled = previous == null || (heldByThisMachine && previous.right.settled)
        val token = maxOf(usedToken, previous?.right?.token ?: 0) + 1
        val right = EndpointRight(machine, options.self.incarnation, token, settled)
        val epochMillis = clock.epochMillis()
        writing += endpoint
        store.put(endpoint.name, right, previous?.revision) { end ->
            writing -= endpoint
            when (end) {
                is RightWriteResult.Stored -> {
                    storedRights = storedRights.orEmpty() + (endpoint.name to StoredRight(right, end.revision))
                    // Starts at the answer, because the write may have taken effect at any time before it.
                    val waitNanos = if (settled) 0 else VALID_NANOS + options.leaseMillis * NANOS_PER_MILLI + SKEW_NANOS
                    heldRights[endpoint] = HeldRight(right.token, clock.nanos() + waitNanos, settled, now, epochMillis)
                }
                RightWriteResult.Conflict, RightWriteResult.Unknown -> refresh(clock.nanos())
            }
        }
    }

    /** Marks rights whose wait is over as settled, so that a restart of this process does not wait again. */
    fun markSettled(now: Long) {
        for ((endpoint, right) in heldRights) {
            if (right.settled || now < right.usableFromNanos || endpoint in writing) continue
            val stored = storedRights?.get(endpoint.name) ?: continue
            if (stored.right.machine != machine || stored.right.token != right.token) continue
            val next = stored.right.copy(settled = true)
            writing += endpoint
            store.put(endpoint.name, next, stored.revision) { end ->
                writing -= endpoint
                if (end is RightWriteResult.Stored) {
                    right.settled = true
                    storedRights = storedRights.orEmpty() + (endpoint.name to StoredRight(next, end.revision))
                } else {
                    refresh(clock.nanos())
                }
            }
        }
    }

    /** Releases all rights; the other daemons see the release in the store. */
    fun releaseAll() {
        leaving = true
        for (endpoint in heldRights.keys.toList()) {
            val stored = storedRights?.get(endpoint.name) ?: continue
            store.put(endpoint.name, stored.right.copy(released = true), stored.revision) {}
        }
        heldRights.clear()
    }

    private fun applyList(startedNanos: Long, startedMillis: Long, rights: Map<String, StoredRight>) {
        for ((name, right) in rights) {
            val previous = storedRights?.get(name) ?: continue
            if (previous.right.token != right.right.token) holderChangedNanos[name] = startedNanos
        }
        storedRights = rights
        for (endpoint in heldRights.keys.toList()) {
            val right = heldRights.getValue(endpoint)
            val listedRight = rights[endpoint.name]?.right
            if (listedRight == null || listedRight.machine != machine || listedRight.token != right.token) {
                heldRights -= endpoint
            } else {
                right.readNanos = startedNanos
                right.readEpochMillis = startedMillis
            }
        }
    }

    internal companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        // A longer time survives longer store outages; a shorter one hands the endpoints of a dead daemon over sooner.
        const val VALID_NANOS = 2_500_000_000L

        // Covers the drift of monotonic clocks and the network time of an order.
        const val SKEW_NANOS = 600_000_000L

        // Longer than the wait of a new holder, so that it can use its right before another daemon claims it.
        const val MIN_TENURE_NANOS = 12_000_000_000L

        // The store answers within a few milliseconds; more frequent reads would only overload a store in trouble.
        const val MIN_READ_INTERVAL_NANOS = 100_000_000L

        // Larger differences mean a wall clock step or a suspension; well below the margin that a lease tolerates.
        const val MAX_CLOCK_STEP_MILLIS = 200L
    }
}
