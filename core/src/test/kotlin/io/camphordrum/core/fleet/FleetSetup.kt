package io.camphordrum.core.fleet

import io.camphordrum.core.AccountId
import io.camphordrum.core.BaseModelId
import io.camphordrum.core.RateLimit
import io.camphordrum.core.config.Account
import io.camphordrum.core.config.Adapter
import io.camphordrum.core.config.DataCentre
import io.camphordrum.core.config.Edit
import io.camphordrum.core.config.Key
import io.camphordrum.core.config.KeyHash
import io.camphordrum.core.config.LoadBudget
import io.camphordrum.core.config.Route
import io.camphordrum.core.config.Settings
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Rate limits of the accounts that [standardFleet] declares. */
val standardLimits = mapOf("small" to RateLimit(1_000, 2_000), "large" to RateLimit(5_000, 10_000))

/** Returns edits for two accounts, 20 adapters, an open adapter, a route to orders, and data centres a and b. */
fun standardEdits(fleet: Fleet): List<Edit> {
    val accounts = standardLimits.map { (name, limit) ->
        Edit.Put("accounts/$name", Account(limit.tokensPerSecond, limit.burstTokens))
    }
    val keys = standardLimits.keys.map { name ->
        Edit.Put("keys/$name-1", Key(AccountId(name), KeyHash(fleet.keyHash("$name-key"))))
    }
    val adapters = (1..20).map { Edit.Put("work/adapters/a$it", Adapter(BaseModelId("base-1"), 2, listOf(1, 2))) }
    val allow = standardLimits.keys.map(::AccountId).toSet()
    return accounts + keys + adapters + listOf(
        Edit.Put("settings", Settings(allow = allow)),
        Edit.Put("public/settings", Settings(open = true, openAccount = AccountId("small"))),
        Edit.Put("public/adapters/notices", Adapter(BaseModelId("base-1"), 1, listOf(1))),
        Edit.Put("routes//orders", Route("orders")),
        Edit.Put("dataCentres/a", DataCentre("south")),
        Edit.Put("dataCentres/b", DataCentre("south")),
        Edit.Put("loadBudgets/base-1", LoadBudget(4)),
    )
}

/** Starts two data centres with three daemons, two engines and one service each, and waits until all have joined. */
fun standardFleet(seed: Long): Fleet {
    val fleet = Fleet(seed)
    for (dataCentre in listOf("a", "b")) {
        fleet.addEngine("e1$dataCentre", dataCentre)
        fleet.addEngine("e2$dataCentre", dataCentre, fencing = false)
        fleet.addService("s1$dataCentre", dataCentre)
        for (i in 1..3) fleet.startDaemon("d$i$dataCentre", dataCentre)
    }
    fleet.run(500 * Fleet.MILLI)
    fleet.submitChange(fleet.nodes.getValue("d1a"), "setup", standardEdits(fleet))
    val ready = fleet.runUntil(60 * Fleet.SECOND) {
        fleet.nodes.values.all { it.core.joined && it.core.configuration?.revision == 1L }
    }
    assertTrue(ready, "expected all daemons to join with revision 1, but: ${fleet.states()}")
    fleet.run(15 * Fleet.SECOND)
    return fleet
}

/** Returns a description of all daemons for failure messages. */
fun Fleet.states(): String = nodes.values.joinToString { node ->
    val status = node.core.status(now)
    "${node.name}: revision=${status.revision} generation=${status.generation} lease=${status.leaseValid}"
}

/** Fails with a list of all violated invariants. */
fun Fleet.assertInvariants() {
    val accounts = standardLimits.keys.associateBy { keyHash("$it-key") }
    val violations = Invariants(this).violations(standardLimits) { hash ->
        if (hash ==
            null
        ) {
            "small"
        } else {
            accounts[hash]
        }
    }
    assertEquals(emptyList(), violations, "seed $seed")
}
