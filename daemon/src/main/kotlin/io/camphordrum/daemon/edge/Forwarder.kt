package io.camphordrum.daemon.edge

import io.camphordrum.core.Clock
import io.camphordrum.core.EndpointId
import io.camphordrum.core.serving.Placement
import io.camphordrum.core.serving.RefuseReason
import io.camphordrum.core.serving.ServingConfig
import io.camphordrum.core.serving.ServingCore
import io.camphordrum.core.serving.ServingRoute
import io.camphordrum.core.serving.Work
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop

/**
 * Resolves the route and account of callers' requests, and starts a [Forwarding] for each request that is admitted.
 *
 * Runs on one event loop together with [core].
 */
class Forwarder(
    internal val core: ServingCore,
    internal val protocol: EdgeProtocol,
    internal val connections: EndpointConnections,
    internal val loop: EventLoop,
    internal val clock: Clock,
    internal val metrics: EdgeMetrics,
    internal val settings: EdgeSettings,
) {
    // An engine may have cached prompt parts of earlier requests, so only unseen parts count as new tokens.
    private val recentParts = RecentSet(MAX_PROMPT_PARTS)

    private val open = LinkedHashSet<Forwarding>()
    private val witnesses = EndpointWitnesses(connections, loop)

    internal val answerTimes = AnswerTimes()

    // When this daemon ends the requests that are still open; null unless it is stopping.
    private var stopNanos: Long? = null

    /** Requests without a final answer. */
    @Volatile
    var openRequests = 0
        private set

    init {
        core.prompts.onBlock = { loop.execute { open.toList().forEach { it.endIfBlocked() } } }
    }

    /** Handles one request of a caller. */
    fun handle(exchange: CallerExchange) {
        when (val result = protocol.parse(exchange.head)) {
            is RequestParseResult.Invalid -> refuse(exchange, null, Own.BAD, result.reason)
            is RequestParseResult.Parsed -> resolve(exchange, result.request)
        }
    }

    /** From now on refuses requests whose answers are not likely to be complete at [stopNanos]. */
    fun drain(stopNanos: Long) {
        this.stopNanos = stopNanos
    }

    /** Ends all open requests: with 503 those that were not sent, with 502 or a visible break the others. */
    fun stop() = open.toList().forEach { it.endForStop() }

    /** Returns whether the answer to [request] is likely to be complete before this daemon stops. */
    internal fun endsBeforeStop(request: CallerRequest, work: Work): Boolean {
        val remainingNanos = (stopNanos ?: return true) - clock.nanos()
        return remainingNanos > answerTimes.likelyMillis(work.route, request.outputTokens) * NANOS_PER_MILLI
    }

    /** Observes the endpoint of [placement] until the end of its answer; null if it cannot be asked. */
    internal fun observe(work: Work, placement: Placement.Send): EndpointWitnesses.Lease? {
        val service = core.config?.services?.get(work.service) ?: return null
        fun request() = protocol.lifeCheck(placement.endpoint, service, LIFE_CHECK_MILLIS)
        if (request() == null) return null
        val check = LifeCheck(
            { request()!!.let { requestBytes(it, it.headers, Unpooled.EMPTY_BUFFER) } },
            { protocol.provesLife(it, placement.endpoint, service) },
        )
        return witnesses.observe(placement.address, placement.endpoint.name, check)
    }

    internal fun opened(forwarding: Forwarding) {
        open += forwarding
        openRequests = open.size
    }

    internal fun closed(forwarding: Forwarding) {
        open -= forwarding
        openRequests = open.size
    }

    private fun resolve(exchange: CallerExchange, request: CallerRequest) {
        val config = core.config
        if (config == null) {
            refuseUnavailable(exchange, request, RefuseReason.NO_CONFIG, NO_CONFIG_RETRY_MILLIS)
            return
        }
        val route = config.route(request.host, request.path)
        if (route == null) {
            refuse(exchange, request, Own.NOT_FOUND, "no matching route in configuration ${config.version}")
            return
        }
        val account = request.key?.let { config.account(it) }
        if (account == null && config.accounts.isNotEmpty() && !route.open) {
            refuse(exchange, request, Own.NO_KEY, "no account with this key in configuration ${config.version}")
            return
        }
        start(exchange, request, config, route, account?.name, account?.priority ?: route.priority)
    }

    private fun start(
        exchange: CallerExchange,
        request: CallerRequest,
        config: ServingConfig,
        route: ServingRoute,
        account: String?,
        priority: Int,
    ) {
        val now = clock.nanos()
        val timeoutMillis = minOf(route.timeoutMillis, request.waitMillis ?: Long.MAX_VALUE)
        val promptTokens = request.promptTokens
        val plainTokens = config.accounts.firstOrNull { it.name == account }?.plainTokens ?: 0
        val work = Work(
            id = request.id,
            route = route,
            service = core.chooseService(route),
            account = account,
            priority = priority,
            base = request.base,
            adapter = request.adapter,
            promptTokens = promptTokens ?: 0,
            chargedTokens = if (promptTokens == null) plainTokens else promptTokens + (request.outputTokens ?: 0),
            arrivedNanos = now,
            deadlineNanos = now + timeoutMillis * NANOS_PER_MILLI,
            newTokens = request.ownPromptPart?.let { (id, tokens) -> if (recentParts.add(id)) tokens else 0 } ?: 0,
            promptParts = request.sharedPromptParts,
        )
        core.recordRequest(now, work.service)
        val retryMillis = core.charge(now, work)
        if (retryMillis > 0) {
            refuseOverLimit(exchange, request, work, retryMillis)
            return
        }
        Forwarding(this, exchange, request, work).start()
    }

    private fun refuseOverLimit(exchange: CallerExchange, request: CallerRequest, work: Work, retryMillis: Long) {
        metrics.answers.labelValues("over_limit").inc()
        EdgeLog.write(
            "refused",
            mapOf(
                "id" to request.id,
                "reason" to "over_limit",
                "account" to work.account,
                "tokens" to work.chargedTokens,
                "retryMillis" to retryMillis,
            ) + core.explainLimit(work.arrivedNanos, work),
        )
        exchange.answer(
            Own.LIMIT.status,
            Own.LIMIT.reason,
            protocol.ownHeaders(request, retryMillis),
            Unpooled.EMPTY_BUFFER,
        )
    }

    internal fun refuseUnavailable(
        exchange: CallerExchange,
        request: CallerRequest,
        reason: RefuseReason,
        retryMillis: Long,
        inputFields: Map<String, Any?> = emptyMap(),
    ) {
        metrics.answers.labelValues(reason.name.lowercase()).inc()
        val outcomeFields = mapOf("id" to request.id, "reason" to reason.name.lowercase(), "retryMillis" to retryMillis)
        EdgeLog.write("refused", inputFields + outcomeFields)
        val own = Own.UNAVAILABLE
        exchange.answer(own.status, own.reason, protocol.ownHeaders(request, retryMillis), Unpooled.EMPTY_BUFFER)
    }

    /**
     * Records the availability that an answer announces for [endpoint].
     *
     * @param sentNanos when the request was sent.
     * @param provesNoLimit whether an answer without a rate limit shows that the endpoint has none; a late copy of an
     *   older answer does not.
     */
    internal fun recordAvailability(answer: AnswerHead, endpoint: EndpointId, sentNanos: Long, provesNoLimit: Boolean) {
        val now = clock.nanos()
        val availability = protocol.availability(answer)
        if (availability.leaving) core.markLeaving(endpoint)
        availability.pauseMillis?.let { core.pauseEndpoint(now, endpoint, it) }
        when (val rate = availability.rateLimit) {
            is AnnouncedRate.Limited -> core.recordAnnouncedLimit(now, endpoint, sentNanos, rate.perSecond)
            AnnouncedRate.None -> if (provesNoLimit) core.recordAnnouncedLimit(now, endpoint, sentNanos, null)
            is AnnouncedRate.Unreadable -> EdgeLog.write(
                "limit_unreadable",
                mapOf("endpoint" to endpoint.name, "limit" to rate.text.take(MAX_LOGGED_CHARS)),
            )
        }
    }

    private fun refuse(exchange: CallerExchange, request: CallerRequest?, own: Own, reason: String) {
        metrics.answers.labelValues(own.name.lowercase()).inc()
        EdgeLog.write(
            "refused",
            mapOf("id" to request?.id, "reason" to reason, "status" to own.status, "path" to request?.path),
        )
        exchange.answer(own.status, own.reason, protocol.ownHeaders(request, null), Unpooled.EMPTY_BUFFER)
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val NO_CONFIG_RETRY_MILLIS = 500L

        // Below the time for a proof, so that a full endpoint refuses in time; a refusal also shows that it is alive.
        const val LIFE_CHECK_MILLIS = 300L
        const val MAX_PROMPT_PARTS = 8_192
        const val MAX_LOGGED_CHARS = 40
    }
}

/** Lists the answers that the daemon itself generates, with status and reason phrase. */
internal enum class Own(val status: Int, val reason: String) {
    BAD(400, "Bad Request"),
    NO_KEY(401, "Unauthorized"),
    NOT_FOUND(404, "Not Found"),
    LIMIT(429, "Too Many Requests"),
    BROKEN(502, "Bad Gateway"),
    UNAVAILABLE(503, "Service Unavailable"),
    TIMEOUT(504, "Gateway Timeout"),
}
