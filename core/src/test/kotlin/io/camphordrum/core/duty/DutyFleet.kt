package io.camphordrum.core.duty

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import io.camphordrum.core.serving.EndpointRight
import io.camphordrum.core.serving.FakeEngine
import io.camphordrum.core.serving.FakeRightStore
import io.camphordrum.core.serving.ManualClock
import io.camphordrum.core.serving.RegisteredDaemon
import io.camphordrum.core.serving.RightStore
import io.camphordrum.core.serving.RightWriteResult
import io.camphordrum.core.serving.RunEnd
import io.camphordrum.core.serving.ServedAccount
import io.camphordrum.core.serving.ServingCore
import io.camphordrum.core.serving.ServingFixture
import io.camphordrum.core.serving.ServingMessage
import io.camphordrum.core.serving.ServingOptions
import io.camphordrum.core.serving.ServingPorts
import io.camphordrum.core.serving.StoredRight
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Stores the decisions in memory with the conditional writes of the platform. */
class FakeReportStore : ReportStore {
    var stored = StoredDutyRecord(DutyRecord(), null)
    var writes = 0

    /** Whether the next write takes effect although its answer is lost. */
    var losesNextAnswer = false

    override fun read(onEnd: (StoredDutyRecord?) -> Unit) = onEnd(stored)

    override fun write(record: DutyRecord, revision: Long?, onEnd: (RightWriteResult) -> Unit) {
        if (stored.revision != revision) return onEnd(RightWriteResult.Conflict)
        writes++
        stored = StoredDutyRecord(record, (revision ?: 0) + 1)
        if (losesNextAnswer) {
            losesNextAnswer = false
            return onEnd(RightWriteResult.Unknown)
        }
        onEnd(RightWriteResult.Stored(stored.revision!!))
    }
}

/** Accepts the calls of holders as the platform does and records them. */
class FakeDutyPlatform(private val clock: ManualClock) {
    data class Call(
        val nanos: Long,
        val daemon: String,
        val token: Long,
        val report: WindowReport?,
        val accepted: Boolean,
    )

    val calls = ArrayList<Call>()
    val orders = ArrayList<EndpointCountOrder>()

    /** How a call ends; unless it is REFUSED, it has taken effect. */
    var end: (Call) -> DutyCallEnd = { DutyCallEnd.ACCEPTED }

    val reports: Map<Long, WindowReport> get() =
        calls.filter { it.accepted }.mapNotNull { it.report }.associateBy { it.window }

    fun of(daemon: String, isReachable: () -> Boolean) = object : DutyPlatform {
        override fun reportUsage(
            report: WindowReport,
            token: Long,
            permitted: () -> Boolean,
            onEnd: (DutyCallEnd) -> Unit,
        ) = call(token, permitted, report, onEnd)

        override fun orderEndpoints(
            order: EndpointCountOrder,
            token: Long,
            permitted: () -> Boolean,
            onEnd: (DutyCallEnd) -> Unit,
        ) = call(token, permitted, null) { end ->
            if (end == DutyCallEnd.ACCEPTED) orders += order
            onEnd(end)
        }

        private fun call(
            token: Long,
            permitted: () -> Boolean,
            report: WindowReport?,
            onEnd: (DutyCallEnd) -> Unit,
        ) {
            if (!permitted() || !isReachable()) return onEnd(DutyCallEnd.REFUSED)
            val call = Call(clock.nanos, daemon, token, report, accepted = true)
            val end = end(call)
            calls += call.copy(accepted = end != DutyCallEnd.REFUSED)
            onEnd(end)
        }
    }

    /** Checks that no two holders contradict each other. */
    fun assertOneHolder(leaseMillis: Long) {
        for ((window, accepted) in calls.filter { it.accepted && it.report != null }.groupBy { it.report!!.window }) {
            assertEquals(1, accepted.map { it.report!!.began }.distinct().size, "different reports of window $window")
        }
        for ((token, sent) in calls.groupBy { it.token }) {
            assertEquals(1, sent.map { it.daemon }.distinct().size, "holders that send token $token")
        }
        assertEquals(calls.map { it.token }.sorted(), calls.map { it.token }, "tokens fall")
        for ((index, call) in calls.withIndex()) {
            val other = calls.take(index).lastOrNull { it.daemon != call.daemon } ?: continue
            val own = calls.lastOrNull { it.nanos < other.nanos && it.daemon == call.daemon } ?: continue
            assertTrue(call.nanos - own.nanos >= leaseMillis * 1_000_000, "${call.daemon} returns within the lease")
        }
    }
}

/** Runs daemons in three data centres with a simulated clock, store and platform; requests begin at random daemons. */
class DutyFleet(count: Int = 6, private val options: DutyOptions = OPTIONS) {
    val clock = ManualClock()
    val platform = FakeDutyPlatform(clock)
    val reports = FakeReportStore()
    val truth = HashMap<Long, HashMap<String, Long>>()
    private val fixture = ServingFixture("none", clock)
    private val rights = FakeRightStore()
    private val dutyRights = FakeRightStore()
    private val random = Random(11)
    private val queue = ArrayDeque<Triple<String, Member, ServingMessage>>()
    private val daemons = LinkedHashMap<String, RegisteredDaemon>()
    private val cores = HashMap<String, ServingCore>()
    private var requests = 0

    /** Daemons that do not run; messages to them are lost. */
    val stopped = HashSet<String>()

    /** Daemons that can reach neither the store nor the platform nor other daemons. */
    val cutOff = HashSet<String>()

    /** Whether the store answers. */
    var storeAvailable = true

    /** Number of requests that begin every 20 ms. */
    var requestsPerTick = 1

    val names: List<String> get() = daemons.keys.toList()
    val holder: String? get() = cores.entries.firstOrNull { it.key !in stopped && it.value.isDutyHolder }?.key

    init {
        for (index in 0 until count) {
            val name = "edge-$index"
            daemons[name] = RegisteredDaemon(
                Member(InstanceId(name), 1L + index),
                DataCentreId(DATA_CENTRES[index % DATA_CENTRES.size]),
                "10.0.0.$index:7600",
            )
        }
        daemons.values.forEach { cores[it.member.instance.name] = create(it) }
    }

    fun run(millis: Long) = repeat((millis / TICK_MILLIS).toInt()) {
        clock.advance(TICK_MILLIS)
        repeat(queue.size) {
            val (to, from, message) = queue.removeFirst()
            val name = from.instance.name
            val delivered = to !in stopped && name !in cutOff && to !in cutOff
            if (delivered) cores.getValue(to).receive(clock.nanos, from, message)
        }
        for ((name, core) in cores) if (name !in stopped) core.tick(clock.nanos)
        repeat(requestsPerTick) { begin() }
    }

    /** Starts the process of [name] again without anything that it knew. */
    fun restart(name: String) {
        val former = daemons.getValue(name)
        daemons[name] = former.copy(member = former.member.copy(incarnation = former.member.incarnation + 1_000))
        cores[name] = create(daemons.getValue(name))
        cores.values.forEach { it.replaceDaemons(daemons.values) }
        stopped -= name
    }

    /** Registers [count] endpoints in each data centre. */
    fun putEndpoints(count: Int) {
        for (core in cores.values) {
            for (dataCentre in DATA_CENTRES) {
                repeat(count) { core.putEndpoint(clock.nanos, fixture.engineRecord("$dataCentre-$it", dataCentre)) }
            }
        }
    }

    /** Returns the reports whose counts differ from the truth by more than [tolerance], or that are missing. */
    fun wrongWindows(windows: LongRange, tolerance: Double = 0.0): List<Long> = windows.filter { window ->
        val report = platform.reports[window] ?: return@filter true
        val accounts = truth[window].orEmpty()
        (accounts.keys + report.began.keys).any { account ->
            val expected = accounts[account] ?: 0
            kotlin.math.abs((report.began[account] ?: 0) - expected) > tolerance * expected
        }
    }

    val currentWindow: Long get() = clock.epochMillis() / options.windowMillis

    private fun begin() {
        val name = names.filter { it !in stopped }.random(random)
        val account = ACCOUNTS.random(random)
        val work = fixture.work("r-${requests++}", account = account)
        val core = cores.getValue(name)
        core.charge(clock.nanos, work)
        core.recordSend(clock.nanos, work, ENDPOINT)
        core.recordFirstPart(work, ENDPOINT, 10.0, 10.0)
        core.recordRunEnd(clock.nanos, work, ENDPOINT, RunEnd.COMPLETE)
        truth.getOrPut(currentWindow) { HashMap() }.merge(account, 1, Long::plus)
    }

    private fun create(daemon: RegisteredDaemon): ServingCore {
        val name = daemon.member.instance.name
        val isReachable = { storeAvailable && name !in cutOff }
        val ports = ServingPorts(
            rights,
            FakeEngine(clock),
            { to, message -> queue.addLast(Triple(to.member.instance.name, daemon.member, message)) },
            {},
            { _, _ -> },
            duties = DutyPorts(
                ReachableRights(dutyRights, isReachable),
                object : ReportStore {
                    override fun read(onEnd: (StoredDutyRecord?) -> Unit) =
                        if (isReachable()) reports.read(onEnd) else onEnd(null)

                    override fun write(record: DutyRecord, revision: Long?, onEnd: (RightWriteResult) -> Unit) =
                        if (isReachable()) reports.write(record, revision, onEnd) else onEnd(RightWriteResult.Unknown)
                },
                platform.of(name) { name !in cutOff },
            ),
        )
        val serving = ServingOptions(daemon.member, daemon.dataCentre, seed = 7, duties = options)
        return ServingCore(serving, daemon.machine, clock, ports).also { core ->
            core.configure(clock.nanos, fixture.config(accounts = ACCOUNTS.map(::account)))
            core.replaceDaemons(daemons.values)
            core.replaceEndpoints(clock.nanos, listOf(fixture.engineRecord(ENDPOINT.name)), afterGap = false)
        }
    }

    private class ReachableRights(private val store: FakeRightStore, private val isReachable: () -> Boolean) :
        RightStore {
        override fun list(onEnd: (Map<String, StoredRight>?) -> Unit) =
            if (isReachable()) store.list(onEnd) else onEnd(null)

        override fun put(endpoint: String, right: EndpointRight, revision: Long?, onEnd: (RightWriteResult) -> Unit) =
            if (isReachable()) store.put(endpoint, right, revision, onEnd) else onEnd(RightWriteResult.Unknown)
    }

    companion object {
        val OPTIONS = DutyOptions(usage = true, scaling = false, windowMillis = 5_000, lateMillis = 10_000)
        const val LEASE_MILLIS = 3_000L
        private const val TICK_MILLIS = 20L
        private val DATA_CENTRES = listOf("a", "b", "c")
        private val ACCOUNTS = listOf("inspectors", "archive", "crews")
        private val ENDPOINT = EndpointId("i-1")

        private fun account(name: String) = ServedAccount(name, setOf(name), null, 1e9, 1e9, 200)
    }
}
