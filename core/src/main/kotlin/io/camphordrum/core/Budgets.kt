package io.camphordrum.core

import io.camphordrum.core.config.LoadBudget
import io.camphordrum.core.config.Snapshot
import kotlin.math.ceil

/** Returns the rate limits of all client accounts and the load budgets of base models, which are enforced alike. */
internal fun effectiveLimits(config: Snapshot): Map<AccountId, RateLimit> =
    config.limits() +
        config.loadBudgets().entries.associate { (base, budget) -> loadAccount(base) to rateLimit(budget) }

/** Returns the account that loads of [base] are charged to; names of client accounts contain no slash. */
internal fun loadAccount(base: BaseModelId) = AccountId("loads/${base.name}")

// At most burst plus rate times LOAD_SECONDS loads start within the duration of one load; this must not exceed the
// number of loads in flight beyond which the weight store slows down.
private fun rateLimit(budget: LoadBudget): RateLimit {
    val refilled = ceil(budget.loadsPerSecond * LOAD_SECONDS).toLong()
    return RateLimit(budget.loadsPerSecond, maxOf(1, budget.inFlight - refilled))
}

private const val LOAD_SECONDS = 0.25
