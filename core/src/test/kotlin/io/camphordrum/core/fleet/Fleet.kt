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
import io.camphordrum.core.Work
import io.camphordrum.core.config.Change
import io.camphordrum.core.config.Edit
import io.camphordrum.core.config.KeyHasher
import io.camphordrum.core.config.SubmitOutcome
import io.camphordrum.core.once.RecordedAnswer
import io.camphordrum.core.residency.OrderOutcome
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Connects a few decision cores with fakes at their interfaces, on a manual clock.
 *
 * Every delay and loss comes from [seed], so that a run is repeated exactly.
 */
class Fleet(val seed: Long) {
    private class Event(val at: Long, val order: Long, val action: () -> Unit)

    /** What the caller of one request saw. */
    class Caller(val request: CallerRequest, val node: String, val arrived: Long) {
        val dispatches = ArrayList<DispatchOrder>()
        val answers = ArrayList<CoreEffect.Caller>()
        var dispatchedAt = 0L
        var answeredAt = 0L
    }

    val clock = ManualClock(START)
    val now: Long get() = clock.nanos()
    val store = FakeStore()
    val storePort = FleetStore(this, store)
    val endpoints = LinkedHashMap<EndpointId, FakeEndpoint>()
    val nodes = LinkedHashMap<String, Node>()
    val callers = LinkedHashMap<Long, Caller>()
    val submitted = HashMap<String, SubmitOutcome>()
    val cuts = HashSet<Set<String>>()
    var loss = 0.0
    var duplicates = 0.0
    var runNanos = 20 * MILLI
    var silentEnd: (DispatchOrder) -> Boolean = { false }
    private val agenda = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private val random = Random(seed)
    private val hasher = KeyHasher("secret-secret")
    private var sequence = 0L
    private var incarnation = 100L
    private var nextRequest = 0L

    fun nextIncarnation() = ++incarnation

    fun after(nanos: Long, action: () -> Unit) {
        agenda += Event(now + nanos, ++sequence, action)
    }

    /** Lets [nanos] pass. */
    fun run(nanos: Long) {
        val end = now + nanos
        while (agenda.isNotEmpty() && agenda.peek().at <= end) {
            val event = agenda.poll()
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

    fun daemon(name: String, dataCentre: String): Node {
        val node = Node(this, name, DataCentreId(dataCentre), "10.0.0.${nodes.size + 1}:1", clock)
        nodes[name] = node
        start(node)
        return node
    }

    /** Starts a new process in the place of [name]. */
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
        poll(node)
    }

    private fun tick(node: Node) {
        if (!node.alive) return
        node.decide { core, at -> core.tick(at) }
        after(10 * MILLI) { tick(node) }
    }

    // Stands for the daemon's watches and its reads of the instance list.
    private fun poll(node: Node) {
        if (!node.alive) return
        if (!store.out && !node.storeCut) {
            node.decide { core, at -> core.listed(at, endpoints.values.map { it.listed }) }
            node.decide { core, at -> core.loadConfiguration(at) }
            storePort.readAllotments(node)
            for (id in nodes.values.map { it.dataCentre }.toSet()) storePort.readMembership(node, id)
        }
        after(250 * MILLI) { poll(node) }
    }

    fun engine(id: String, dataCentre: String, slots: Int = 4, fencing: Boolean = true) =
        endpoint(id, dataCentre, BaseModelId("base-1"), null, slots, fencing)

    fun service(id: String, dataCentre: String) = endpoint(id, dataCentre, null, "orders", 0, true)

    private fun endpoint(
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
    fun change(node: Node, id: String, edits: List<Edit>) {
        node.decide { core, at ->
            core.submit(at, Change(id, core.configuration?.revision ?: 0, "operator", 0, "test", edits))
        }
    }

    fun keyHash(key: String): String = hasher.hash(key).hex

    /** Sends a completion for [model]; returns the caller's view. */
    fun complete(node: Node, model: String, key: String?, tokens: Long = 10, deadlineMillis: Long? = null): Caller =
        send(node, Work.Completion(model, 0, tokens), key, null, deadlineMillis)

    /** Places an order, which must run at most once for each [idempotencyKey]. */
    fun order(node: Node, key: String?, idempotencyKey: String?): Caller =
        send(node, Work.Call("POST", "/orders/1"), key, idempotencyKey, null)

    private fun send(node: Node, work: Work, key: String?, idempotencyKey: String?, deadlineMillis: Long?): Caller {
        val hash = key?.let(::keyHash)
        val request =
            CallerRequest(++nextRequest, hash, work, now, deadlineMillis, idempotencyKey, work.hashCode().toLong())
        val caller = Caller(request, node.name, now)
        callers[request.id] = caller
        node.decide { core, at -> core.arrive(at, request) }
        return caller
    }

    /** Carries out what a core wants. */
    fun execute(node: Node, effect: CoreEffect) {
        when (effect) {
            is CoreEffect.Send -> deliver(node, effect)
            is CoreEffect.Store -> storePort.execute(node, effect)
            is CoreEffect.Dispatch -> dispatch(node, effect.order)
            is CoreEffect.Refuse, is CoreEffect.Answer -> answered(effect as CoreEffect.Caller)
            is CoreEffect.CancelDispatch -> cancel(node, callers.getValue(effect.request).dispatches.last())
            is CoreEffect.OrderEndpoint -> order(node, effect)
            is CoreEffect.ReadLoad -> {
                val report = endpoints.getValue(effect.endpoint).report(now)
                after(MILLI) { node.decide { core, at -> core.loadReported(at, effect.endpoint, report) } }
            }
            is CoreEffect.ChangeSubmitted -> submitted[effect.id] = effect.outcome
            is CoreEffect.Left -> node.left = true
            else -> Unit
        }
    }

    private fun answered(effect: CoreEffect.Caller) {
        val caller = callers.getValue(effect.request)
        caller.answers += effect
        caller.answeredAt = now
    }

    private fun deliver(from: Node, effect: CoreEffect.Send) {
        val to = nodes.values.firstOrNull { it.address == effect.address }
        if (to == null) return
        if (!to.alive || cut(from, to)) {
            after(MILLI) { from.disconnected(to) }
            return
        }
        if (random.nextDouble() < loss) return
        val copies = if (random.nextDouble() < duplicates) 2 else 1
        repeat(copies) {
            after(300_000L + random.nextLong(MILLI)) {
                to.connected(from)
                from.connected(to)
                to.decide { core, at -> received(core, at, from, effect) }
            }
        }
    }

    private fun received(core: DecisionCore, at: Long, from: Node, effect: CoreEffect.Send) = when (effect) {
        is CoreEffect.SendMembership -> core.receive(at, from.member, effect.message)
        is CoreEffect.SendShare -> core.receive(at, from.member, effect.message)
        is CoreEffect.SendTicket -> core.receive(at, from.member, effect.message)
        is CoreEffect.SendConfig -> core.receive(at, from.member, effect.message)
        is CoreEffect.SendResidency -> core.receive(at, from.member, effect.message)
    }

    private fun cut(a: Node, b: Node) = setOf(a.name, b.name) in cuts

    private fun dispatch(node: Node, order: DispatchOrder) {
        val caller = callers.getValue(order.request)
        caller.dispatches += order
        caller.dispatchedAt = now
        val endpoint = endpoints.getValue(order.endpoint)
        after(MILLI / 2) {
            val begun = !endpoint.down && endpoint.begin(now, order)
            if (!begun) {
                end(node, order, DispatchEnd.NotRun("not taken"))
            } else if (!silentEnd(order)) {
                after(runNanos) { finish(node, order, endpoint) }
            }
        }
    }

    // Engines stop working on a request whose connection closes.
    private fun cancel(node: Node, order: DispatchOrder) = after(MILLI) {
        endpoints.getValue(order.endpoint).end(order.dispatch)
        end(node, order, DispatchEnd.Cancelled(0))
    }

    /** Ends the process of [node] at once. */
    fun kill(node: Node) {
        node.alive = false
        for (caller in callers.values) {
            if (caller.node == node.name && caller.answers.isEmpty()) caller.dispatches.forEach { cancel(node, it) }
        }
    }

    private fun finish(node: Node, order: DispatchOrder, endpoint: FakeEndpoint) {
        val whole = endpoint.end(order.dispatch)
        val answer = RecordedAnswer.of(200, "text/plain", "${order.dispatch} ${order.version}".toByteArray())
        val used = order.maxTokens ?: 1
        val end = if (whole) DispatchEnd.Completed(used, answer, MILLI) else DispatchEnd.Failed("restarted", 0, false)
        end(node, order, end)
    }

    private fun end(node: Node, order: DispatchOrder, end: DispatchEnd) =
        node.decide { core, at -> core.ended(at, order.request, order.dispatch, end) }

    private fun order(node: Node, effect: CoreEffect.OrderEndpoint) {
        val order = effect.order
        if (!node.core.mayOrder(now, order)) {
            return node.decide { core, at -> core.ordered(at, order.endpoint, order.order, OrderOutcome.NOT_SENT) }
        }
        after(LOAD_NANOS) {
            val outcome = when (endpoints.getValue(order.endpoint).order(order)) {
                200 -> OrderOutcome.DONE
                409 -> OrderOutcome.FENCED
                else -> OrderOutcome.FAILED
            }
            node.decide { core, at -> core.ordered(at, order.endpoint, order.order, outcome) }
        }
    }

    companion object {
        const val MILLI = 1_000_000L
        const val SECOND = 1_000 * MILLI
        private const val START = 1_000 * SECOND
        private const val LOAD_NANOS = 250 * MILLI

        fun version(name: String, number: Int) = AdapterVersion(name, number)
    }
}
