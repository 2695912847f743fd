package io.camphordrum.bench

import io.camphordrum.core.AccountId
import io.camphordrum.core.BaseModelId
import io.camphordrum.core.config.Account
import io.camphordrum.core.config.Adapter
import io.camphordrum.core.config.DataCentre
import io.camphordrum.core.config.Declaration
import io.camphordrum.core.config.Key
import io.camphordrum.core.config.KeyHasher
import io.camphordrum.core.config.LoadBudget
import io.camphordrum.core.config.Route
import io.camphordrum.core.config.Settings

/** Returns the key that callers of [account] send. */
fun keyOf(account: String): String = "bench-key-$account"

/** Returns the configuration tree for [size]; keys are hashed with [secret]. */
fun treeOf(size: Size, secret: String): Declaration {
    val hasher = KeyHasher(secret)
    val poolBranch = Declaration(
        settings = Settings(allow = size.accounts.map { AccountId(it.name) }.toSet()),
        adapters = (0 until size.adapters).associate {
            Workload.adapterName(it) to Adapter(BaseModelId(size.base), current = 1, versions = listOf(1))
        },
        routes = mapOf(size.route to Route(size.servicePool)),
    )
    return Declaration(
        accounts = size.accounts.associate { it.name to Account(it.tokensPerSecond, it.burstTokens) },
        keys = size.accounts.associate { it.name to Key(AccountId(it.name), hasher.hash(keyOf(it.name))) },
        dataCentres = size.dataCentres.associateWith { DataCentre(region = REGION) },
        loadBudgets = mapOf(size.base to LoadBudget(size.loadsPerSecond, size.loadsInFlight)),
        branches = mapOf(size.enginePool to poolBranch),
    )
}

/** The region that all daemons of a run share. */
const val REGION = "south"
