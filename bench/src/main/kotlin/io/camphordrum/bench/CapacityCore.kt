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
 * Drives one [DecisionCore] among [members] members; the others are stand-ins that acknowledge every heartbeat.
 *
 * @param endpoints engines listed in the own data centre.
 */
internal class CapacityCore(adapters: Int, val members: Int, endpoints: List<ListedEndpoint>) : Clock {
    var now = SECOND
    private val generation = capacityGeneration(members)
    private val peers = generation.members.associateBy { it.peerAddress }
    val core = DecisionCore(CoreOptions(SELF, CENTRE, REGION, "10.0.0.1:7000", seed = 1), this, Json)
    private val objects = HashMap<String, Pair<String, Long>>()
    private val resident = HashMap<EndpointId, HashSet<AdapterVersion>>()
    private var transferred = false

    /** Takes every effect that the core emits. */
    var observe: (CoreEffect) -> Unit = {}

    /** Measures the receipt of one heartbeat when it is set. */
    var heartbeatMeter: CapacityMeter? = null

    init {
        execute(core.membershipRead(now, now, CENTRE, MembershipRecord(generation), 1))
        execute(core.endpointsListed(now, endpoints))
        execute(core.loadConfiguration(now))
        for ((at, edits) in capacityEdits(adapters).chunked(EDITS).withIndex()) {
            val base = core.configuration?.revision ?: 0
            execute(core.submit(now, Change("setup-$at", base, "bench", 0, "capacity", edits)))
            run(MILLI * 100)
            val revision = core.configuration?.revision ?: 0
            check(revision == base + 1) { "expected revision ${base + 1}, but was $revision" }
        }
        run(15 * SECOND)
    }

    override fun nanos(): Long = now

    override fun epochMillis(): Long = now / MILLI

    /** Releases the stand-in of the object store, which is no state of the daemon. */
    fun forgetStore() = objects.clear()

    fun run(nanos: Long, tick: (() -> List<CoreEffect>) -> List<CoreEffect> = { it() }) {
        val end = now + nanos
        while (now < end) {
            now += 10 * MILLI
            if (now / (10 * MILLI) % 100 == 0L) heartbeats()
            execute(tick { core.tick(now) })
        }
    }

    private fun heartbeats() {
        val revision = core.configuration?.revision ?: 0
        for (peer in generation.members) {
            if (peer.member == SELF) continue
            val beat = Heartbeat(generation.number, now / SECOND, revision, ALL)
            val receive = { core.receive(now, peer.member, beat) }
            execute(heartbeatMeter?.measure(receive) ?: receive())
        }
    }

    fun execute(effects: List<CoreEffect>) {
        for (effect in effects.toList()) {
            observe(effect)
            when (effect) {
                is CoreEffect.SendMembership -> acknowledge(effect)
                is CoreEffect.SendShare -> share(effect)
                is CoreEffect.ReadMembership -> execute(
                    core.membershipRead(now, now, effect.dataCentre, MembershipRecord(generation), 1),
                )
                CoreEffect.ReadAllotments -> execute(core.allotmentsRead(now, AllotmentRecord(listOf(CENTRE)), 1))
                is CoreEffect.ReadConfig -> execute(core.configRead(now, effect.request, read(effect.name)))
                is CoreEffect.WriteConfig -> execute(core.configWritten(now, effect.request, write(effect)))
                is CoreEffect.ReadLoad -> execute(core.loadReported(now, effect.endpoint, report(effect.endpoint)))
                is CoreEffect.OrderEndpoint -> order(effect)
                is CoreEffect.Dispatch ->
                    execute(core.dispatchEnded(now, effect.request, effect.order.dispatch, COMPLETED))
                else -> Unit
            }
        }
    }

    private fun acknowledge(effect: CoreEffect.SendMembership) {
        val beat = effect.message as? Heartbeat ?: return
        val peer = peers[effect.address]?.member ?: return
        val answer = Acknowledgement(beat.generation, beat.sequence, true, beat.revision, ALL)
        execute(core.receive(now, peer, answer))
    }

    // The first stand-in is the coordinator: it ends the settlement and hands over a share once.
    private fun share(effect: CoreEffect.SendShare) {
        val from = peers[effect.address]?.member ?: return
        val message = effect.message
        if (message is ShareMessage.Transfer) {
            execute(core.receive(now, from, ShareMessage.Receipt(message.generation, message.sequence)))
        }
        if (message !is ShareMessage.GenerationAck || transferred) return
        transferred = true
        execute(core.receive(now, from, ShareMessage.Reconciled(message.generation, 200_000, emptyList(), emptyList())))
        val amounts = listOf(ShareAmount(ACCOUNT, 500_000, 1_000_000_000_000_000_000L), loadShare())
        execute(core.receive(now, from, ShareMessage.Transfer(message.generation, 1, amounts, 1_000)))
    }

    private fun loadShare() = ShareAmount(AccountId("loads/base-0"), 500_000, 1_000_000_000_000L)

    private fun read(name: String): ReadOutcome =
        objects[name]?.let { ReadOutcome.Found(it.first, it.second) } ?: ReadOutcome.Missing

    private fun write(effect: CoreEffect.WriteConfig): WriteOutcome {
        val version = objects[effect.name]?.second ?: 0
        if (version != effect.ifVersion) return WriteOutcome.Conflict
        objects[effect.name] = effect.value to version + 1
        return WriteOutcome.Applied(version + 1)
    }

    private fun report(id: EndpointId) =
        LoadReport(1, now, resident.getOrPut(id, ::HashSet).toSet(), 0, 0, SLOTS, emptySet())

    private fun order(effect: CoreEffect.OrderEndpoint) {
        val order = effect.order
        val held = resident.getOrPut(order.endpoint, ::HashSet)
        if (order.kind == OrderKind.LOAD) held += order.version else held -= order.version
        execute(core.orderEnded(now, order.endpoint, order.order, OrderOutcome.DONE))
    }

    companion object {
        const val MILLI = 1_000_000L
        const val SECOND = 1_000_000_000L
        const val SLOTS = 64
        private const val EDITS = 1_000
        val COMPLETED = DispatchEnd.Completed(282, null, SECOND / 5)
        private val ALL = listOf(-1L, -1L)
        val SELF = Member(InstanceId("daemon-0"), 1_764_806_400_000)
        val CENTRE = DataCentreId("dc-1")
        val ACCOUNT = AccountId("account-0")

        fun capacityGeneration(members: Int) = Generation(
            CENTRE,
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

        /** Returns [owned] engines that daemon-0 owns, and others up to [total]. */
        fun engines(members: Int, owned: Int, total: Int): List<ListedEndpoint> {
            val generation = capacityGeneration(members)
            val (mine, others) = (0..200_000).asSequence().take(200 + owned * members * 3 + total)
                .map { EndpointId("engine-$it") }.partition { generation.owner(it) == SELF }
            return (mine.take(owned) + others.take(total - owned)).mapIndexed { i, id ->
                ListedEndpoint(id, BaseModelId("base-0"), null, CENTRE, "10.1.0.$i:8000", false, true)
            }
        }
    }
}
