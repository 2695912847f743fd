package io.camphordrum.core.fleet

import io.camphordrum.core.CoreEffect
import io.camphordrum.core.CoreOptions
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.DecisionCore
import io.camphordrum.core.InstanceId
import io.camphordrum.core.ManualClock
import io.camphordrum.core.Member
import kotlinx.serialization.json.Json

/** Runs one decision core inside a [Fleet]; while it is paused its inputs wait. */
class Node(
    private val fleet: Fleet,
    val name: String,
    val dataCentre: DataCentreId,
    val address: String,
    clock: ManualClock,
) {
    val member = Member(InstanceId(name), fleet.nextIncarnation())
    val core = DecisionCore(
        CoreOptions(member, dataCentre, "south", address, seeds = emptyList(), seed = member.incarnation),
        clock,
        Json,
    )
    private val inbox = ArrayDeque<(DecisionCore, Long) -> List<CoreEffect>>()
    private val met = HashSet<Member>()
    var alive = true
    var paused = false
    var storeCut = false
    var left = false
    val since = fleet.now

    /** Gives the core an input now, or after the pause. */
    fun decide(step: (DecisionCore, Long) -> List<CoreEffect>) {
        if (!alive) return
        if (paused) {
            inbox += step
            return
        }
        for (effect in step(core, fleet.now)) fleet.execute(this, effect)
    }

    fun resume() {
        paused = false
        while (inbox.isNotEmpty() && !paused && alive) decide(inbox.removeFirst())
    }

    /** Tells the core that a connection with [other] is up, unless it knows. */
    fun connected(other: Node) {
        if (met.add(other.member)) decide { core, _ -> core.peerUp(other.member, other.address) }
    }

    /** Tells the core that [other] cannot be reached. */
    fun disconnected(other: Node) {
        met -= other.member
        decide { core, at -> core.peerDown(at, other.address) }
    }
}
