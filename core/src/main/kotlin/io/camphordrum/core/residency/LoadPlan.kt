package io.camphordrum.core.residency

import io.camphordrum.core.AdapterVersion

/** Chooses which adapter to load next and which one to evict for it. */
internal class LoadPlan(
    private val settings: OwnerSettings,
    private val queue: FairQueue,
    private val slots: Slots,
    private val tickets: Tickets,
    private val failures: LoadFailures,
) {
    /** @property overdue the load may displace an adapter that is still wanted. */
    class Target(val version: AdapterVersion, val turn: Turn, val oldestNanos: Long, val overdue: Boolean)

    /** Returns the adapter to load next: the account with the fewest loads chooses, by waiting tokens and age. */
    fun target(now: Long): Target? {
        val missing = queue.demand.filterKeys { it !in slots && !failures.paused(now, it) }
        if (missing.isEmpty()) return null
        return queue.turns
            .mapNotNull { turn -> chosen(now, turn, missing) }
            .minWithOrNull(compareBy<Target> { it.turn.loads }.thenBy { it.oldestNanos })
    }

    /**
     * Returns an adapter that may be evicted now, the least used first.
     *
     * @param foreign true when the endpoint runs requests without a ticket and does not tell for which adapters.
     */
    fun victim(now: Long, then: Long, report: LoadReport, target: Target, foreign: Boolean): Slot? {
        if (foreign && report.busy == null) return null
        val idle = slots.all.filter { slot ->
            evictable(now, slot) && !slot.unsettled && !tickets.uses(slot.version) && !usedByOthers(slot, then, report)
        }
        val wanted = idle.filter { it.version in queue.demand }.toSet()
        val unwanted = idle.filter { it !in wanted }.minByOrNull { it.score(now) }
        if (unwanted != null || !target.overdue) return unwanted
        return wanted.minByOrNull { it.score(now) }
    }

    /** Stops new tickets for the least used adapter when an overdue load finds none that is idle. */
    fun close(now: Long) {
        if (slots.count(SlotState.CLOSING) > 0) return
        val least = slots.all
            .filter { it.state == SlotState.RESIDENT && evictable(now, it) && !it.unsettled }
            .minByOrNull { it.score(now) }
        least?.state = SlotState.CLOSING
    }

    /** Gives tickets again to adapters that no longer have to make room. */
    fun reopen() {
        slots.all.filter { it.state == SlotState.CLOSING }.forEach { it.state = SlotState.RESIDENT }
    }

    private fun chosen(now: Long, turn: Turn, missing: Map<AdapterVersion, Demand>): Target? {
        val first = turn.waiting.firstOrNull() ?: return null
        val own = turn.waiting.mapNotNullTo(LinkedHashSet()) { it.request.version }.filter { it in missing }
        if (own.isEmpty()) return null
        val blocked = first.passedOver >= settings.passOverLimit && first.request.version in missing
        val version = if (blocked) {
            checkNotNull(first.request.version)
        } else {
            own.maxBy { missing.getValue(it).urgency(now) }
        }
        val oldest = missing.getValue(version).oldestNanos
        return Target(version, turn, oldest, blocked || now - oldest > OVERDUE_NANOS)
    }

    private fun evictable(now: Long, slot: Slot): Boolean =
        slot.state == SlotState.CLOSING ||
            (slot.state == SlotState.RESIDENT && now - slot.sinceNanos >= settings.residenceNanos)

    // Work that the report shows but that no ticket since then explains was dispatched without one.
    private fun usedByOthers(slot: Slot, then: Long, report: LoadReport): Boolean =
        report.busy != null && slot.version in report.busy && slot.lastEndNanos <= then

    private fun Demand.urgency(now: Long): Double = tokens * (1.0 + (now - oldestNanos).toDouble() / SECOND)

    private companion object {
        // A load that has waited this long may displace adapters that are in use, so that locality starves nobody.
        const val OVERDUE_NANOS = 2 * SECOND
    }
}
