package io.camphordrum.core.fleet

import io.camphordrum.core.CoreEffect
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.WriteOutcome
import io.camphordrum.core.config.ReadOutcome
import io.camphordrum.core.limits.AllotmentRecord
import io.camphordrum.core.membership.MembershipRecord
import io.camphordrum.core.once.ClaimShard

/** Executes the store effects of the cores on a [FakeStore], with delays, outages and lost answers. */
class FleetStore(private val fleet: Fleet, private val store: FakeStore) {
    fun execute(node: Node, effect: CoreEffect.Store) {
        store.calls++
        when (effect) {
            is CoreEffect.ReadMembership -> readMembership(node, effect.dataCentre)
            is CoreEffect.WriteMembership ->
                write(node, "membership/${effect.dataCentre}", effect.record, effect.expectedVersion) { outcome ->
                    node.decide { core, at -> core.membershipWritten(at, outcome) }
                }
            CoreEffect.ReadAllotments -> readAllotments(node)
            is CoreEffect.WriteAllotments ->
                write(node, "allotments", effect.record, effect.expectedVersion) { outcome ->
                    node.decide { core, at -> core.allotmentsWritten(at, outcome) }
                }
            is CoreEffect.ReadClaims -> read(node, effect.id.objectName) { found ->
                node.decide { core, at ->
                    if (found == null) {
                        core.claimsReadFailed(at, effect.id)
                    } else {
                        core.claimsRead(at, effect.id, found.value as ClaimShard?, found.version)
                    }
                }
            }
            is CoreEffect.WriteClaims ->
                write(node, effect.id.objectName, effect.value, effect.expectedVersion) { outcome ->
                    node.decide { core, at -> core.claimsWritten(at, effect.id, outcome) }
                }
            is CoreEffect.ReadConfig -> read(node, effect.name) { found ->
                val outcome = when {
                    found == null -> ReadOutcome.Unavailable
                    found.value == null -> ReadOutcome.Missing
                    else -> ReadOutcome.Found(found.value as String, found.version)
                }
                node.decide { core, at -> core.configRead(at, effect.request, outcome) }
            }
            is CoreEffect.WriteConfig -> write(node, effect.name, effect.value, effect.ifVersion) { outcome ->
                node.decide { core, at -> core.configWritten(at, effect.request, outcome) }
            }
        }
    }

    fun readAllotments(node: Node) = read(node, "allotments") { found ->
        val stored = found ?: return@read
        val record = stored.value as AllotmentRecord?
        node.decide { core, at -> core.allotmentsRead(at, record, stored.version) }
    }

    fun readMembership(node: Node, dataCentre: DataCentreId) {
        val sentAt = fleet.now
        read(node, "membership/$dataCentre") { found ->
            node.decide { core, at ->
                when {
                    found != null -> {
                        val record = found.value as MembershipRecord?
                        core.membershipRead(at, sentAt, dataCentre, record, found.version)
                    }
                    dataCentre == node.dataCentre -> core.membershipReadFailed(at)
                    else -> emptyList()
                }
            }
        }
    }

    private class Read(val value: Any?, val version: Long)

    private fun read(node: Node, name: String, onResult: (Read?) -> Unit) {
        fleet.schedule(Fleet.MILLI) {
            if (unreachable(node)) {
                fleet.schedule(TIMEOUT_NANOS) { onResult(null) }
            } else {
                val stored = store.read(name)
                val read = Read(stored?.value, stored?.version ?: 0)
                fleet.schedule(Fleet.MILLI) { onResult(read) }
            }
        }
    }

    private fun write(node: Node, name: String, value: Any, expected: Long, onResult: (WriteOutcome) -> Unit) {
        fleet.schedule(Fleet.MILLI) {
            if (unreachable(node)) {
                fleet.schedule(TIMEOUT_NANOS) { onResult(WriteOutcome.Unknown) }
            } else {
                val version = store.write(name, value, expected)
                val lost = version != null && store.answersToLose-- > 0
                val outcome = when {
                    lost -> WriteOutcome.Unknown
                    version == null -> WriteOutcome.Conflict
                    else -> WriteOutcome.Applied(version)
                }
                fleet.schedule(if (lost) TIMEOUT_NANOS else Fleet.MILLI) { onResult(outcome) }
            }
        }
    }

    private fun unreachable(node: Node) = store.unavailable || node.isolatedFromStore

    private companion object {
        const val TIMEOUT_NANOS = 2_000 * Fleet.MILLI
    }
}
