package io.camphordrum.core.fleet

import io.camphordrum.core.CoreEffect
import io.camphordrum.core.CoreOptions
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.DecisionCore
import io.camphordrum.core.InstanceId
import io.camphordrum.core.ManualClock
import io.camphordrum.core.Member
import kotlinx.serialization.json.Json

/** Runs one decision core inside a [Fleet]; inputs are queued while it is paused. */
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
    private val pendingSteps = ArrayDeque<(DecisionCore, Long) -> List<CoreEffect>>()
    private val connectedPeers = HashSet<Member>()
    var alive = true
    var paused = false
    var isolatedFromStore = false
    var left = false
    val startedAt = fleet.now

    /** Runs [step] on the core now, or when a pause ends. */
    fun decide(step: (DecisionCore, Long) -> List<CoreEffect>) {
        if (!alive) return
        if (paused) {
            pendingSteps += step
            return
        }
        for (effect in step(core, fleet.now)) fleet.execute(this, effect)
    }

    fun resume() {
        paused = false
        while (pendingSteps.isNotEmpty() && !paused && alive) decide(pendingSteps.removeFirst())
    }

    /** Reports to the core that [other] is connected, unless this was already reported. */
    fun connected(other: Node) {
        if (connectedPeers.add(other.member)) decide { core, _ -> core.peerUp(other.member, other.address) }
    }

    /** Reports to the core that [other] cannot be reached. */
    fun disconnected(other: Node) {
        connectedPeers -= other.member
        decide { core, at -> core.peerDown(at, other.address) }
    }
}
