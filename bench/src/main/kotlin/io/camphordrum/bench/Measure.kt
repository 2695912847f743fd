package io.camphordrum.bench

/** First tokens that take longer than this count as stalls; a load takes 250 ms. */
const val STALL_NANOS = 200_000_000L

/** Counts the requests of [outcomes] that waited for a load. */
fun stallsOf(outcomes: List<Outcome>): Int =
    outcomes.count { it.ending == Ending.WHOLE && it.arrival.adapter != null && it.toFirstTokenNanos >= STALL_NANOS }

/**
 * Returns the loads of the best fixed placement: all slots but one hold the most used adapters, and the last slot
 * loads every other request's adapter, unless the request before it used the same one.
 */
fun bestFixedLoads(plan: List<Arrival>, slots: Int): Int {
    val used = plan.mapNotNull { it.adapter }
    val fixed = used.groupingBy {
        it
    }.eachCount().entries.sortedByDescending { it.value }.take(slots - 1).map { it.key }.toSet()
    var inLast: String? = null
    var loads = fixed.size
    for (adapter in used) {
        if (adapter in fixed || adapter == inLast) continue
        inLast = adapter
        loads++
    }
    return loads
}

/** Counts what must be zero. */
fun mustBeZero(outcomes: List<Outcome>, records: EndpointRecords, accounts: List<AccountResult>): MustBeZero {
    val ran = records.ran()
    // A copy of an order may be refused while the other copy runs.
    val refused = outcomes.groupBy { it.arrival.id }.filterValues { all -> all.all { it.ran == "no" } }.keys
    return MustBeZero(
        wrongAdapter = outcomes.count { it.ending == Ending.WRONG_ADAPTER },
        tornAnswers = outcomes.count { it.ending == Ending.TORN },
        evictionsUnderRunningRequests = records.violations,
        ordersExecutedTwice = records.executions.count { it.value > 1 },
        notRunThatRan = refused.count { it in ran },
        accountsOverLimit = accounts.count { it.admittedTokens > it.allowedTokens },
    )
}
