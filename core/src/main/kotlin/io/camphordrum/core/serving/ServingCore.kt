package io.camphordrum.core.serving

import io.camphordrum.core.Clock
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Member
import io.camphordrum.core.Rendezvous
import kotlin.random.Random

/** Connects the decisions with the outside; results arrive on the thread of the decisions. */
public class ServingPorts(
    public val rights: RightStore,
    public val orders: OrderPort,
    public val send: (daemon: RegisteredDaemon, message: ServingMessage) -> Unit,
    public val reconnect: (daemon: RegisteredDaemon) -> Unit,
    public val note: (event: String, fields: Map<String, Any?>) -> Unit,
)

/** Tells how a run at an endpoint ended. */
public enum class RunEnd {
    /** The answer was passed on whole. */
    COMPLETE,

    /** The endpoint turned the request away without running it. */
    TURNED_AWAY,

    /** The endpoint failed the request, or its answer broke off. */
    FAILED,

    /** The endpoint could not be reached or went silent. */
    SILENT,

    /** The caller left, or time ran out on our side. */
    CANCELLED,
}

/**
 * Decides where requests go, which are refused, what accounts may use and which adapters endpoints hold.
 *
 * All functions run on one thread. `now` is monotonic time in nanoseconds.
 *
 * ```kotlin
 * when (val placement = core.place(now, work, tried)) {
 *     is Placement.Send -> send(work, placement)
 *     is Placement.AwaitAdapter -> core.await(now, work, placement.endpoint) { loaded -> placeAgain(loaded) }
 *     is Placement.Refuse -> refuse(work, placement)
 * }
 * ```
 */
public class ServingCore(
    private val options: ServingOptions,
    machine: String,
    clock: Clock,
    private val ports: ServingPorts,
) {
    private val random = Random(options.seed)
    private val startedNanos = clock.nanos()
    private val peers = PeerTable(options.self, startedNanos)
    private val book = EndpointBook(options, peers)
    private val placer = Placer(options.dataCentre, book)
    private val rights = OrderRights(options, machine, clock, ports.rights)
    private val meter = AccountMeter(options.self, startedNanos, options.limitSlackTokens)
    private val budgets = HashMap<String, RepeatBudget>()
    private val keepers = HashMap<EndpointId, AdapterKeeper>()
    private val turns = HashMap<EndpointId, TurnQueue>()
    private val turnWaits = HashMap<String, TurnWait>()
    private val waits = LoadWaits()
    private var noticeNumber = 0L
    private var nearNoticeNanos = Long.MIN_VALUE / 2
    private var farNoticeNanos = Long.MIN_VALUE / 2

    /** The configuration in force; null until one was read. */
    public var config: ServingConfig? = null
        private set

    /** Number of endpoints known. */
    public val endpointCount: Int get() = book.all.size

    /** Number of endpoints whose orders this daemon gives. */
    public val ownedCount: Int get() = keepers.size

    /** Puts [next] in force unless a newer version is. */
    public fun configure(now: Long, next: ServingConfig): Boolean {
        val before = config
        if (before != null && before.version >= next.version) return false
        config = next
        meter.configure(now, next.accounts)
        return true
    }

    /** Takes over all registered endpoints; [afterGap] says that the store was away before. */
    public fun endpoints(now: Long, records: Collection<EndpointRecord>, afterGap: Boolean) {
        book.replace(now, records, afterGap).forEach(::gone)
    }

    /** Takes over one registration. */
    public fun endpoint(now: Long, record: EndpointRecord): Unit = book.put(now, record)

    /** Notes that a registration vanished while the store was away; the endpoint is gone unless it returns soon. */
    public fun endpointMissing(now: Long, id: EndpointId): Unit = book.missing(now, id)

    /** Forgets an endpoint whose registration was removed. */
    public fun endpointGone(id: EndpointId) {
        book.remove(id)
        gone(id)
    }

    /** Sends nothing more to the endpoints of [dataCentres], until another set is given. */
    public fun close(dataCentres: Set<DataCentreId>): Unit = book.close(dataCentres)

    /** Notes the newest versions of adapters by base model and adapter. */
    public fun announce(versions: Map<Pair<String, String>, Int>): Unit = book.announce(versions)

    /** Takes over the daemons that have registered themselves. */
    public fun daemons(daemons: Collection<RegisteredDaemon>): Unit = peers.registered(daemons)

    /** Charges [work] to its account; returns 0, or the milliseconds after which it may come back. */
    public fun charge(now: Long, work: Work): Long =
        work.account?.let { meter.charge(now, it, work.chargedTokens) } ?: 0

    /** Gives back the charge of [work], which has not run. */
    public fun refund(work: Work) {
        work.account?.let { meter.refund(it, work.chargedTokens) }
    }

    /** Chooses one of a route's services by weight. */
    public fun service(route: ServingRoute): String {
        val total = route.services.sumOf { it.weight }
        if (route.services.size == 1 || total <= 0) return route.services.first().service
        var left = random.nextInt(total)
        for (target in route.services) {
            left -= target.weight
            if (left < 0) return target.service
        }
        return route.services.last().service
    }

    /** Notes that a request for [service] came in. */
    public fun asked(now: Long, service: String): Unit = budget(service).asked(now)

    /** Takes one second send for [service] out of the budget; false when none is left. */
    public fun mayRepeat(now: Long, service: String): Boolean = budget(service).take(now, peers.known)

    /** Says what to do with [work]; [tried] endpoints get it no more, [noLoad] ones need not bring its adapter. */
    public fun place(
        now: Long,
        work: Work,
        tried: Set<EndpointId> = emptySet(),
        noLoad: Set<EndpointId> = emptySet(),
    ): Placement {
        val service = config?.services?.get(work.service)
            ?: return Placement.Refuse(RefuseReason.NO_ENDPOINT, retryMillis(NO_ENDPOINT_MILLIS))
        val choice = placer.choose(now, work, service, tried, noLoad)
            ?: return refuseWithoutChoice(now, work, tried, noLoad)
        val spentMillis = (now - work.arrivedNanos) / 1e6
        val leftMillis = (work.deadlineNanos - now) / 1e6
        val bound = minOf(work.route.targetMillis * PATIENCE_TARGETS - spentMillis, leftMillis * LEFT_PART)
        if (choice.millis > maxOf(bound, LEAST_MILLIS)) {
            return Placement.Refuse(RefuseReason.BUSY, retryMillis((choice.millis - bound).toLong().coerceIn(300, 3_000)))
        }
        if (choice.load) return Placement.AwaitAdapter(choice.state.id, choice.millis)
        return Placement.Send(
            choice.state.id,
            choice.state.record.address,
            book.announced(work.base, work.adapter),
            choice.millis,
        )
    }

    /** Asks for the adapter of [work] at [endpoint]; [onEnd] tells whether it is there. Call the result to stop waiting. */
    public fun await(now: Long, work: Work, endpoint: EndpointId, onEnd: (Boolean) -> Unit): () -> Unit {
        val state = book.get(endpoint)
        val adapter = work.adapter
        val base = work.base
        if (state == null || adapter == null || base == null) {
            onEnd(false)
            return {}
        }
        val wait = minOf(LOAD_WAIT_MILLIS, (work.deadlineNanos - now) / OrderRights.NANOS_PER_MILLI)
        val first = waits.add(endpoint.name, adapter, now + wait * OrderRights.NANOS_PER_MILLI, onEnd)
        if (first) {
            val version = book.announced(base, adapter)
            val ask = ServingMessage.LoadAsk(endpoint.name, base, adapter, version, wait)
            val keeper = keepers[endpoint]
            state.ownerQueue++
            if (keeper != null) keeper.ask(now, options.self.instance.name, ask) else askOwner(state, ask)
            if (keeper != null) step(now, state, keeper)
        }
        return { waits.cancel(endpoint.name, adapter, onEnd) }
    }

    /**
     * Asks for the turn of [work] at [endpoint]; [onEnd] tells whether it has come. Call the result to stop waiting.
     *
     * Without an owner that can be reached, the request goes at once: nobody else can pace the endpoint then.
     */
    public fun turn(now: Long, work: Work, endpoint: EndpointId, onEnd: (Boolean) -> Unit): () -> Unit {
        val state = book.get(endpoint)
        if (state == null || engine(state) == null || !book.ownerReachable(now, state)) {
            onEnd(true)
            return {}
        }
        // After its turn the prompt is still to be read.
        val readingMillis = work.promptTokens / TurnQueue.ENGINE_TOKENS_PER_MILLI
        val turnMillis = work.route.targetMillis * PATIENCE_TARGETS - readingMillis
        val targetNanos = (turnMillis * OrderRights.NANOS_PER_MILLI).toLong()
        val untilNanos = minOf(work.arrivedNanos + targetNanos, work.deadlineNanos)
        val waitMillis = maxOf(1, (untilNanos - now) / OrderRights.NANOS_PER_MILLI)
        turnWaits[work.id] = TurnWait(endpoint, now + (waitMillis + TURN_ANSWER_MILLIS) * OrderRights.NANOS_PER_MILLI, onEnd)
        state.askedTurns[work.id] = work.promptTokens
        val ask = ServingMessage.TurnAsk(endpoint.name, work.id, work.promptTokens, work.priority, waitMillis)
        if (endpoint in keepers) {
            askTurn(now, options.self.instance.name, ask)
        } else {
            peers.others.firstOrNull { it.member.instance.name == state.owner }?.let { ports.send(it, ask) }
        }
        return { if (turnWaits.remove(work.id) != null) dropTurn(state, work.id) }
    }

    /** Whether [endpoint] may still get [work] and holds what it asks for. */
    public fun stillServes(now: Long, work: Work, endpoint: EndpointId): Boolean {
        val state = book.get(endpoint) ?: return false
        if (!book.mayServe(state) || state.dark(now)) return false
        return work.base == null || state.holds(work.base, work.adapter, book.announced(work.base, work.adapter))
    }

    /** Notes that [work] was sent to [endpoint]. */
    public fun sent(now: Long, work: Work, endpoint: EndpointId) {
        val state = book.get(endpoint) ?: return
        state.waiting[work.id] = work
        state.sent(now)
    }

    /** Notes that the answer of [work] began [actualMillis] after it was sent. */
    public fun firstPart(work: Work, endpoint: EndpointId, expectedMillis: Double, actualMillis: Double) {
        val state = book.get(endpoint) ?: return
        val waiting = state.waiting.remove(work.id) ?: return
        state.running[work.id] = waiting
        state.firstPart(expectedMillis, actualMillis)
    }

    /** Notes how the run of [work] at [endpoint] ended. */
    public fun ended(now: Long, work: Work, endpoint: EndpointId, end: RunEnd) {
        val state = book.get(endpoint) ?: return
        state.waiting.remove(work.id)
        state.running.remove(work.id)
        when (end) {
            RunEnd.COMPLETE -> state.succeeded(now)
            RunEnd.FAILED -> state.failed(now)
            RunEnd.SILENT -> state.silent(now)
            RunEnd.TURNED_AWAY, RunEnd.CANCELLED -> Unit
        }
    }

    /** Notes that [endpoint] said that it does not hold the adapter of [work]. */
    public fun notHeld(work: Work, endpoint: EndpointId) {
        val state = book.get(endpoint) ?: return
        val adapter = work.adapter ?: return
        state.held[work.base]?.remove(adapter)
    }

    /** Takes a message of the daemon [from]. */
    public fun heard(now: Long, from: Member, message: ServingMessage) {
        when (message) {
            is ServingNotice -> noticed(now, message)
            is ServingMessage.LoadAsk -> {
                val id = EndpointId(message.endpoint)
                val keeper = keepers[id]
                if (keeper == null) {
                    answer(from.instance.name, ServingMessage.LoadEnd(message.endpoint, message.adapter, message.version, "not_owner"))
                } else {
                    keeper.ask(now, from.instance.name, message)
                    book.get(id)?.let { step(now, it, keeper) }
                }
            }
            is ServingMessage.LoadEnd -> loadEnded(message)
            is ServingMessage.TurnAsk -> askTurn(now, from.instance.name, message)
            is ServingMessage.TurnEnd -> turnEnded(message)
            is ServingMessage.TurnDrop -> turns[EndpointId(message.endpoint)]?.drop(message.id)
        }
    }

    /** Does what is due: notices, rights, orders and waits that are over. */
    public fun tick(now: Long) {
        book.expire(now).forEach(::gone)
        waits.expire(now)
        own(now)
        for (wait in turnWaits.filterValues { now >= it.untilNanos }.keys.toList()) endTurn(wait, granted = false)
        for (id in turns.keys.toList()) giveTurns(now, id)
        for ((id, keeper) in keepers.entries.toList()) book.get(id)?.let { step(now, it, keeper) }
        notices(now)
    }

    /** Gives up all rights before the process ends. */
    public fun leave() {
        rights.release()
        keepers.clear()
        turns.clear()
    }

    private fun gone(id: EndpointId) {
        // The right stays: the record may be back, and a token must never fall.
        keepers.remove(id)
        ports.note("endpoint_gone", mapOf("endpoint" to id.name))
    }

    private fun refuseWithoutChoice(now: Long, work: Work, tried: Set<EndpointId>, noLoad: Set<EndpointId>): Placement {
        val any = book.usable(now, work.service, tried).isNotEmpty()
        val reason = if (any && (noLoad.isNotEmpty() || work.adapter != null)) RefuseReason.NO_PLACE else RefuseReason.NO_ENDPOINT
        return Placement.Refuse(reason, retryMillis(if (any) NO_PLACE_MILLIS else NO_ENDPOINT_MILLIS))
    }

    // Spread, so that callers refused together don't return together.
    private fun retryMillis(millis: Long): Long = millis + random.nextLong(millis / 2 + 1)

    private fun budget(service: String): RepeatBudget = budgets.getOrPut(service) {
        RepeatBudget(options.repeatWindowMillis * OrderRights.NANOS_PER_MILLI, options.repeatRatio, options.repeatSlack)
    }

    private fun askTurn(now: Long, asker: String, ask: ServingMessage.TurnAsk) {
        val id = EndpointId(ask.endpoint)
        val queue = if (id in keepers) turns.getOrPut(id) { TurnQueue() } else null
        val untilNanos = now + ask.waitMillis * OrderRights.NANOS_PER_MILLI
        val asked = TurnQueue.Asked(asker, ask.id, ask.tokens, ask.priority, now, untilNanos)
        if (queue == null || !queue.add(now, asked)) {
            answerTurn(asker, ServingMessage.TurnEnd(ask.endpoint, ask.id, false, queue?.waitingTokens ?: 0))
        } else {
            giveTurns(now, id)
        }
    }

    private fun giveTurns(now: Long, id: EndpointId) {
        val queue = turns[id] ?: return
        val state = book.get(id)
        if (state == null || id !in keepers) {
            turns.remove(id)
            return
        }
        val slots = engine(state)?.batchSlots ?: return
        val room = slots - state.runningEverywhere(now) - state.waitingEverywhere(now)
        val (granted, late) = queue.take(now, room, state.slowness)
        state.turnTokens = queue.waitingTokens
        for (asked in granted) {
            state.granted(now, asked.id, asked.tokens)
            answerTurn(asked.asker, ServingMessage.TurnEnd(id.name, asked.id, true, queue.waitingTokens))
        }
        for (asked in late) answerTurn(asked.asker, ServingMessage.TurnEnd(id.name, asked.id, false, queue.waitingTokens))
    }

    private fun answerTurn(daemon: String, end: ServingMessage.TurnEnd) {
        if (daemon == options.self.instance.name) {
            turnEnded(end)
        } else {
            peers.others.firstOrNull { it.member.instance.name == daemon }?.let { ports.send(it, end) }
        }
    }

    private fun turnEnded(end: ServingMessage.TurnEnd) {
        book.get(EndpointId(end.endpoint))?.turnTokens = end.waitingTokens
        if (turnWaits[end.id]?.endpoint?.name == end.endpoint) endTurn(end.id, end.granted)
    }

    private fun endTurn(id: String, granted: Boolean) {
        val wait = turnWaits.remove(id) ?: return
        book.get(wait.endpoint)?.askedTurns?.remove(id)
        wait.onEnd(granted)
    }

    private fun dropTurn(state: EndpointState, id: String) {
        state.askedTurns.remove(id)
        if (state.id in keepers) {
            turns[state.id]?.drop(id)
        } else {
            val owner = peers.others.firstOrNull { it.member.instance.name == state.owner } ?: return
            ports.send(owner, ServingMessage.TurnDrop(state.id.name, id))
        }
    }

    private fun askOwner(state: EndpointState, ask: ServingMessage.LoadAsk) {
        val owner = peers.others.firstOrNull { it.member.instance.name == state.owner }
        if (owner == null) {
            loadEnded(ServingMessage.LoadEnd(ask.endpoint, ask.adapter, ask.version, "no_owner"))
        } else {
            ports.send(owner, ask)
        }
    }

    private fun answer(daemon: String, end: ServingMessage.LoadEnd) {
        if (daemon == options.self.instance.name) {
            loadEnded(end)
        } else {
            peers.others.firstOrNull { it.member.instance.name == daemon }?.let { ports.send(it, end) }
        }
    }

    private fun loadEnded(end: ServingMessage.LoadEnd) {
        val state = book.get(EndpointId(end.endpoint))
        if (state != null) {
            state.ownerQueue = maxOf(0, state.ownerQueue - 1)
            if (end.reason == null) state.held.values.singleOrNull()?.set(end.adapter, end.version ?: 0)
        }
        waits.end(end.endpoint, end.adapter, end.reason == null)
    }

    private fun noticed(now: Long, notice: ServingNotice) {
        val from = notice.sender
        if (peers.heard(now, notice)) meter.heard(now, from, notice.number, notice.charged)
        for (relay in notice.relayed) {
            val heardNanos = now - relay.ageMillis * OrderRights.NANOS_PER_MILLI
            if (peers.learn(heardNanos, relay.member, relay.number, relay.charged)) {
                meter.heard(now, relay.member, relay.number, relay.charged)
            }
        }
        book.heard(now, from, notice)
        for (id in keepers.keys) {
            // Own knowledge goes before what a former owner still says.
            book.get(id)?.owner = options.self.instance.name
        }
    }

    private fun own(now: Long) {
        val engines = book.all.filter { engine(it) != null && it.missingSinceNanos == null }
        if (engines.isEmpty()) return
        if (rights.older(now, if (rights.held.isEmpty()) IDLE_READ_NANOS else READ_NANOS)) rights.refresh(now)
        rights.settle(now)
        val settled = now - startedNanos > SETTLE_NANOS
        val live = peers.liveDaemons(now)
        for (state in engines) {
            val near = live.filter { it.dataCentre == state.record.dataCentre }.ifEmpty { live }
            val preferred = Rendezvous.first(state.id.name, near) { it.member.instance.name }
            val mine = settled && preferred?.member?.instance == options.self.instance && !state.dark(now)
            rights.claim(now, state.id, mine) { machine -> holds(now, machine) }
        }
        for (id in rights.held) if (id !in keepers) book.get(id)?.let { keepers[id] = keeper(it) }
        keepers.keys.retainAll(rights.held)
    }

    // All daemons of another data centre fall silent when it is cut off, and go on with their endpoints.
    private fun holds(now: Long, machine: String): Boolean {
        val daemon = peers.others.firstOrNull { machineOf(it) == machine } ?: return false
        val patience = if (daemon.dataCentre == options.dataCentre) NEAR_SILENCE_NANOS else FAR_SILENCE_NANOS
        return peers.silence(now, daemon.member.instance.name) < patience
    }

    private fun keeper(state: EndpointState): AdapterKeeper {
        ports.note("right_taken", mapOf("endpoint" to state.id.name, "token" to rights.token(state.id)))
        state.owner = options.self.instance.name
        lateinit var keeper: AdapterKeeper
        keeper = AdapterKeeper(
            state,
            rights,
            ports.orders,
            { base, adapter -> book.announced(base, adapter) },
            ::answer,
            ports.note,
        ) { if (keepers[state.id] === keeper) step(rights.now(), state, keeper) }
        return keeper
    }

    private class TurnWait(val endpoint: EndpointId, val untilNanos: Long, val onEnd: (Boolean) -> Unit)

    private fun engine(state: EndpointState): EngineLimits? = config?.services?.get(state.record.service)?.engine

    private fun step(now: Long, state: EndpointState, keeper: AdapterKeeper) {
        val engine = engine(state) ?: return
        if (!book.mayServe(state)) return
        keeper.step(now, engine)
        if (keeper.informed) book.owned(now, state, options.self.instance.name, holdings(state.id, keeper))
    }

    private fun holdings(id: EndpointId, keeper: AdapterKeeper): OwnedEndpoint =
        keeper.holdings().copy(waitingTokens = turns[id]?.waitingTokens ?: 0)

    private fun notices(now: Long) {
        val near = now - nearNoticeNanos >= NEAR_NOTICE_NANOS
        val far = now - farNoticeNanos >= FAR_NOTICE_NANOS
        if (!near) return
        nearNoticeNanos = now
        if (far) farNoticeNanos = now
        noticeNumber++
        val targets = peers.others.filter { far || it.dataCentre == options.dataCentre }
        meter.share(now, peers.reachable(now), peers.known)
        meter.open(now, FAR_NOTICE_NANOS / OrderRights.NANOS_PER_MILLI)
        if (targets.isEmpty()) return
        val charged = HashMap(meter.charged)
        val load = loads()
        val owned = keepers.filterValues { it.informed }.map { (id, keeper) -> holdings(id, keeper) }
        val heard = peers.heardAges(now)
        for (daemon in targets) {
            val name = daemon.member.instance.name
            if (peers.unheardBy(now, name)) ports.reconnect(daemon)
            val notice = ServingNotice(options.self, noticeNumber, charged, load, owned, heard, peers.relays(now, name))
            ports.send(daemon, notice)
        }
    }

    private fun loads(): List<EndpointLoad> = book.all.filter { it.running.isNotEmpty() || it.waiting.isNotEmpty() }.map {
        val adapters = LinkedHashSet<String>()
        for (work in it.running.values) work.adapter?.let(adapters::add)
        for (work in it.waiting.values) work.adapter?.let(adapters::add)
        val tokens = it.waiting.values.sumOf { work -> work.promptTokens }
        EndpointLoad(it.id.name, it.running.size, it.waiting.size, tokens, adapters.toList())
    }

    public companion object {
        /** Returns what names the machine of a daemon in a stored right. */
        public fun machineOf(daemon: RegisteredDaemon): String =
            "${daemon.member.instance.name}@${daemon.peerAddress.substringBeforeLast(':')}"

        // A request waits for the first part of its answer up to this many of its targets; one that is late takes an
        // engine's time from others that would be in time.
        private const val PATIENCE_TARGETS = 1.0
        private const val LEFT_PART = 0.8
        private const val LEAST_MILLIS = 150.0

        private const val NO_ENDPOINT_MILLIS = 600L
        private const val NO_PLACE_MILLIS = 250L
        private const val LOAD_WAIT_MILLIS = 800L

        // The way to the owner and back, also between data centres, with a few ticks.
        private const val TURN_ANSWER_MILLIS = 100L

        // Others that start at the same time need this long to be heard.
        private const val SETTLE_NANOS = 3_000_000_000L

        // Three notices of a daemon nearby; longer than the cuts on the sheets for one far away.
        private const val NEAR_SILENCE_NANOS = 1_600_000_000L
        private const val FAR_SILENCE_NANOS = 9_000_000_000L
        private const val READ_NANOS = 1_000_000_000L
        private const val IDLE_READ_NANOS = 2_000_000_000L

        // Bytes between data centres are dear, so the others hear less often.
        private const val NEAR_NOTICE_NANOS = 250_000_000L
        private const val FAR_NOTICE_NANOS = 500_000_000L
    }
}
