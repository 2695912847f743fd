package io.camphordrum.core

import io.camphordrum.core.config.LoadBudget
import io.camphordrum.core.config.Snapshot
import kotlin.math.ceil

/** Returns the limits of all client accounts and of the weight stores, which share one ledger. */
internal fun effectiveLimits(config: Snapshot): Map<AccountId, RateLimit> =
    config.limits() + config.loadBudgets().entries.associate { (base, budget) -> loadAccount(base) to limit(budget) }

/** Names the account that loads of [base] are charged to; client accounts' names contain no slash. */
internal fun loadAccount(base: BaseModelId) = AccountId("loads/${base.name}")

// Loads that start within the time of one load are at most burst plus rate times that time, which must not exceed the
// number in flight beyond which the weight store slows down.
private fun limit(budget: LoadBudget): RateLimit {
    val refilled = ceil(budget.loadsPerSecond * LOAD_SECONDS).toLong()
    return RateLimit(budget.loadsPerSecond, maxOf(1, budget.inFlight - refilled))
}

private const val LOAD_SECONDS = 0.25
