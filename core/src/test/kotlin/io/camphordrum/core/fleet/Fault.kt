package io.camphordrum.core.fleet

import io.camphordrum.core.config.DataCentre
import io.camphordrum.core.config.DataCentreState
import io.camphordrum.core.config.Edit
import io.camphordrum.core.fleet.Fleet.Companion.MILLI
import io.camphordrum.core.fleet.Fleet.Companion.SECOND
import kotlin.random.Random

private typealias FaultAction = (fleet: Fleet, random: Random) -> Unit

private fun Fleet.randomAlive(random: Random) = nodes.values.filter { it.alive }.random(random)

/** Lists the faults of the matrix; [inject] starts a fault and [revert] ends it. */
enum class Fault(val inject: FaultAction, val revert: FaultAction = { _, _ -> }) {
    KILL({ fleet, random -> fleet.kill(fleet.randomAlive(random)) }),
    KILL_AND_REPLACE(
        { fleet, random -> fleet.kill(fleet.randomAlive(random)) },
        { fleet, _ -> fleet.nodes.values.filter { !it.alive }.forEach { fleet.restart(it.name) } },
    ),
    PLANNED_STOP({ fleet, random ->
        val node = fleet.randomAlive(random)
        node.core.drain()
        fleet.schedule(2 * SECOND) { node.decide { core, at -> core.leave(at) } }
        fleet.schedule(8 * SECOND) { fleet.kill(node) }
    }),
    FREEZE_PAST_THE_LEASE(
        { fleet, random -> fleet.randomAlive(random).paused = true },
        { fleet, _ -> fleet.nodes.values.forEach { it.resume() } },
    ),
    SHORT_FREEZE({ fleet, random ->
        val node = fleet.randomAlive(random)
        node.paused = true
        fleet.schedule(2_900 * MILLI) { node.resume() }
    }),
    CUT_FROM_PLATFORM(
        { fleet, random -> fleet.randomAlive(random).isolatedFromStore = true },
        { fleet, _ -> fleet.nodes.values.forEach { it.isolatedFromStore = false } },
    ),
    PLATFORM_OUT({ fleet, _ -> fleet.store.unavailable = true }, { fleet, _ -> fleet.store.unavailable = false }),
    CUT_FROM_PEERS(
        { fleet, random ->
            val node = fleet.randomAlive(random)
            fleet.nodes.values.filter { it != node }.forEach { fleet.cutConnections += setOf(node.name, it.name) }
        },
        { fleet, _ -> fleet.cutConnections.clear() },
    ),
    DATA_CENTRES_CUT(
        { fleet, _ ->
            val (a, b) = fleet.nodes.values.partition { it.dataCentre.name == "a" }
            for (left in a) for (right in b) fleet.cutConnections += setOf(left.name, right.name)
        },
        { fleet, _ -> fleet.cutConnections.clear() },
    ),
    LOST_STORE_ANSWERS({ fleet, _ -> fleet.store.answersToLose = 5 }, { fleet, _ -> fleet.store.answersToLose = 0 }),
    LOST_AND_DUPLICATED_MESSAGES(
        { fleet, _ ->
            fleet.loss = 0.1
            fleet.duplicates = 0.1
        },
        { fleet, _ ->
            fleet.loss = 0.0
            fleet.duplicates = 0.0
        },
    ),
    ENDPOINT_RESTARTED_EMPTY({ fleet, random -> fleet.endpoints.values.toList().random(random).restart() }),
    LOADS_FAIL({ fleet, _ -> fleet.endpoints.values.forEach { it.loadFailures = 2 } }),
    ENDPOINT_DOWN(
        { fleet, random -> fleet.endpoints.values.toList().random(random).down = true },
        { fleet, _ -> fleet.endpoints.values.forEach { it.down = false } },
    ),
    ENDPOINT_SILENT(
        { fleet, random ->
            val silent = fleet.endpoints.keys.random(random)
            fleet.isSilent = { it.endpoint == silent }
        },
        { fleet, _ -> fleet.isSilent = { false } },
    ),
    DATA_CENTRE_DRAINED(
        { fleet, random -> drain(fleet, random, DataCentreState.DRAINED) },
        { fleet, random -> drain(fleet, random, DataCentreState.SERVING) },
    ),
    RACING_OPERATORS({ fleet, _ ->
        fleet.nodes.values.forEachIndexed { i, node ->
            if (node.alive) {
                fleet.submitChange(node, "race-$i", listOf(Edit.Put("dataCentres/a", DataCentre("south"))))
            }
        }
    }),
}

private fun drain(fleet: Fleet, random: Random, state: DataCentreState) {
    val edit = Edit.Put("dataCentres/a", DataCentre("south", state))
    fleet.submitChange(fleet.randomAlive(random), "drain-${state.name}-${fleet.now}", listOf(edit))
}
