package io.camphordrum.bench

/** Shortest time to first token that counts as a stall; a load takes 250 ms. */
const val STALL_THRESHOLD_NANOS = 200_000_000L

/** Counts the completions of [outcomes] that waited for a load, as [STALL_THRESHOLD_NANOS] indicates. */
fun countStalls(outcomes: List<Outcome>): Int =
    outcomes.count {
        it.ending == Ending.WHOLE && it.arrival.adapter != null && it.timeToFirstTokenNanos >= STALL_THRESHOLD_NANOS
    }

/**
 * Returns the loads of the best fixed placement: all slots but one hold the most used adapters, and the last slot
 * loads every other request's adapter, unless the request before it used the same one.
 */
fun bestFixedLoads(plan: List<Arrival>, slots: Int): Int {
    val requestedAdapters = plan.mapNotNull { it.adapter }
    val fixedAdapters = requestedAdapters.groupingBy {
        it
    }.eachCount().entries.sortedByDescending { it.value }.take(slots - 1).map { it.key }.toSet()
    var lastSlotAdapter: String? = null
    var loads = fixedAdapters.size
    for (adapter in requestedAdapters) {
        if (adapter in fixedAdapters || adapter == lastSlotAdapter) continue
        lastSlotAdapter = adapter
        loads++
    }
    return loads
}

/** Counts the violations, which must all be zero. */
fun countViolations(outcomes: List<Outcome>, records: EndpointRecords, accounts: List<AccountResult>): MustBeZero {
    val executedIds = records.executedIds()
    // One copy of an order may be rejected while the other copy runs.
    val reportedNotRunIds = outcomes.groupBy { it.arrival.id }
        .filterValues { copies -> copies.all { it.ran == "no" } }.keys
    return MustBeZero(
        wrongAdapter = outcomes.count { it.ending == Ending.WRONG_ADAPTER },
        tornAnswers = outcomes.count { it.ending == Ending.TORN },
        evictionsUnderRunningRequests = records.evictionsUnderRunningRequests,
        ordersExecutedTwice = records.executions.count { it.value > 1 },
        notRunThatRan = reportedNotRunIds.count { it in executedIds },
        accountsOverLimit = accounts.count { it.admittedTokens > it.allowedTokens },
    )
}
