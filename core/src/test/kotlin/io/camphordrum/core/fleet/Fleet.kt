package io.camphordrum.core.fleet

import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.BaseModelId
import io.camphordrum.core.CallerRequest
import io.camphordrum.core.CoreEffect
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.DecisionCore
import io.camphordrum.core.DispatchEnd
import io.camphordrum.core.DispatchOrder
import io.camphordrum.core.EndpointId
import io.camphordrum.core.ListedEndpoint
import io.camphordrum.core.ManualClock
import io.camphordrum.core.Operation
import io.camphordrum.core.config.Change
import io.camphordrum.core.config.Edit
import io.camphordrum.core.config.KeyHasher
import io.camphordrum.core.config.SubmitOutcome
import io.camphordrum.core.once.RecordedAnswer
import io.camphordrum.core.residency.OrderOutcome
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Connects several decision cores to fakes at their interfaces, driven by a manual clock.
 *
 * All delays and losses are derived from [seed], so that a run can be repeated exactly.
 */
class Fleet(val seed: Long) {
    private class Event(val at: Long, val order: Long, val action: () -> Unit)

    /** Records what the caller of one request observed. */
    class Caller(val request: CallerRequest, val node: String, val arrivedAt: Long) {
        val dispatches = ArrayList<DispatchOrder>()
        val answers = ArrayList<CoreEffect.Caller>()
        var dispatchedAt = 0L
        var answeredAt = 0L
    }

    val clock = ManualClock(START_NANOS)
    val now: Long get() = clock.nanos()
    val store = FakeStore()
    val storePort = FleetStore(this, store)
    val endpoints = LinkedHashMap<EndpointId, FakeEndpoint>()
    val nodes = LinkedHashMap<String, Node>()
    val callers = LinkedHashMap<Long, Caller>()
    val submitted = HashMap<String, SubmitOutcome>()
    val cutConnections = HashSet<Set<String>>()
    var loss = 0.0
    var duplicates = 0.0
    var requestDurationNanos = 20 * MILLI
    var isSilent: (DispatchOrder) -> Boolean = { false }
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private val random = Random(seed)
    private val hasher = KeyHasher("secret-secret")
    private var sequence = 0L
    private var incarnation = 100L
    private var nextRequest = 0L

    fun nextIncarnation() = ++incarnation

    fun schedule(nanos: Long, action: () -> Unit) {
        events += Event(now + nanos, ++sequence, action)
    }

    /** Runs all events of the next [nanos] nanoseconds. */
    fun run(nanos: Long) {
        val end = now + nanos
        while (events.isNotEmpty() && events.peek().at <= end) {
            val event = events.poll()
            clock.advance(event.at - now)
            event.action()
        }
        clock.advance(end - now)
    }

    /** Runs until [done] is true or [limitNanos] have passed; returns whether it became true. */
    fun runUntil(limitNanos: Long, done: () -> Boolean): Boolean {
        val end = now + limitNanos
        while (!done() && now < end) run(10 * MILLI)
        return done()
    }

    fun startDaemon(name: String, dataCentre: String): Node {
        val node = Node(this, name, DataCentreId(dataCentre), "10.0.0.${nodes.size + 1}:1", clock)
        nodes[name] = node
        start(node)
        return node
    }

    /** Replaces the process of [name] by a new one. */
    fun restart(name: String): Node {
        val old = nodes.getValue(name)
        old.alive = false
        val node = Node(this, name, old.dataCentre, old.address, clock)
        nodes[name] = node
        start(node)
        return node
    }

    private fun start(node: Node) {
        node.decide { core, at -> core.loadConfiguration(at) }
        tick(node)
        pollPlatform(node)
    }

    private fun tick(node: Node) {
        if (!node.alive) return
        node.decide { core, at -> core.tick(at) }
        schedule(10 * MILLI) { tick(node) }
    }

    // Simulates the daemon's watches and its reads of the instance list.
    private fun pollPlatform(node: Node) {
        if (!node.alive) return
        if (!store.unavailable && !node.isolatedFromStore) {
            node.decide { core, at -> core.endpointsListed(at, endpoints.values.map { it.listed }) }
            node.decide { core, at -> core.loadConfiguration(at) }
            storePort.readAllotments(node)
            for (id in nodes.values.map { it.dataCentre }.toSet()) storePort.readMembership(node, id)
        }
        schedule(250 * MILLI) { pollPlatform(node) }
    }

    fun addEngine(id: String, dataCentre: String, slots: Int = 4, fencing: Boolean = true) =
        addEndpoint(id, dataCentre, BaseModelId("base-1"), null, slots, fencing)

    fun addService(id: String, dataCentre: String) = addEndpoint(id, dataCentre, null, "orders", 0, true)

    private fun addEndpoint(
        id: String,
        dataCentre: String,
        base: BaseModelId?,
        pool: String?,
        slots: Int,
        fencing: Boolean,
    ): FakeEndpoint {
        val key = EndpointId(id)
        val listed = ListedEndpoint(key, base, pool, DataCentreId(dataCentre), "ep-$id:1", false, fencing)
        return FakeEndpoint(listed, slots).also { endpoints[key] = it }
    }

    /** Submits [edits] through [node]. */
    fun submitChange(node: Node, id: String, edits: List<Edit>) {
        node.decide { core, at ->
            core.submit(at, Change(id, core.configuration?.revision ?: 0, "operator", 0, "test", edits))
        }
    }

    fun keyHash(key: String): String = hasher.hash(key).hex

    /** Sends a completion for [model] and returns the record of its caller. */
    fun sendCompletion(
        node: Node,
        model: String,
        key: String?,
        tokens: Long = 10,
        deadlineMillis: Long? = null,
    ): Caller = send(node, Operation.Completion(model, 0, tokens), key, null, deadlineMillis)

    /** Sends an order, which must run at most once for each [idempotencyKey]. */
    fun sendOrder(node: Node, key: String?, idempotencyKey: String?): Caller =
        send(node, Operation.Call("POST", "/orders/1"), key, idempotencyKey, null)

    private fun send(
        node: Node,
        operation: Operation,
        key: String?,
        idempotencyKey: String?,
        deadlineMillis: Long?,
    ): Caller {
        val hash = key?.let(::keyHash)
        val request = CallerRequest(
            ++nextRequest,
            hash,
            operation,
            now,
            deadlineMillis,
            idempotencyKey,
            operation.hashCode().toLong(),
        )
        val caller = Caller(request, node.name, now)
        callers[request.id] = caller
        node.decide { core, at -> core.requestReceived(at, request) }
        return caller
    }

    /** Executes an effect of a core. */
    fun execute(node: Node, effect: CoreEffect) {
        when (effect) {
            is CoreEffect.Send -> deliver(node, effect)
            is CoreEffect.Store -> storePort.execute(node, effect)
            is CoreEffect.Dispatch -> dispatch(node, effect.order)
            is CoreEffect.Refuse, is CoreEffect.Answer -> recordAnswer(effect as CoreEffect.Caller)
            is CoreEffect.CancelDispatch -> cancel(node, callers.getValue(effect.request).dispatches.last())
            is CoreEffect.OrderEndpoint -> executeOrder(node, effect)
            is CoreEffect.ReadLoad -> {
                val report = endpoints.getValue(effect.endpoint).report(now)
                schedule(MILLI) { node.decide { core, at -> core.loadReported(at, effect.endpoint, report) } }
            }
            is CoreEffect.ChangeSubmitted -> submitted[effect.id] = effect.outcome
            is CoreEffect.Left -> node.left = true
            else -> Unit
        }
    }

    private fun recordAnswer(effect: CoreEffect.Caller) {
        val caller = callers.getValue(effect.request)
        caller.answers += effect
        caller.answeredAt = now
    }

    private fun deliver(from: Node, effect: CoreEffect.Send) {
        val to = nodes.values.firstOrNull { it.address == effect.address }
        if (to == null) return
        if (!to.alive || isCut(from, to)) {
            schedule(MILLI) { from.disconnected(to) }
            return
        }
        if (random.nextDouble() < loss) return
        val copies = if (random.nextDouble() < duplicates) 2 else 1
        repeat(copies) {
            schedule(300_000L + random.nextLong(MILLI)) {
                to.connected(from)
                from.connected(to)
                to.decide { core, at -> deliverTo(core, at, from, effect) }
            }
        }
    }

    private fun deliverTo(core: DecisionCore, at: Long, from: Node, effect: CoreEffect.Send) = when (effect) {
        is CoreEffect.SendMembership -> core.receive(at, from.member, effect.message)
        is CoreEffect.SendShare -> core.receive(at, from.member, effect.message)
        is CoreEffect.SendTicket -> core.receive(at, from.member, effect.message)
        is CoreEffect.SendConfig -> core.receive(at, from.member, effect.message)
        is CoreEffect.SendResidency -> core.receive(at, from.member, effect.message)
    }

    private fun isCut(a: Node, b: Node) = setOf(a.name, b.name) in cutConnections

    private fun dispatch(node: Node, order: DispatchOrder) {
        val caller = callers.getValue(order.request)
        caller.dispatches += order
        caller.dispatchedAt = now
        val endpoint = endpoints.getValue(order.endpoint)
        schedule(MILLI / 2) {
            val started = !endpoint.down && endpoint.startRun(now, order)
            if (!started) {
                reportEnd(node, order, DispatchEnd.NotRun("not accepted"))
            } else if (!isSilent(order)) {
                schedule(requestDurationNanos) { finish(node, order, endpoint) }
            }
        }
    }

    // Engines abort a request whose connection is closed.
    private fun cancel(node: Node, order: DispatchOrder) = schedule(MILLI) {
        endpoints.getValue(order.endpoint).endRun(order.dispatch)
        reportEnd(node, order, DispatchEnd.Cancelled(0))
    }

    /** Terminates the process of [node] abruptly. */
    fun kill(node: Node) {
        node.alive = false
        for (caller in callers.values) {
            if (caller.node == node.name && caller.answers.isEmpty()) caller.dispatches.forEach { cancel(node, it) }
        }
    }

    private fun finish(node: Node, order: DispatchOrder, endpoint: FakeEndpoint) {
        val completed = endpoint.endRun(order.dispatch)
        val answer = RecordedAnswer.of(200, "text/plain", "${order.dispatch} ${order.version}".toByteArray())
        val tokens = order.maxTokens ?: 1
        val end =
            if (completed) DispatchEnd.Completed(tokens, answer, MILLI) else DispatchEnd.Failed("restarted", 0, false)
        reportEnd(node, order, end)
    }

    private fun reportEnd(node: Node, order: DispatchOrder, end: DispatchEnd) =
        node.decide { core, at -> core.dispatchEnded(at, order.request, order.dispatch, end) }

    private fun executeOrder(node: Node, effect: CoreEffect.OrderEndpoint) {
        val order = effect.order
        if (!node.core.maySendOrder(now, order)) {
            return node.decide { core, at -> core.orderEnded(at, order.endpoint, order.order, OrderOutcome.NOT_SENT) }
        }
        schedule(LOAD_NANOS) {
            val outcome = when (endpoints.getValue(order.endpoint).execute(order)) {
                200 -> OrderOutcome.DONE
                409 -> OrderOutcome.FENCED
                else -> OrderOutcome.FAILED
            }
            node.decide { core, at -> core.orderEnded(at, order.endpoint, order.order, outcome) }
        }
    }

    companion object {
        const val MILLI = 1_000_000L
        const val SECOND = 1_000 * MILLI
        private const val START_NANOS = 1_000 * SECOND
        private const val LOAD_NANOS = 250 * MILLI

        fun version(name: String, number: Int) = AdapterVersion(name, number)
    }
}
