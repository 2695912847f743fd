package io.camphordrum.bench

import io.camphordrum.core.AccountId
import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.BaseModelId
import io.camphordrum.core.Clock
import io.camphordrum.core.CoreEffect
import io.camphordrum.core.CoreOptions
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.DecisionCore
import io.camphordrum.core.DispatchEnd
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Generation
import io.camphordrum.core.GenerationMember
import io.camphordrum.core.InstanceId
import io.camphordrum.core.ListedEndpoint
import io.camphordrum.core.Member
import io.camphordrum.core.MemberState
import io.camphordrum.core.WriteOutcome
import io.camphordrum.core.config.Change
import io.camphordrum.core.config.ReadOutcome
import io.camphordrum.core.limits.AllotmentRecord
import io.camphordrum.core.limits.ShareAmount
import io.camphordrum.core.limits.ShareMessage
import io.camphordrum.core.membership.Acknowledgement
import io.camphordrum.core.membership.Heartbeat
import io.camphordrum.core.membership.MembershipRecord
import io.camphordrum.core.residency.LoadReport
import io.camphordrum.core.residency.OrderKind
import io.camphordrum.core.residency.OrderOutcome
import kotlinx.serialization.json.Json

/**
 * Drives one [DecisionCore] among [members] members; the others are simulated and acknowledge each heartbeat.
 *
 * @param endpoints engines in the instance list of its data centre.
 */
internal class CapacityCore(adapters: Int, val members: Int, endpoints: List<ListedEndpoint>) : Clock {
    var nowNanos = SECOND
    private val generation = capacityGeneration(members)
    private val peers = generation.members.associateBy { it.peerAddress }
    val core = DecisionCore(CoreOptions(SELF, DATA_CENTRE, REGION, "10.0.0.1:7000", seed = 1), this, Json)
    private val objects = HashMap<String, Pair<String, Long>>()
    private val residentByEndpoint = HashMap<EndpointId, HashSet<AdapterVersion>>()
    private var shareTransferred = false

    /** Receives each effect that the core emits, before its execution. */
    var onEffect: (CoreEffect) -> Unit = {}

    /** Measures the receipt of each heartbeat; null turns the measurement off. */
    var heartbeatMeter: CapacityMeter? = null

    init {
        execute(core.membershipRead(nowNanos, nowNanos, DATA_CENTRE, MembershipRecord(generation), 1))
        execute(core.endpointsListed(nowNanos, endpoints))
        execute(core.loadConfiguration(nowNanos))
        for ((i, edits) in capacityEdits(adapters).chunked(EDITS_PER_CHANGE).withIndex()) {
            val base = core.configuration?.revision ?: 0
            execute(core.submit(nowNanos, Change("setup-$i", base, "bench", 0, "capacity", edits)))
            advance(MILLI * 100)
            val revision = core.configuration?.revision ?: 0
            check(revision == base + 1) { "expected revision ${base + 1}, but was $revision" }
        }
        advance(15 * SECOND)
    }

    override fun nanos(): Long = nowNanos

    override fun epochMillis(): Long = nowNanos / MILLI

    /** Clears the simulated object store, which is not part of the state of a daemon. */
    fun clearObjectStore() = objects.clear()

    /** Advances the clock by [durationNanos] in steps of 10 ms, with a call of [tick] around each tick of the core. */
    fun advance(durationNanos: Long, tick: (() -> List<CoreEffect>) -> List<CoreEffect> = { it() }) {
        val endNanos = nowNanos + durationNanos
        while (nowNanos < endNanos) {
            nowNanos += 10 * MILLI
            if (nowNanos / (10 * MILLI) % 100 == 0L) deliverHeartbeats()
            execute(tick { core.tick(nowNanos) })
        }
    }

    private fun deliverHeartbeats() {
        val revision = core.configuration?.revision ?: 0
        for (peer in generation.members) {
            if (peer.member == SELF) continue
            val heartbeat = Heartbeat(generation.number, nowNanos / SECOND, revision, ADOPTED_BY_ALL)
            val receive = { core.receive(nowNanos, peer.member, heartbeat) }
            execute(heartbeatMeter?.measure(receive) ?: receive())
        }
    }

    /** Executes [effects] and, recursively, the effects that follow from them. */
    fun execute(effects: List<CoreEffect>) {
        for (effect in effects.toList()) {
            onEffect(effect)
            when (effect) {
                is CoreEffect.SendMembership -> acknowledge(effect)
                is CoreEffect.SendShare -> answerShare(effect)
                is CoreEffect.ReadMembership -> execute(
                    core.membershipRead(nowNanos, nowNanos, effect.dataCentre, MembershipRecord(generation), 1),
                )
                CoreEffect.ReadAllotments ->
                    execute(core.allotmentsRead(nowNanos, AllotmentRecord(listOf(DATA_CENTRE)), 1))
                is CoreEffect.ReadConfig -> execute(core.configRead(nowNanos, effect.request, readObject(effect.name)))
                is CoreEffect.WriteConfig -> execute(core.configWritten(nowNanos, effect.request, writeObject(effect)))
                is CoreEffect.ReadLoad ->
                    execute(core.loadReported(nowNanos, effect.endpoint, loadReport(effect.endpoint)))
                is CoreEffect.OrderEndpoint -> executeOrder(effect)
                is CoreEffect.Dispatch ->
                    execute(core.dispatchEnded(nowNanos, effect.request, effect.order.dispatch, COMPLETED))
                else -> Unit
            }
        }
    }

    private fun acknowledge(effect: CoreEffect.SendMembership) {
        val heartbeat = effect.message as? Heartbeat ?: return
        val peer = peers[effect.address]?.member ?: return
        val acknowledgement =
            Acknowledgement(heartbeat.generation, heartbeat.sequence, true, heartbeat.revision, ADOPTED_BY_ALL)
        execute(core.receive(nowNanos, peer, acknowledgement))
    }

    // Simulates the coordinator, daemon-1: it completes the reconciliation and transfers its share, both only once.
    private fun answerShare(effect: CoreEffect.SendShare) {
        val from = peers[effect.address]?.member ?: return
        val message = effect.message
        if (message is ShareMessage.Transfer) {
            execute(core.receive(nowNanos, from, ShareMessage.Receipt(message.generation, message.sequence)))
        }
        if (message !is ShareMessage.GenerationAck || shareTransferred) return
        shareTransferred = true
        execute(
            core.receive(
                nowNanos,
                from,
                ShareMessage.Reconciled(message.generation, 200_000, emptyList(), emptyList()),
            ),
        )
        val amounts = listOf(ShareAmount(ACCOUNT, 500_000, 1_000_000_000_000_000_000L), loadBudgetShare())
        execute(core.receive(nowNanos, from, ShareMessage.Transfer(message.generation, 1, amounts, 1_000)))
    }

    private fun loadBudgetShare() = ShareAmount(AccountId("loads/base-0"), 500_000, 1_000_000_000_000L)

    private fun readObject(name: String): ReadOutcome =
        objects[name]?.let { ReadOutcome.Found(it.first, it.second) } ?: ReadOutcome.Missing

    private fun writeObject(effect: CoreEffect.WriteConfig): WriteOutcome {
        val version = objects[effect.name]?.second ?: 0
        if (version != effect.ifVersion) return WriteOutcome.Conflict
        objects[effect.name] = effect.value to version + 1
        return WriteOutcome.Applied(version + 1)
    }

    private fun loadReport(id: EndpointId) =
        LoadReport(1, nowNanos, residentByEndpoint.getOrPut(id, ::HashSet).toSet(), 0, 0, SLOTS, emptySet())

    private fun executeOrder(effect: CoreEffect.OrderEndpoint) {
        val order = effect.order
        val residentVersions = residentByEndpoint.getOrPut(order.endpoint, ::HashSet)
        if (order.kind == OrderKind.LOAD) residentVersions += order.version else residentVersions -= order.version
        execute(core.orderEnded(nowNanos, order.endpoint, order.order, OrderOutcome.DONE))
    }

    companion object {
        const val MILLI = 1_000_000L
        const val SECOND = 1_000_000_000L
        const val SLOTS = 64
        private const val EDITS_PER_CHANGE = 1_000
        val COMPLETED = DispatchEnd.Completed(282, null, SECOND / 5)
        private val ADOPTED_BY_ALL = listOf(-1L, -1L)
        val SELF = Member(InstanceId("daemon-0"), 1_764_806_400_000)
        val DATA_CENTRE = DataCentreId("dc-1")
        val ACCOUNT = AccountId("account-0")

        /** Returns a generation of [members] live members; the core under measurement is daemon-0. */
        fun capacityGeneration(members: Int) = Generation(
            DATA_CENTRE,
            7,
            (0 until members).map {
                GenerationMember(
                    Member(InstanceId("daemon-$it"), SELF.incarnation),
                    "10.0.0.${it + 1}:7000",
                    MemberState.LIVE,
                )
            }.sortedBy { it.member.instance },
            Member(InstanceId("daemon-1"), SELF.incarnation),
        )

        /** Returns [total] engines, of which daemon-0 owns [owned]. */
        fun engines(members: Int, owned: Int, total: Int): List<ListedEndpoint> {
            val generation = capacityGeneration(members)
            val (ownedIds, otherIds) = (0..200_000).asSequence().take(200 + owned * members * 3 + total)
                .map { EndpointId("engine-$it") }.partition { generation.owner(it) == SELF }
            return (ownedIds.take(owned) + otherIds.take(total - owned)).mapIndexed { i, id ->
                ListedEndpoint(id, BaseModelId("base-0"), null, DATA_CENTRE, "10.1.0.$i:8000", false, true)
            }
        }
    }
}
