package io.camphordrum.core.serving

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Runs a fleet of serving cores in three data centres whose endpoints crash on some prompt parts.
 *
 * A crashed endpoint refuses connections, cuts all its runs off and starts anew under another id. Requests consist of a
 * first part that a third of them share, a session part, the bad part where they have one, and a part of their own.
 */
internal class PromptFleet(size: Int, endpoints: Int, seed: Int) {
    private class Node(var registered: RegisteredDaemon, var core: ServingCore) {
        var running = true
        val excused = ArrayList<LongRange>()
        val name get() = registered.member.instance.name
        val zone get() = registered.dataCentre.name
    }

    /** An endpoint; [down] while it does not run. */
    private class Engine(var record: EndpointRecord) {
        val runs = LinkedHashMap<Any, () -> Unit>()
        var down = false
    }

    private class Attempt(val node: Node, val core: ServingCore, val work: Work, var tried: Set<EndpointId>) {
        var hasTrial = false
        var runs = 0
        var mayReturn = true
    }

    /** A request with a bad part that reached an endpoint. */
    class Arrival(val nanos: Long, val part: String, val daemon: String)

    private class StoredBlocks : PromptBlockStore {
        val blocks = LinkedHashMap<String, PromptBlock>()
        var available = true

        override fun create(block: PromptBlock, onEnd: (Boolean) -> Unit) {
            if (available) blocks.putIfAbsent(block.id, block)
            onEnd(available)
        }
    }

    private val random = Random(seed)
    val clock = ManualClock()
    private val fixture = ServingFixture("none", clock)
    private val rights = FakeRightStore()
    private val store = StoredBlocks()
    private val events = PriorityQueue<Event>(compareBy({ it.nanos }, { it.number }))
    private var number = 0L
    private var starts = 0
    private val route = fixture.drafts.copy(repetition = Repetition.RESUMABLE, maxEndpoints = 2)
    private val config = fixture.config(routes = listOf(route))
    private val engines = (0 until endpoints).map { Engine(record(it)) }
    private val nodes = (0 until size).map { index ->
        val member = Member(InstanceId("edge-$index"), 1L + index)
        val registered = RegisteredDaemon(member, DataCentreId("zone-${index % ZONES}"), "10.0.0.$index:7600")
        Node(registered, core(registered))
    }

    private class Event(val nanos: Long, val number: Long, val action: () -> Unit)

    /** Requests of all callers a second. */
    var demandPerSecond = 60.0

    /** Share of the requests with each bad part. */
    var badShares = mapOf<String, Double>()

    /** Accounts that send requests with a bad part. */
    var badAccounts = listOf("a", "b", "c")

    /** Number of sessions, each with a part of its own. */
    var sessions = 60
    var connects: (String, String) -> Boolean = { _, _ -> true }

    /** When each crash by a bad part happened. */
    val crashes = ArrayList<Pair<Long, String>>()
    val arrivals = ArrayList<Arrival>()

    /** Sound requests that were refused because their prompt is blocked. */
    var soundBlocked = 0
        private set

    /** Sound requests, by whether their first attempt began. */
    var soundBegun = 0
        private set
    var soundFailed = 0
        private set

    /** Time that sound requests waited for a trial, in milliseconds. */
    val trialWaits = ArrayList<Long>()
    var badRefused = 0
        private set

    init {
        nodes.forEach(::introduce)
    }

    val now get() = clock.nanos
    val blocks get() = store.blocks.values.toList()

    /** Returns the number of daemons that block requests of [account] with a first part, a session part and [part]. */
    fun daemonsThatBlock(part: String, account: String = "account-a"): Int = nodes.count { node ->
        val parts = listOf("first-0", "session-0", part)
        val work = fixture.work("query", "x", route, account = account).copy(promptParts = parts)
        node.core.prompts.block(work) != null
    }

    /** Crashes the endpoint [index] for another reason. */
    fun crashEndpoint(index: Int, downMillis: Long = 3_000) = crash(engines[index % engines.size], downMillis)

    fun restartDaemon(index: Int, downMillis: Long) {
        val node = nodes[index % nodes.size]
        node.running = false
        node.excused += now..now + (downMillis + CONTACT_MILLIS) * MILLI
        at(downMillis) {
            node.registered = node.registered.copy(
                member = Member(node.registered.member.instance, node.registered.member.incarnation + 1_000),
            )
            node.core = core(node.registered)
            node.running = true
            nodes.forEach { it.core.replaceDaemons(nodes.map { other -> other.registered }) }
            introduce(node)
        }
    }

    fun restartAll(downMillis: Long) = nodes.indices.forEach { restartDaemon(it, downMillis) }

    fun cut(zone: Int, millis: Long) {
        val name = "zone-$zone"
        connects = { a, b -> (a == name) == (b == name) }
        nodes.filter { it.zone == name }.forEach { it.excused += now..now + (millis + CONTACT_MILLIS) * MILLI }
        at(millis) { connects = { _, _ -> true } }
    }

    fun stopStore(millis: Long) {
        store.available = false
        rights.available = false
        at(millis) {
            store.available = true
            rights.available = true
        }
    }

    /** Deletes all stored blocks, as an operator does. */
    fun lift() {
        val ids = store.blocks.keys.toList()
        store.blocks.clear()
        for (id in ids) nodes.forEach { it.core.prompts.lift(id) }
    }

    /** Makes the store come back from a copy without any block. */
    fun restoreStore() = store.blocks.clear()

    fun run(millis: Long) = repeat((millis / TICK_MILLIS).toInt()) {
        clock.advance(TICK_MILLIS)
        while (events.isNotEmpty() && events.peek().nanos <= now) events.poll().action()
        for (node in nodes) if (node.running) node.core.tick(now)
        if (clock.nanos / MILLI % STORE_MILLIS < TICK_MILLIS && store.available) {
            for (node in nodes) if (node.running) node.core.prompts.replaceStored(now, store.blocks.values)
        }
        var due = demandPerSecond * TICK_MILLIS / 1_000
        while (random.nextDouble() < due--) request()
    }

    /** Returns the requests with a bad part that broke the platform's rule BUDGET, by part. */
    fun overBudget(): Map<String, Int> = crashes.groupBy { it.second }.mapNotNull { (part, all) ->
        val fifth = all.map { it.first }.sorted().getOrNull(4) ?: return@mapNotNull null
        val late = arrivals.count { arrival ->
            arrival.part == part &&
                arrival.nanos > fifth + CONTACT_MILLIS * MILLI &&
                nodes.first { it.name == arrival.daemon }.excused.none { arrival.nanos in it }
        }
        if (late > BUDGET) part to late else null
    }.toMap()

    private fun request() {
        val node = nodes.filter { it.running }.randomOrNull(random) ?: return
        var draw = random.nextDouble()
        val bad = badShares.entries.firstOrNull { (_, share) ->
            draw -= share
            draw < 0
        }?.key
        val session = random.nextInt(sessions)
        val account = if (bad == null) "account-${session % 5}" else "account-${badAccounts.random(random)}"
        send(node, listOfNotNull("first-${session % 3}", "session-$session", bad), account, returns = true)
    }

    private fun send(node: Node, parts: List<String>, account: String, returns: Boolean) {
        val work = fixture.work("r${number++}", "x", route, tokens = 50, account = account).copy(promptParts = parts)
        val attempt = Attempt(node, node.core, work, emptySet())
        attempt.mayReturn = returns
        place(attempt)
    }

    private fun place(attempt: Attempt): Unit = whenRunning(attempt) {
        val core = attempt.core
        val work = attempt.work
        if (!attempt.hasTrial && core.prompts.block(work) == null && core.prompts.needsTrial(work)) {
            if (attempt.runs > 0) return@whenRunning end(attempt, begun = false)
            val waitedFrom = now
            core.prompts.awaitTrial(now, work) { granted ->
                if (bad(work) == null) trialWaits += (now - waitedFrom) / MILLI
                attempt.hasTrial = granted
                at(0) { if (granted) place(attempt) else end(attempt, begun = false) }
            }
            return@whenRunning
        }
        when (val placement = core.place(now, work, attempt.tried)) {
            is Placement.Send -> start(attempt, placement.endpoint)
            is Placement.AwaitAdapter -> end(attempt, begun = false)
            is Placement.Refuse -> {
                val blocked = placement.reason == RefuseReason.BLOCKED_PROMPT
                if (blocked && bad(work) == null) soundBlocked++
                if (blocked && bad(work) != null) badRefused++
                end(attempt, begun = false)
            }
        }
    }

    private fun start(attempt: Attempt, endpoint: EndpointId) {
        val core = attempt.core
        val work = attempt.work
        val sentNanos = now
        val engine = engines.firstOrNull { it.record.id == endpoint && !it.down }
        core.recordSend(now, work, endpoint)
        if (engine == null || !connects(attempt.node.zone, engine.record.dataCentre.name)) {
            core.recordRunEnd(now, work, endpoint, RunEnd.SILENT)
            attempt.tried += endpoint
            at(TICK_MILLIS) { if (attempt.tried.size < MAX_TRIED) place(attempt) else end(attempt, begun = false) }
            return
        }
        val part = bad(work)
        if (part != null) arrivals += Arrival(now, part, attempt.node.name)
        var begunNanos: Long? = null
        val run = Any()
        engine.runs[run] = {
            whenRunning(attempt) {
                core.prompts.recordLoss(now, work, endpoint, sentNanos, begunNanos)
                core.recordRunEnd(now, work, endpoint, RunEnd.SILENT)
                attempt.runs++
                attempt.hasTrial = false
                attempt.tried += endpoint
                val repeats = begunNanos == null && attempt.runs < route.maxEndpoints
                if (repeats) place(attempt) else end(attempt, begun = begunNanos != null)
            }
        }
        at(MIN_ANSWER_MILLIS + random.nextLong(ANSWER_SPREAD_MILLIS)) {
            if (run !in engine.runs) return@at
            if (part != null) {
                crashes += now to part
                crash(engine, CRASH_MILLIS + random.nextLong(400))
                return@at
            }
            begunNanos = now
            whenRunning(attempt) {
                core.recordFirstPart(now, work, endpoint, 100.0, (now - sentNanos) / 1e6)
                if (attempt.runs == 0) soundBegun++
            }
            at(UNDER_WAY_MILLIS) {
                if (run in engine.runs) whenRunning(attempt) { core.prompts.recordSoundAnswer(now, work, begunNanos!!) }
            }
            at(RUN_MILLIS) {
                if (engine.runs.remove(run) != null) whenRunning(attempt) { finish(attempt, endpoint) }
            }
        }
    }

    private fun finish(attempt: Attempt, endpoint: EndpointId) {
        attempt.core.recordRunEnd(now, attempt.work, endpoint, RunEnd.COMPLETE)
        attempt.core.prompts.releaseTrial(attempt.work)
    }

    private fun end(attempt: Attempt, begun: Boolean) {
        attempt.core.prompts.releaseTrial(attempt.work)
        if (begun) return
        if (bad(attempt.work) == null) soundFailed++
        if (!attempt.mayReturn) return
        val work = attempt.work
        at(200) {
            val node = nodes.filter { it.running }.randomOrNull(random) ?: return@at
            send(node, work.promptParts, requireNotNull(work.account), returns = false)
        }
    }

    private fun crash(engine: Engine, downMillis: Long) {
        if (engine.down) return
        engine.down = true
        val lost = engine.runs.values.toList()
        engine.runs.clear()
        at(1) { lost.forEach { it() } }
        at(downMillis) {
            val before = engine.record.id
            engine.record = record(engines.indexOf(engine))
            engine.down = false
            for (node in nodes) {
                node.core.removeEndpoint(before)
                node.core.putEndpoint(now, engine.record)
            }
        }
    }

    private fun bad(work: Work): String? = work.promptParts.firstOrNull { it in badShares }

    private fun whenRunning(attempt: Attempt, action: () -> Unit) {
        if (attempt.node.running && attempt.node.core === attempt.core) action()
    }

    private fun at(millis: Long, action: () -> Unit) {
        events += Event(now + millis * MILLI, number++, action)
    }

    private fun introduce(node: Node) {
        node.core.prompts.replaceStored(now, store.blocks.values)
        node.core.configure(now, config)
        node.core.replaceDaemons(nodes.map { it.registered })
        node.core.replaceEndpoints(now, engines.filter { !it.down }.map { it.record }, afterGap = false)
    }

    private fun record(index: Int): EndpointRecord =
        fixture.engineRecord("i-$index-${starts++}", "zone-${index % ZONES}", adapters = listOf("x"))
            .copy(address = "10.1.0.$index:80")

    private fun core(daemon: RegisteredDaemon): ServingCore {
        val orders = object : OrderPort {
            override fun order(order: EndpointOrder, onEnd: (OrderEnd) -> Unit) = onEnd(OrderEnd.UNKNOWN)

            override fun report(endpoint: EndpointId, address: String, onEnd: (EndpointReport?) -> Unit) = onEnd(null)
        }
        val ports = ServingPorts(
            rights,
            orders,
            { to, message -> deliver(daemon, to, message) },
            {},
            { _, _ -> },
            { address, onEnd -> at(2) { onEnd(probe(address)) } },
            store,
        )
        val options = ServingOptions(daemon.member, daemon.dataCentre, seed = random.nextLong(), repeatSlack = 1e6)
        return ServingCore(options, daemon.machine, clock, ports)
    }

    private fun probe(address: String): ProbeResult {
        val engine = engines.firstOrNull { it.record.address == address } ?: return ProbeResult.REFUSED
        return if (engine.down) ProbeResult.REFUSED else ProbeResult.ACCEPTED
    }

    private fun deliver(from: RegisteredDaemon, to: RegisteredDaemon, message: ServingMessage) {
        if (!connects(from.dataCentre.name, to.dataCentre.name)) return
        val node = nodes.first { it.name == to.member.instance.name }
        val core = node.core
        at(TICK_MILLIS) { if (node.running && node.core === core) core.receive(now, from.member, message) }
    }

    companion object {
        private const val ZONES = 3
        private const val MILLI = 1_000_000L
        private const val TICK_MILLIS = 10L
        private const val STORE_MILLIS = 500L
        private const val MIN_ANSWER_MILLIS = 60L
        private const val ANSWER_SPREAD_MILLIS = 300L
        private const val UNDER_WAY_MILLIS = 250L
        private const val RUN_MILLIS = 1_200L
        private const val CRASH_MILLIS = 3_000L
        private const val MAX_TRIED = 3
        private const val BUDGET = 3

        /** The platform's contact time. */
        const val CONTACT_MILLIS = 3_000L
    }
}
