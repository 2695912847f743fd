package io.camphordrum.bench

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Is something that happens to the fleet [atSeconds] after the start of the run. */
class Event(val atSeconds: Double, val name: String, val act: (Fleet) -> Unit)

/** Names the scenarios; an event that lasts begins at one third of the run and ends at two thirds. */
enum class Scenario {
    /** Nothing happens. */
    STEADY,

    /** The popularity moves to other adapters at one third. */
    SHIFT,

    /** The first account sends five times its rate. */
    FLOOD,

    /** An engine restarts empty and cold. */
    COLD,

    /** A data centre leaves and returns. */
    DATACENTRE,

    /** The platform is out for the whole run. */
    OUTAGE,

    /** A daemon is killed. */
    KILL,

    /** Each daemon is replaced in turn. */
    ROLLING,
    ;

    /** Returns the planned arrivals. */
    fun plan(size: Size, seed: Long, seconds: Int): List<Arrival> {
        val workload = Workload(size, seed, seconds)
        return when (this) {
            SHIFT -> workload.plan(shiftAtSeconds = seconds / 3.0)
            FLOOD -> workload.plan(flood = Workload.Flood(0, seconds / 3.0..seconds * 2 / 3.0))
            else -> workload.plan()
        }
    }

    /** Returns what happens to the fleet. */
    fun events(size: Size, seconds: Int): List<Event> {
        val third = seconds / 3.0
        val lastCentre = size.dataCentres.last()
        return when (this) {
            STEADY, SHIFT, FLOOD -> emptyList()
            COLD -> listOf(Event(third, "engine-0 restarts") { it.control(it.engines[0], restartMessage()) })
            DATACENTRE -> listOf(
                Event(third, "$lastCentre leaves") { it.operator("drain", "data-centre", lastCentre) },
                Event(2 * third, "$lastCentre returns") { it.operator("return", "data-centre", lastCentre) },
            )
            OUTAGE -> listOf(Event(0.0, "the platform is out") { it.control(it.platform, outage()) })
            KILL -> listOf(Event(third, "daemon 0 is killed") { it.kill(0) })
            ROLLING -> (0 until size.daemons).map { i ->
                Event(seconds * (i + 1.0) / (size.daemons + 2), "daemon $i is replaced") { it.replace(i) }
            }
        }
    }

    private fun outage() = buildJsonObject { put("outage", "refuse") }
}

/** Tells an engine stand-in to restart empty and cold. */
internal fun restartMessage() = buildJsonObject { put("restart", true) }
