package io.camphordrum.bench

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Describes an action on the fleet that runs [atSeconds] after the start of the run. */
class Event(val atSeconds: Double, val name: String, val action: (Fleet) -> Unit)

/** Lists the scenarios; an event with a duration starts at one third of the run and ends at two thirds. */
enum class Scenario {
    /** Runs without events. */
    STEADY,

    /** Other adapters become popular at one third of the run. */
    SHIFT,

    /** The first account sends five times its request rate. */
    FLOOD,

    /** An engine restarts without resident adapters and cold. */
    COLD,

    /** A data centre is drained and returned to service. */
    DATACENTRE,

    /** The platform is unavailable for the whole run. */
    OUTAGE,

    /** A daemon is killed. */
    KILL,

    /** Each daemon is restarted in turn. */
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

    /** Returns the events of the run in order of time. */
    fun events(size: Size, seconds: Int): List<Event> {
        val thirdSeconds = seconds / 3.0
        val lastDataCentre = size.dataCentres.last()
        return when (this) {
            STEADY, SHIFT, FLOOD -> emptyList()
            COLD -> listOf(Event(thirdSeconds, "engine-0 restarts") { it.sendControl(it.engines[0], restartMessage()) })
            DATACENTRE -> listOf(
                Event(thirdSeconds, "$lastDataCentre leaves") {
                    it.runOperatorTool("drain", "data-centre", lastDataCentre)
                },
                Event(2 * thirdSeconds, "$lastDataCentre returns") {
                    it.runOperatorTool("return", "data-centre", lastDataCentre)
                },
            )
            OUTAGE -> listOf(Event(0.0, "the platform is out") { it.sendControl(it.platform, outageMessage()) })
            KILL -> listOf(Event(thirdSeconds, "daemon 0 is killed") { it.killDaemon(0) })
            ROLLING -> (0 until size.daemons).map { i ->
                Event(seconds * (i + 1.0) / (size.daemons + 2), "daemon $i is replaced") { it.restartDaemon(i) }
            }
        }
    }

    private fun outageMessage() = buildJsonObject { put("outage", "refuse") }
}

/** Returns the control message that restarts an engine stand-in without resident adapters and cold. */
internal fun restartMessage() = buildJsonObject { put("restart", true) }
