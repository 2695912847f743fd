package io.camphordrum.core.residency

import io.camphordrum.core.AdapterVersion

/** Selects the adapter to load next and the adapter to evict for it. */
internal class LoadPlan(
    private val settings: OwnerSettings,
    private val queue: FairQueue,
    private val slots: Slots,
    private val tickets: Tickets,
    private val failures: LoadFailures,
) {
    /** @property overdue whether the load may displace an adapter that is still in demand. */
    class Target(
        val version: AdapterVersion,
        val accountQueue: AccountQueue,
        val oldestNanos: Long,
        val overdue: Boolean,
    )

    /**
     * Returns the adapter to load next: the account with the lowest weighted loads selects it by queued tokens and age.
     */
    fun nextTarget(now: Long): Target? {
        val missing = queue.demand.filterKeys { it !in slots && !failures.inBackoff(now, it) }
        if (missing.isEmpty()) return null
        return queue.accountQueues
            .mapNotNull { accountQueue -> accountTarget(now, accountQueue, missing) }
            .minWithOrNull(compareBy<Target> { it.accountQueue.weightedLoads }.thenBy { it.oldestNanos })
    }

    /**
     * Returns an adapter that may be evicted now, the least used first, or null when there is none.
     *
     * @param unticketed true when the endpoint runs requests without a ticket; without a list of busy adapters in the
     *   report, any adapter may then be in use.
     */
    fun evictionCandidate(now: Long, stateNanos: Long, report: LoadReport, target: Target, unticketed: Boolean): Slot? {
        if (unticketed && report.busy == null) return null
        val idle = slots.all.filter { slot ->
            evictable(now, slot) &&
                !slot.unknownUse &&
                !tickets.hasTicketFor(slot.version) &&
                !usedWithoutTicket(slot, stateNanos, report)
        }
        val inDemand = idle.filter { it.version in queue.demand }.toSet()
        val notInDemand = idle.filter { it !in inDemand }.minByOrNull { it.usageScore(now) }
        if (notInDemand != null || !target.overdue) return notInDemand
        return inDemand.minByOrNull { it.usageScore(now) }
    }

    /** Stops new tickets for the least used adapter, for an overdue load that finds no idle one. */
    fun stopTicketsForLeastUsed(now: Long) {
        if (slots.count(SlotState.CLOSING) > 0) return
        val leastUsed = slots.all
            .filter { it.state == SlotState.RESIDENT && evictable(now, it) && !it.unknownUse }
            .minByOrNull { it.usageScore(now) }
        leastUsed?.state = SlotState.CLOSING
    }

    /** Allows new tickets again for adapters that no longer have to be evicted. */
    fun allowTicketsAgain() {
        slots.all.filter { it.state == SlotState.CLOSING }.forEach { it.state = SlotState.RESIDENT }
    }

    private fun accountTarget(now: Long, accountQueue: AccountQueue, missing: Map<AdapterVersion, Demand>): Target? {
        val first = accountQueue.requests.firstOrNull() ?: return null
        val ownMissing = accountQueue.requests
            .mapNotNullTo(LinkedHashSet()) { it.request.version }
            .filter { it in missing }
        if (ownMissing.isEmpty()) return null
        val headBlocked = first.passOverCount >= settings.passOverLimit && first.request.version in missing
        val version = if (headBlocked) {
            checkNotNull(first.request.version)
        } else {
            ownMissing.maxBy { missing.getValue(it).urgency(now) }
        }
        val oldestNanos = missing.getValue(version).oldestNanos
        return Target(version, accountQueue, oldestNanos, headBlocked || now - oldestNanos > OVERDUE_NANOS)
    }

    private fun evictable(now: Long, slot: Slot): Boolean =
        slot.state == SlotState.CLOSING ||
            (slot.state == SlotState.RESIDENT && now - slot.residentSinceNanos >= settings.minResidenceNanos)

    // An adapter that the report shows busy although none of its tickets was finished since then is used without a
    // ticket.
    private fun usedWithoutTicket(slot: Slot, stateNanos: Long, report: LoadReport): Boolean =
        report.busy != null && slot.version in report.busy && slot.lastFinishNanos <= stateNanos

    private fun Demand.urgency(now: Long): Double = tokens * (1.0 + (now - oldestNanos).toDouble() / SECOND)

    private companion object {
        // After this wait a load may displace adapters that are in use, so that locality does not starve a request.
        const val OVERDUE_NANOS = 2 * SECOND
    }
}
