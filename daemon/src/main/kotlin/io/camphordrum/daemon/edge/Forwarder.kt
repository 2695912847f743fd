package io.camphordrum.daemon.edge

import io.camphordrum.core.Clock
import io.camphordrum.core.serving.RefuseReason
import io.camphordrum.core.serving.ServingConfig
import io.camphordrum.core.serving.ServingCore
import io.camphordrum.core.serving.ServingRoute
import io.camphordrum.core.serving.Work
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop

/**
 * Receives callers' requests, resolves their route and account, and starts a [Forwarding] for each that may run.
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
    // Parts of prompts that came before may be kept by an engine.
    private val seenParts = RecentSet(MAX_PARTS)

    /** Requests without a final answer. */
    var open = 0
        internal set

    /** Takes one request of a caller. */
    fun take(exchange: CallerExchange) {
        when (val read = protocol.read(exchange.head)) {
            is CallRead.Bad -> refuse(exchange, null, Own.BAD, read.reason)
            is CallRead.Read -> resolve(exchange, read.call)
        }
    }

    private fun resolve(exchange: CallerExchange, call: Call) {
        val config = core.config
        if (config == null) {
            unavailable(exchange, call, RefuseReason.NO_CONFIG, NO_CONFIG_MILLIS)
            return
        }
        val route = config.route(call.host, call.path)
        if (route == null) {
            refuse(exchange, call, Own.NOT_FOUND, "no route of configuration ${config.version}")
            return
        }
        val account = call.key?.let { config.account(it) }
        if (account == null && config.accounts.isNotEmpty() && !route.open) {
            refuse(exchange, call, Own.NO_KEY, "no account of configuration ${config.version} holds the key")
            return
        }
        start(exchange, call, config, route, account?.name, account?.priority ?: route.priority)
    }

    private fun start(
        exchange: CallerExchange,
        call: Call,
        config: ServingConfig,
        route: ServingRoute,
        account: String?,
        priority: Int,
    ) {
        val now = clock.nanos()
        val millis = minOf(route.timeoutMillis, call.waitMillis ?: Long.MAX_VALUE)
        val prompt = call.promptTokens
        val plain = config.accounts.firstOrNull { it.name == account }?.plainTokens ?: 0
        val work = Work(
            id = call.id,
            route = route,
            service = core.chooseService(route),
            account = account,
            priority = priority,
            base = call.base,
            adapter = call.adapter,
            promptTokens = prompt ?: 0,
            chargedTokens = if (prompt == null) plain else prompt + (call.outputTokens ?: 0),
            arrivedNanos = now,
            deadlineNanos = now + millis * NANOS_PER_MILLI,
            newTokens = call.ownPart?.let { (id, tokens) -> if (seenParts.add(id)) tokens else 0 } ?: 0,
        )
        core.recordRequest(now, work.service)
        val retryMillis = core.charge(now, work)
        if (retryMillis > 0) {
            overLimit(exchange, call, work, retryMillis)
            return
        }
        Forwarding(this, exchange, call, work).start()
    }

    private fun overLimit(exchange: CallerExchange, call: Call, work: Work, retryMillis: Long) {
        metrics.answers.labelValues("over_limit").inc()
        EdgeLog.write(
            "refused",
            mapOf(
                "id" to call.id,
                "reason" to "over_limit",
                "account" to work.account,
                "tokens" to work.chargedTokens,
                "retryMillis" to retryMillis,
            ),
        )
        exchange.answer(Own.LIMIT.status, Own.LIMIT.reason, protocol.own(call, retryMillis), Unpooled.EMPTY_BUFFER)
    }

    internal fun unavailable(
        exchange: CallerExchange,
        call: Call,
        reason: RefuseReason,
        retryMillis: Long,
        inputs: Map<String, Any?> = emptyMap(),
    ) {
        metrics.answers.labelValues(reason.name.lowercase()).inc()
        val outcome = mapOf("id" to call.id, "reason" to reason.name.lowercase(), "retryMillis" to retryMillis)
        EdgeLog.write("refused", inputs + outcome)
        val own = Own.UNAVAILABLE
        exchange.answer(own.status, own.reason, protocol.own(call, retryMillis), Unpooled.EMPTY_BUFFER)
    }

    private fun refuse(exchange: CallerExchange, call: Call?, own: Own, reason: String) {
        metrics.answers.labelValues(own.name.lowercase()).inc()
        EdgeLog.write(
            "refused",
            mapOf("id" to call?.id, "reason" to reason, "status" to own.status, "path" to call?.path),
        )
        exchange.answer(own.status, own.reason, protocol.own(call, null), Unpooled.EMPTY_BUFFER)
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val NO_CONFIG_MILLIS = 500L
        const val MAX_PARTS = 8_192
    }
}

/** Names the answers of our own, with status and reason phrase. */
internal enum class Own(val status: Int, val reason: String) {
    BAD(400, "Bad Request"),
    NO_KEY(401, "Unauthorized"),
    NOT_FOUND(404, "Not Found"),
    LIMIT(429, "Too Many Requests"),
    BROKEN(502, "Bad Gateway"),
    UNAVAILABLE(503, "Service Unavailable"),
    TIMEOUT(504, "Gateway Timeout"),
}
