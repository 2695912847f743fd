package io.camphordrum.core.serving

import io.camphordrum.core.Clock
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Member
import io.camphordrum.core.metering.AccountMeter
import io.camphordrum.core.metering.ChargeRefusal
import kotlin.random.Random

/**
 * Decides where requests are sent, which are refused, how much accounts may use and which adapters endpoints hold.
 *
 * All functions run on one thread. `now` is monotonic time in nanoseconds.
 *
 * ```kotlin
 * when (val placement = core.place(now, work, tried)) {
 *     is Placement.Send -> send(work, placement)
 *     is Placement.AwaitAdapter -> core.awaitAdapter(now, work, placement.endpoint) { loaded -> placeAgain(loaded) }
 *     is Placement.Refuse -> refuse(work, placement)
 * }
 * ```
 */
public class ServingCore(
    private val options: ServingOptions,
    machine: String,
    private val clock: Clock,
    private val ports: ServingPorts,
) {
    private val random = Random(options.seed)
    private val startedNanos = clock.nanos()
    private val peers = PeerTable(options.self, startedNanos)
    private val registry = EndpointRegistry(options, peers)
    private val context = ServingContext(options, ports, peers, registry)
    private val ownership: EndpointOwnership = EndpointOwnership(
        context,
        OrderRights(options, machine, clock, ports.rights),
        startedNanos,
        { noticeExchange.hasCurrentView(it) },
    ) { turnScheduler.queuedTokens(it) }
    private val turnScheduler: TurnScheduler = TurnScheduler(context) { ownership.owns(it) }
    private val selector = EndpointSelector(context) { ownership.loadMillis }
    private val meter = AccountMeter(options.self, startedNanos, options.limitBound) { peers.get(it)?.dataCentre?.name }
    private val limits = EndpointLimits(context)

    /** Blocks requests whose prompt crashes endpoints. */
    public val prompts: PromptGuard = PromptGuard(context, clock, ports.promptBlocks)
    private val permits = PermitScheduler(context)
    private val noticeExchange = NoticeExchange(context, meter, ownership, limits, prompts)
    private val retryBudgets = HashMap<String, RetryBudget>()
    private var lastTickNanos = startedNanos

    /** The current configuration; null until one was read. */
    public val config: ServingConfig? get() = context.config

    /** Number of known endpoints. */
    public val endpointCount: Int get() = registry.all.size

    /** Number of endpoints that this daemon owns. */
    public val ownedCount: Int get() = ownership.count

    /** Number of endpoints that announce a rate limit. */
    public val limitedEndpointCount: Int get() = registry.all.count { it.announcedLimit.perSecond != null }

    /** Number of requests that this daemon has sent to endpoints that announced a rate limit. */
    public var limitedSendCount: Long = 0
        private set

    /** Applies [next] and returns true, unless the current version is the same or newer. */
    public fun configure(now: Long, next: ServingConfig): Boolean {
        val before = config
        if (before != null && before.version >= next.version) return false
        context.config = next
        meter.configure(now, next.accounts)
        return true
    }

    /**
     * Replaces all registered endpoints.
     *
     * @param afterGap whether the store, or only its answers about endpoints, could not be read before.
     * @param reachableSinceNanos since when the store has been reachable; records that expired before are back soon
     *   after it.
     */
    public fun replaceEndpoints(
        now: Long,
        records: Collection<EndpointRecord>,
        afterGap: Boolean,
        reachableSinceNanos: Long = now,
    ) {
        registry.replace(now, records, afterGap, reachableSinceNanos).forEach(::onEndpointRemoved)
    }

    /** Adds or updates one registered endpoint. */
    public fun putEndpoint(now: Long, record: EndpointRecord): Unit = registry.put(now, record)

    /**
     * Marks a registration that expired while the store was unreachable; it is removed unless it reappears soon after
     * [reachableSinceNanos].
     */
    public fun markEndpointMissing(reachableSinceNanos: Long, id: EndpointId): Unit =
        registry.markMissing(reachableSinceNanos, id)

    /** Removes an endpoint whose registration was removed. */
    public fun removeEndpoint(id: EndpointId) {
        registry.remove(id)
        onEndpointRemoved(id)
    }

    /** Stops sends to the endpoints of [dataCentres]; replaces the set of the last call. */
    public fun closeDataCentres(dataCentres: Set<DataCentreId>): Unit = registry.closeDataCentres(dataCentres)

    /** Records the newest adapter versions by base model and adapter. */
    public fun announceVersions(versions: Map<Pair<String, String>, Int>): Unit = registry.announceVersions(versions)

    /** Replaces the registered daemons. */
    public fun replaceDaemons(daemons: Collection<RegisteredDaemon>): Unit = peers.replaceRegistered(daemons)

    /** Charges [work] to its account; returns 0, or the milliseconds after which the caller may retry. */
    public fun charge(now: Long, work: Work): Long =
        work.account?.let { meter.charge(now, it, work.chargedTokens) }?.takeIf { it > 0 }?.let(::retryMillis) ?: 0

    /** Returns what the refusal of a charge of [work] depended on, for the log. */
    public fun explainLimit(now: Long, work: Work): Map<String, Any?> =
        work.account?.let { meter.explain(now, it) }.orEmpty()

    /** Returns the number of charges refused for [reason]. */
    public fun limitRefusalCount(reason: ChargeRefusal): Long = meter.refusalCount(reason)

    /** Refunds the charge of [work], which has not run. */
    public fun refund(work: Work) {
        work.account?.let { meter.refund(clock.nanos(), it, work.chargedTokens) }
    }

    /** Chooses one of the services of [route] at random by weight. */
    public fun chooseService(route: ServingRoute): String {
        val total = route.services.sumOf { it.weight }
        if (route.services.size == 1 || total <= 0) return route.services.first().service
        var remaining = random.nextInt(total)
        for (target in route.services) {
            remaining -= target.weight
            if (remaining < 0) return target.service
        }
        return route.services.last().service
    }

    /** Records a request for [service]. */
    public fun recordRequest(now: Long, service: String): Unit = retryBudget(service).recordRequest(now)

    /** Acquires one retry from the budget of [service]; returns false when none is left. */
    public fun tryAcquireRetry(
        now: Long,
        service: String,
    ): Boolean = retryBudget(service).tryAcquire(now, peers.knownCount)

    /** Decides about [work]; excludes the endpoints in [tried], and loads no adapter at the endpoints in [noLoad]. */
    public fun place(
        now: Long,
        work: Work,
        tried: Set<EndpointId> = emptySet(),
        noLoad: Set<EndpointId> = emptySet(),
    ): Placement {
        if (prompts.block(work) != null) {
            return Placement.Refuse(RefuseReason.BLOCKED_PROMPT, retryMillis(BLOCKED_PROMPT_RETRY_MILLIS))
        }
        val service = config?.services?.get(work.service)
            ?: return Placement.Refuse(RefuseReason.NO_ENDPOINT, retryMillis(NO_ENDPOINT_RETRY_MILLIS))
        val spentMillis = (now - work.arrivedNanos) / 1e6
        val leftMillis = (work.deadlineNanos - now) / 1e6
        val maxWaitMillis = minOf(work.route.targetMillis * MAX_WAIT_FACTOR - spentMillis, leftMillis * DEADLINE_PART)
        val boundMillis = maxOf(maxWaitMillis, MIN_BOUND_MILLIS)
        val choice = selector.choose(now, work, service, tried, noLoad, boundMillis)
            ?: return refuseWithoutChoice(now, work, tried, noLoad)
        if (choice.millis > boundMillis) {
            val excessMillis = (choice.millis - boundMillis).toLong().coerceIn(
                MIN_BUSY_RETRY_MILLIS,
                MAX_BUSY_RETRY_MILLIS,
            )
            return Placement.Refuse(RefuseReason.BUSY, retryMillis(excessMillis), choice.state.id, choice.millis)
        }
        if (choice.load) return Placement.AwaitAdapter(choice.state.id, choice.millis)
        return Placement.Send(
            choice.state.id,
            choice.state.record.address,
            registry.announcedVersion(work.base, work.adapter),
            choice.millis,
        )
    }

    /**
     * Requests the adapter of [work] at [endpoint]; [onEnd] receives whether it is loaded.
     *
     * Calling the result cancels the wait.
     */
    public fun awaitAdapter(now: Long, work: Work, endpoint: EndpointId, onEnd: (Boolean) -> Unit): () -> Unit =
        ownership.awaitAdapter(now, work, endpoint, onEnd)

    /**
     * Requests the permission to send [work] to [endpoint]: a turn at an engine, and a permit if the endpoint announces
     * a rate limit or is cold.
     *
     * Must be called before each send, also of a request that is sent again. [onEnd] receives whether the permission
     * was granted. Calling the result cancels the wait.
     */
    public fun awaitTurn(now: Long, work: Work, endpoint: EndpointId, onEnd: (Boolean) -> Unit): () -> Unit {
        // The prompt must still be read after the turn is granted.
        val readingMillis = work.promptTokens / context.speed(work.service).tokensPerMilli
        val turnMillis = work.route.targetMillis * MAX_WAIT_FACTOR - readingMillis
        val untilNanos = work.arrivedNanos + (turnMillis * OrderRights.NANOS_PER_MILLI).toLong()
        var cancelPermit: (() -> Unit)? = null
        val cancelTurn =
            turnScheduler.awaitTurn(now, work, endpoint, minOf(untilNanos, work.deadlineNanos)) { granted ->
                if (granted) {
                    cancelPermit = permits.awaitPermit(clock.nanos(), work, endpoint, onEnd)
                } else {
                    onEnd(false)
                }
            }
        return { (cancelPermit ?: cancelTurn)() }
    }

    /** Returns whether [work] may still be sent to [endpoint] and the endpoint holds its models. */
    public fun stillServes(now: Long, work: Work, endpoint: EndpointId): Boolean {
        if (prompts.block(work) != null) return false
        val state = registry.get(endpoint) ?: return false
        if (!registry.mayServe(state) || state.isBackingOff(now) || state.isPaused(now)) return false
        if (work.base == null || context.engine(state) == null) return true
        return state.holds(work.base, work.adapter, registry.announcedVersion(work.base, work.adapter))
    }

    /** Records that [work] was sent to [endpoint]. */
    public fun recordSend(now: Long, work: Work, endpoint: EndpointId) {
        val state = registry.get(endpoint) ?: return
        state.announcedLimit.perSecond?.let { limit ->
            limitedSendCount++
            val fields = mapOf("id" to work.id, "endpoint" to endpoint.name, "perSecond" to limit)
            ports.logEvent("limited_send", fields)
        }
        if (work.base != null) state.expectedReadMillis[work.id] = selector.readMillis(now, work, state)
        state.unanswered[work.id] = work
        state.recordSend(now)
    }

    /** Records that the answer of [work] began [actualMillis] after the request was sent. */
    public fun recordFirstPart(work: Work, endpoint: EndpointId, expectedMillis: Double, actualMillis: Double) {
        val state = registry.get(endpoint) ?: return
        val sent = state.unanswered.remove(work.id) ?: return
        state.running[work.id] = sent
        val readMillis = state.expectedReadMillis.remove(work.id)
        state.recordFirstPart(readMillis ?: expectedMillis, actualMillis)
        if (readMillis == null) return
        context.speed(work.service).recordRead(work.newTokens, actualMillis)
        turnScheduler.reportRunBegun(
            endpoint,
            ServingMessage.RunBegun(endpoint.name, readMillis, actualMillis, work.newTokens),
        )
    }

    /** Records that two events of the stream of [work] arrived [millis] apart. */
    public fun recordEventGap(work: Work, millis: Double) {
        val events = config?.services?.get(work.service)?.engine?.eventTokens ?: return
        context.speed(work.service).recordEvent(events, millis)
    }

    /** Stops sends to [endpoint], which announced that it is leaving, until it has restarted. */
    public fun markLeaving(endpoint: EndpointId) {
        registry.markLeaving(endpoint)
        ports.logEvent("endpoint_leaving", mapOf("endpoint" to endpoint.name))
    }

    /** Returns whether [endpoint] is known to end as planned, or is no longer registered. */
    public fun isLeaving(endpoint: EndpointId): Boolean = registry.get(endpoint)?.let(registry::mayServe) != true

    /** Stops sends to [endpoint], which requested a pause, for [millis]. */
    public fun pauseEndpoint(now: Long, endpoint: EndpointId, millis: Long) {
        val state = registry.get(endpoint) ?: return
        val until = now + minOf(millis, MAX_ENDPOINT_PAUSE_MILLIS) * OrderRights.NANOS_PER_MILLI
        state.pausedUntilNanos = maxOf(state.pausedUntilNanos, until)
        ports.logEvent("endpoint_paused", mapOf("endpoint" to endpoint.name, "millis" to millis))
    }

    /**
     * Records what an answer of [endpoint] says about its rate limit.
     *
     * @param sentNanos when the request was sent.
     * @param perSecond requests a second that the endpoint accepts from all daemons together; null if the answer
     *   announces no limit.
     */
    public fun recordAnnouncedLimit(now: Long, endpoint: EndpointId, sentNanos: Long, perSecond: Double?) {
        limits.recordAnswer(now, endpoint, sentNanos, perSecond)
    }

    /** Records how the run of [work] at [endpoint] ended. */
    public fun recordRunEnd(now: Long, work: Work, endpoint: EndpointId, end: RunEnd) {
        val state = registry.get(endpoint) ?: return
        state.unanswered.remove(work.id)
        state.running.remove(work.id)
        state.expectedReadMillis.remove(work.id)
        when (end) {
            RunEnd.COMPLETE -> state.recordSuccess(now)
            RunEnd.FAILED -> state.recordFailure(now)
            RunEnd.SILENT -> state.recordNoAnswer(now)
            RunEnd.TURNED_AWAY, RunEnd.CANCELLED -> Unit
        }
    }

    /** Records that [endpoint] answered that it does not hold the adapter of [work]. */
    public fun recordAdapterMissing(work: Work, endpoint: EndpointId) {
        val state = registry.get(endpoint) ?: return
        val adapter = work.adapter ?: return
        state.held[work.base]?.remove(adapter)
    }

    /** Handles a message of the daemon [from]. */
    public fun receive(now: Long, from: Member, message: ServingMessage) {
        when (message) {
            is ServingNotice -> noticeExchange.receive(now, message)
            is FleetDigest -> noticeExchange.receive(now, message)
            is ServingMessage.LoadAsk -> ownership.receiveLoadAsk(now, from.instance.name, message)
            is ServingMessage.LoadEnd -> ownership.receiveLoadEnd(message)
            is ServingMessage.TurnAsk -> turnScheduler.receiveTurnAsk(now, from.instance.name, message)
            is ServingMessage.TurnEnd -> turnScheduler.receiveTurnEnd(message)
            is ServingMessage.TurnDrop -> turnScheduler.receiveTurnDrop(message)
            is ServingMessage.RunBegun -> turnScheduler.receiveRunBegun(message)
            is ServingMessage.PermitAsk -> permits.receiveAsk(now, from.instance.name, message)
            is ServingMessage.PermitEnd -> permits.receiveEnd(now, from.instance.name, message)
            is ServingMessage.PromptNews -> prompts.receive(now, message.report)
            is ServingMessage.TrialAsk -> prompts.receiveTrialAsk(now, from.instance.name, message)
            is ServingMessage.TrialEnd -> prompts.receiveTrialEnd(now, from.instance.name, message)
            is ServingMessage.TrialDrop -> prompts.receiveTrialDrop(message)
        }
    }

    /** Sends due notices and orders, maintains rights, and ends expired waits. */
    public fun tick(now: Long) {
        if (now - lastTickNanos > PROCESS_PAUSE_NANOS) noticeExchange.excludePause(now - lastTickNanos)
        lastTickNanos = now
        registry.expire(now).forEach(::onEndpointRemoved)
        turnScheduler.tick(now)
        permits.tick(now)
        prompts.tick(now)
        ownership.tick(now)
        noticeExchange.tick(now)
    }

    /** Releases all rights before the process ends. */
    public fun leave() {
        ownership.leave()
        turnScheduler.leave()
        noticeExchange.leave()
    }

    private fun onEndpointRemoved(id: EndpointId) {
        ownership.remove(id)
        ports.logEvent("endpoint_gone", mapOf("endpoint" to id.name))
    }

    private fun refuseWithoutChoice(
        now: Long,
        work: Work,
        tried: Set<EndpointId>,
        noLoad: Set<EndpointId>,
    ): Placement {
        val usable = registry.usable(work.service, tried)
        val first = registry.usable(work.service, emptySet()).minByOrNull { it.unavailableUntilNanos(now) }
        if (first != null && first.unavailableUntilNanos(now) > now) {
            val waitMillis = if (first.isAtLimit(now)) {
                permits.retryMillis(now, first)
            } else {
                (first.pausedUntilNanos - now) / OrderRights.NANOS_PER_MILLI + 1
            }
            return Placement.Refuse(RefuseReason.BUSY, retryMillis(waitMillis))
        }
        val anyUsable = usable.isNotEmpty()
        val reason = if (anyUsable &&
            (noLoad.isNotEmpty() || work.adapter != null)
        ) {
            RefuseReason.NO_PLACE
        } else {
            RefuseReason.NO_ENDPOINT
        }
        return Placement.Refuse(reason, retryMillis(if (anyUsable) NO_PLACE_RETRY_MILLIS else NO_ENDPOINT_RETRY_MILLIS))
    }

    // Adds jitter, so that callers refused together do not retry together.
    private fun retryMillis(millis: Long): Long = millis + random.nextLong(millis / 2 + 1)

    private fun retryBudget(service: String): RetryBudget = retryBudgets.getOrPut(service) {
        RetryBudget(options.repeatWindowMillis * OrderRights.NANOS_PER_MILLI, options.repeatRatio, options.repeatSlack)
    }

    private companion object {
        // Maximum wait for the first part of an answer, in multiples of the route's target time. A request that is
        // already late would take engine time from requests that can still be in time.
        const val MAX_WAIT_FACTOR = 1.0
        const val DEADLINE_PART = 0.8
        const val MIN_BOUND_MILLIS = 150.0

        // Bounds the pause of an endpoint that requests an excessive one.
        const val MAX_ENDPOINT_PAUSE_MILLIS = 60_000L

        // An unanswered prompt is read within a few hundred milliseconds; an overload lasts for seconds.
        const val MIN_BUSY_RETRY_MILLIS = 600L
        const val MAX_BUSY_RETRY_MILLIS = 3_000L
        const val NO_ENDPOINT_RETRY_MILLIS = 600L
        const val NO_PLACE_RETRY_MILLIS = 250L

        // A block ends when an operator lifts it, not by itself.
        const val BLOCKED_PROMPT_RETRY_MILLIS = 60_000L

        // Ticks come every 10 ms. After a longer pause the process was stopped, and messages of others are unread.
        const val PROCESS_PAUSE_NANOS = 500_000_000L
    }
}
