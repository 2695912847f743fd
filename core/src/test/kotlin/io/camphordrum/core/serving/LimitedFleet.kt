package io.camphordrum.core.serving

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import kotlin.random.Random

/**
 * Runs a fleet of serving cores in three data centres whose callers use three endpoints, one in each data centre.
 *
 * Endpoints announce rate limits in their answers. The fleet records what each endpoint receives and which daemons had
 * passed on an announcement, and checks the platform's rule for announced limits with [violations].
 */
internal class LimitedFleet(private val size: Int, private val plain: Boolean, seed: Int) {
    private class Node(var registered: RegisteredDaemon, var core: ServingCore) {
        var state = State.RUNNING
        val excused = ArrayList<LongRange>()
        val name get() = registered.member.instance.name
    }

    private enum class State { RUNNING, FROZEN, DEAD }

    /** A request at the process [core] of [node]. */
    private data class Attempt(
        val node: Node,
        val core: ServingCore,
        val work: Work,
        val tried: Set<EndpointId> = emptySet(),
        val sends: Int = 0,
        val returns: Boolean = false,
    ) {
        fun without(endpoint: EndpointId) = copy(tried = tried + endpoint)
    }

    private class Delivery(val to: Node, val core: ServingCore, val from: Member, val message: ServingMessage)

    private val random = Random(seed)
    val clock = ManualClock()
    private val fixture = ServingFixture("none", clock)
    private val rights = FakeRightStore()
    private val queue = ArrayDeque<Delivery>()
    private val events = java.util.PriorityQueue<Pair<Long, () -> Unit>>(compareBy { it.first })
    val replicas: List<LimitedReplica> = (0 until DATA_CENTRES).map { zone ->
        val record = if (plain) {
            fixture.plainRecord("d-$zone", zoneName(zone)).copy(slots = 64)
        } else {
            fixture.engineRecord("i-$zone", zoneName(zone), adapters = listOf("x"))
        }
        LimitedReplica(record)
    }
    private val engines = replicas.associate {
        it.record.id to FakeEngine(clock).apply {
            held += "x"
        }
    }
    private val nodes = (0 until size).map {
        val member = Member(InstanceId("edge-$it"), 1L + it)
        val registered = RegisteredDaemon(member, DataCentreId(zoneName(it % DATA_CENTRES)), "10.0.0.$it:7600")
        Node(registered, core(registered))
    }
    private val config = fixture.config(
        routes = listOf(fixture.drafts.copy(repetition = Repetition.ALLOWED), fixture.records),
        deskColdPerSecond = 13.0,
    )
    private var requests = 0

    /** Whether messages and requests pass between two data centres. */
    var connects: (String, String) -> Boolean = { _, _ -> true }

    // Whether messages from one data centre to another are lost although requests pass.
    private var isMuted: (from: String, to: String) -> Boolean = { _, _ -> false }

    /** Part of the messages between daemons that are lost. */
    var lossRate = 0.0

    /** Requests of all callers a second. */
    var demandPerSecond = 0.0

    /** Number of requests that reached an endpoint. */
    var served = 0
        private set

    /** Whether refused callers return once, after the time that they were told. */
    var callersReturn = false

    /** Requests of callers that returned, and how many of them were refused again. */
    var returned = 0
        private set
    var refusedAgain = 0
        private set

    /** Retry times of the refused requests, in milliseconds. */
    val refusals = ArrayList<Long>()

    /** Time from the arrival of each request until it was sent or refused, in milliseconds. */
    val decisionMillis = ArrayList<Long>()

    init {
        nodes.forEach(::introduce)
    }

    val now get() = clock.nanos

    /** Makes [replica] announce [perSecond] from now on; null ends the announcements. */
    fun announce(replica: LimitedReplica, perSecond: Double?) {
        replica.limit = perSecond
        replica.limitedFromNanos = now
        replica.arrivals.clear()
        replica.toldNanos.clear()
    }

    /** Makes [replica] cold for [millis]; all daemons learn it at once from its registration. */
    fun chill(replica: LimitedReplica, millis: Long) {
        replica.coldNanos = now..now + millis * 1_000_000
        nodes.forEach { it.core.putEndpoint(now, registration(replica)) }
    }

    /** Kills a daemon, and starts it again after [downMillis]; null means never. */
    fun kill(name: String, downMillis: Long?) {
        val node = nodes.first { it.name == name }
        node.state = State.DEAD
        excuse(node, downMillis ?: NEVER_MILLIS)
        if (downMillis == null) {
            at(REMOVAL_MILLIS) { announceDaemons() }
            return
        }
        at(downMillis) {
            val member = Member(node.registered.member.instance, node.registered.member.incarnation + 1_000)
            node.registered = node.registered.copy(member = member)
            node.core = core(node.registered)
            node.state = State.RUNNING
            introduce(node)
            at(REMOVAL_MILLIS) { announceDaemons() }
        }
    }

    fun freeze(name: String, millis: Long) {
        val node = nodes.first { it.name == name }
        node.state = State.FROZEN
        excuse(node, millis)
        at(millis) { node.state = State.RUNNING }
    }

    /** Starts one of the faults at random, which may overlap with those before. */
    fun startRandomFault() {
        val name = nodes.random(random).name
        when (random.nextInt(5)) {
            0 -> if (isRunning(name)) kill(name, downMillis = 600L + random.nextInt(2_000))
            1 -> if (isRunning(name)) freeze(name, 300L + random.nextInt(4_000))
            2 -> cut(random.nextInt(DATA_CENTRES), 500L + random.nextInt(5_000))
            3 -> stopStore(1_000L + random.nextInt(6_000))
            else -> {
                lossRate = 0.3
                at(2_000) { lossRate = 0.0 }
            }
        }
    }

    private fun isRunning(name: String) = nodes.first { it.name == name }.state == State.RUNNING

    /** Separates the data centre [zone] from the others. */
    fun cut(zone: Int, millis: Long) {
        val name = zoneName(zone)
        connects = { a, b -> (a == name) == (b == name) }
        nodes.filter { it.registered.dataCentre.name == name }.forEach { excuse(it, millis) }
        at(millis) { connects = { _, _ -> true } }
    }

    /** Separates the data centres [one] and [other], which both still reach the third; no daemon is excused. */
    fun cutBetween(one: Int, other: Int, millis: Long) {
        val names = setOf(zoneName(one), zoneName(other))
        connects = { a, b -> a == b || setOf(a, b) != names }
        at(millis) { connects = { _, _ -> true } }
    }

    /** Loses all messages from daemons of [from] to those of [to], but not in the other direction. */
    fun muteOneWay(from: Int, to: Int, millis: Long) {
        isMuted = { sender, receiver -> sender == zoneName(from) && receiver == zoneName(to) }
        at(millis) { isMuted = { _, _ -> false } }
    }

    fun stopStore(millis: Long) {
        rights.available = false
        at(millis) { rights.available = true }
    }

    /** Names of the daemons of [zone]. */
    fun names(
        zone: Int,
    ): List<String> = nodes.filter { it.registered.dataCentre.name == zoneName(zone) }.map { it.name }

    fun run(millis: Long) = repeat((millis / TICK_MILLIS).toInt()) {
        clock.advance(TICK_MILLIS)
        while (events.isNotEmpty() && events.peek().first <= now) events.poll().second()
        repeat(queue.size) {
            val delivery = queue.removeFirst()
            val node = delivery.to
            // A frozen process receives its messages when it continues.
            if (node.state == State.FROZEN) queue += delivery
            if (node.state == State.RUNNING && node.core === delivery.core) {
                node.core.receive(now, delivery.from, delivery.message)
            }
        }
        for (node in nodes) if (node.state == State.RUNNING) node.core.tick(now)
        var due = demandPerSecond * TICK_MILLIS / 1_000
        while (random.nextDouble() < due--) request(nodes.filter { it.state == State.RUNNING }.random(random))
    }

    /**
     * Returns the windows in which an endpoint received more requests than its limit allows.
     *
     * Leaves out daemons that were killed, frozen or cut off within the contact time before.
     */
    fun violations(): List<String> = replicas.mapNotNull { replica ->
        replica.violation { arrival ->
            nodes.first { it.name == arrival.daemon }.excused.any { arrival.nanos in it }
        }
    }

    /** Returns the requests that [replica] received in the last [millis]. */
    fun arrivalsIn(replica: LimitedReplica, millis: Long): Int =
        replica.arrivals.count { now - it.nanos <= millis * 1_000_000 }

    private fun request(node: Node, returns: Boolean = false) {
        requests++
        if (returns) returned++
        val route = if (plain) fixture.records else fixture.drafts
        val work = fixture.work("r$requests", if (plain) null else "x", route, tokens = 50)
        node.core.recordRequest(now, work.service)
        place(Attempt(node, node.core, work, returns = returns))
    }

    private fun place(attempt: Attempt): Unit = whenRunning(attempt) {
        val core = attempt.core
        when (val placement = core.place(now, attempt.work, attempt.tried)) {
            is Placement.Send -> core.awaitTurn(now, attempt.work, placement.endpoint) { granted ->
                if (granted) send(attempt, placement) else at(0) { place(attempt.without(placement.endpoint)) }
            }
            is Placement.AwaitAdapter -> refuse(attempt, 0)
            is Placement.Refuse -> refuse(attempt, placement.retryMillis)
        }
    }

    private fun refuse(attempt: Attempt, retryMillis: Long) {
        refusals += retryMillis
        decisionMillis += (now - attempt.work.arrivedNanos) / 1_000_000
        if (attempt.returns) refusedAgain++
        if (!callersReturn || attempt.returns) return
        at(retryMillis) { request(nodes.filter { it.state == State.RUNNING }.random(random), returns = true) }
    }

    private fun send(attempt: Attempt, to: Placement.Send) {
        val core = attempt.core
        val work = attempt.work
        if (attempt.sends > 0 && !core.tryAcquireRetry(now, work.service)) return refuse(attempt, 0)
        if (attempt.sends == 0) decisionMillis += (now - work.arrivedNanos) / 1_000_000
        val sentNanos = now
        val replica = replicas.first { it.record.id == to.endpoint }
        core.recordSend(now, work, to.endpoint)
        if (!connects(attempt.node.registered.dataCentre.name, replica.record.dataCentre.name)) {
            at(SILENCE_MILLIS) { whenRunning(attempt) { core.recordRunEnd(now, work, to.endpoint, RunEnd.SILENT) } }
            return
        }
        at(TICK_MILLIS) {
            replica.arrivals += LimitedReplica.Arrival(now, attempt.node.name)
            val runs = !replica.turnsAway || random.nextInt(4) > 0
            at(if (runs) ANSWER_MILLIS else TICK_MILLIS) {
                val limit = replica.limit
                whenRunning(attempt) { answer(attempt, replica, sentNanos, limit, runs) }
            }
        }
    }

    private fun answer(attempt: Attempt, replica: LimitedReplica, sentNanos: Long, limit: Double?, runs: Boolean) {
        val core = attempt.core
        val work = attempt.work
        val id = replica.record.id
        core.recordAnnouncedLimit(now, id, sentNanos, limit)
        if (limit != null) replica.toldNanos.putIfAbsent(attempt.node.name, now)
        if (runs) {
            served++
            core.recordFirstPart(now, work, id, ANSWER_MILLIS.toDouble(), (now - sentNanos) / 1e6)
            at(RUN_MILLIS) { whenRunning(attempt) { core.recordRunEnd(now, work, id, RunEnd.COMPLETE) } }
        } else {
            core.recordRunEnd(now, work, id, RunEnd.TURNED_AWAY)
            place(attempt.copy(tried = attempt.tried + id, sends = attempt.sends + 1))
        }
    }

    // Runs [action] unless the process of the request has ended; a frozen process runs it when it continues.
    private fun whenRunning(attempt: Attempt, action: () -> Unit) {
        val node = attempt.node
        when {
            node.core !== attempt.core || node.state == State.DEAD -> Unit
            node.state == State.FROZEN -> at(TICK_MILLIS) { whenRunning(attempt, action) }
            else -> action()
        }
    }

    private fun excuse(node: Node, millis: Long) {
        node.excused += now..now + millis * 1_000_000 + LimitedReplica.CONTACT_NANOS
    }

    private fun at(millis: Long, action: () -> Unit) {
        events += (now + millis * 1_000_000) to action
    }

    private fun introduce(node: Node) {
        node.core.configure(now, config)
        node.core.replaceDaemons(nodes.filter { it.state != State.DEAD }.map { it.registered })
        node.core.replaceEndpoints(now, replicas.map(::registration), afterGap = false)
    }

    private fun registration(replica: LimitedReplica): EndpointRecord {
        val coldMillis = maxOf(0, replica.coldNanos.last - now) / 1_000_000
        return replica.record.copy(coldMillis = if (now in replica.coldNanos) coldMillis else 0)
    }

    private fun announceDaemons() {
        val registered = nodes.filter { it.state != State.DEAD }.map { it.registered }
        nodes.forEach { it.core.replaceDaemons(registered) }
    }

    private fun core(daemon: RegisteredDaemon): ServingCore {
        val orders = object : OrderPort {
            override fun order(order: EndpointOrder, onEnd: (OrderEnd) -> Unit) =
                engines.getValue(order.endpoint).order(order, onEnd)

            override fun report(endpoint: EndpointId, address: String, onEnd: (EndpointReport?) -> Unit) =
                engines.getValue(endpoint).report(endpoint, address, onEnd)
        }
        val ports = ServingPorts(rights, orders, { to, message -> deliver(daemon, to, message) }, {}, { _, _ -> })
        val options = ServingOptions(daemon.member, daemon.dataCentre, seed = random.nextLong())
        return ServingCore(options, daemon.machine, clock, ports)
    }

    private fun deliver(from: RegisteredDaemon, to: RegisteredDaemon, message: ServingMessage) {
        if (!connects(from.dataCentre.name, to.dataCentre.name) || random.nextDouble() < lossRate) return
        if (isMuted(from.dataCentre.name, to.dataCentre.name)) return
        val node = nodes.first { it.name == to.member.instance.name }
        queue += Delivery(node, node.core, from.member, message)
    }

    private fun zoneName(zone: Int) = "zone-$zone"

    private companion object {
        const val DATA_CENTRES = 3
        const val TICK_MILLIS = 10L
        const val ANSWER_MILLIS = 90L
        const val RUN_MILLIS = 200L
        const val SILENCE_MILLIS = 1_000L
        const val REMOVAL_MILLIS = 300L
        const val NEVER_MILLIS = 1_000_000L
    }
}
