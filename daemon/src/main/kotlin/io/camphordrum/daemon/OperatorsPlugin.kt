package io.camphordrum.daemon

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServiceRequestContext
import io.camphordrum.core.CoreEffect
import io.camphordrum.core.CoreStatus
import io.camphordrum.core.DecisionCore
import io.camphordrum.core.InstanceId
import io.camphordrum.core.config.Change
import io.camphordrum.core.config.ChangeRecord
import io.camphordrum.core.config.Explanation
import io.camphordrum.core.config.SubmitOutcome
import io.camphordrum.core.config.Tree
import io.camphordrum.core.config.TreeDocument
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

private val log = KotlinLogging.logger {}

/** Serves operators: changes of the tree, history, status, health and metrics. */
class OperatorsPlugin : Plugin {
    override val name = "operators"
    override val order = 40
    private val changes = ConcurrentHashMap<String, CompletableFuture<SubmitOutcome>>()
    private val histories = ConcurrentHashMap<Long, CompletableFuture<List<ChangeRecord>?>>()
    private val queries = AtomicLong()
    private lateinit var kernel: Kernel
    private lateinit var server: Server

    override fun start(kernel: Kernel) {
        this.kernel = kernel
        kernel.ports.notices += ::notice
        val listen = kernel.settings.operators
        server = Server.builder()
            .http(InetSocketAddress(listen.host, listen.port))
            .maxRequestLength(MAX_CHANGE_BYTES)
            .requestTimeoutMillis(REQUEST_MILLIS)
            .service("/v1/changes") { _, req -> HttpResponse.of(req.aggregate().thenCompose(::submit)) }
            .service("/v1/tree") { _, _ -> answer(kernel.ask { core, _ -> tree(core.configuration?.tree) }) }
            .service("/v1/history") { ctx, _ -> history(ctx) }
            .service("/v1/status") { _, _ ->
                answer(kernel.ask { core, now -> json(CoreStatus.serializer(), core.status(now)) })
            }
            .service("/v1/explain") { ctx, _ -> explain(ctx) }
            .service("/v1/gone") { ctx, _ -> posted(ctx) { gone(ctx) } }
            .service("/v1/log-level") { ctx, _ -> posted(ctx) { changeLogLevel(ctx) } }
            .service("/metrics") { _, _ ->
                HttpResponse.of(HttpStatus.OK, MediaType.PLAIN_TEXT_UTF_8, kernel.metrics.text())
            }
            .service("/healthz") { _, _ -> HttpResponse.of(HttpStatus.OK) }
            .service("/readyz") { _, _ -> answer(kernel.ask { core, _ -> ready(core) }) }
            .build()
        server.start().join()
    }

    override fun stop() {
        server.stop().join()
    }

    private fun notice(effect: CoreEffect) {
        when (effect) {
            is CoreEffect.ChangeSubmitted -> changes.remove(effect.id)?.complete(effect.outcome)
            is CoreEffect.HistoryRead -> histories.remove(effect.query)?.complete(effect.records)
            else -> Unit
        }
    }

    private fun submit(request: AggregatedHttpRequest): CompletableFuture<HttpResponse> {
        val change = try {
            format.decodeFromString(Change.serializer(), request.contentUtf8())
        } catch (e: SerializationException) {
            return done(error(HttpStatus.BAD_REQUEST, "expected a change: ${e.message?.lineSequence()?.first()}"))
        }
        val answer = CompletableFuture<SubmitOutcome>()
        if (changes.size >= MAX_WAITING || changes.putIfAbsent(change.id, answer) != null) {
            return done(error(HttpStatus.SERVICE_UNAVAILABLE, "the change is already waiting, or too many are"))
        }
        if (!kernel.decide { core, now -> core.submit(now, change) }) {
            changes.remove(change.id)
            return done(error(HttpStatus.SERVICE_UNAVAILABLE, "the daemon is overloaded"))
        }
        return answer.thenApply { outcome ->
            log.info { "change_submitted id=${change.id} who=${change.who} outcome=${outcome.javaClass.simpleName}" }
            response(outcome)
        }
    }

    private fun response(outcome: SubmitOutcome): HttpResponse = when (outcome) {
        is SubmitOutcome.Accepted -> json(buildJsonObject { put("revision", outcome.revision) }.toString())
        is SubmitOutcome.Conflict -> {
            val winner = format.encodeToJsonElement(ChangeRecord.serializer(), outcome.winner)
            val body = buildJsonObject {
                put("error", "another change came first")
                put("winner", winner)
            }
            HttpResponse.of(HttpStatus.CONFLICT, MediaType.JSON_UTF_8, body.toString())
        }
        is SubmitOutcome.Invalid -> error(HttpStatus.BAD_REQUEST, outcome.errors.joinToString("; "))
        SubmitOutcome.Unknown ->
            error(HttpStatus.GATEWAY_TIMEOUT, "the outcome is not known; submit the change again with the same id")
        is SubmitOutcome.Unavailable -> error(HttpStatus.SERVICE_UNAVAILABLE, "the platform cannot be reached")
        is SubmitOutcome.Busy -> error(HttpStatus.SERVICE_UNAVAILABLE, "too many changes are waiting")
    }

    // Before the first change there is nothing to show but the empty tree that the first change is made against.
    private fun tree(tree: Tree?): HttpResponse {
        val shown = tree ?: Tree.empty()
        return json(TreeDocument.serializer(), TreeDocument(shown.revision, shown.toDeclaration()))
    }

    private fun history(ctx: ServiceRequestContext): HttpResponse {
        val limit = ctx.queryParam("limit")?.toIntOrNull()?.coerceIn(1, MAX_HISTORY) ?: DEFAULT_HISTORY
        val query = queries.incrementAndGet()
        val records = CompletableFuture<List<ChangeRecord>?>()
        histories[query] = records
        kernel.decide { core, now -> core.history(now, query, limit) }
        return answer(
            records.thenApply {
                if (it == null) {
                    error(HttpStatus.SERVICE_UNAVAILABLE, "the platform cannot be reached")
                } else {
                    json(format.encodeToString(ListSerializer(ChangeRecord.serializer()), it))
                }
            },
        )
    }

    private fun explain(ctx: ServiceRequestContext): HttpResponse {
        val path = ctx.queryParam("path").orEmpty()
        return answer(
            kernel.ask { core, _ ->
                val tree = core.configuration?.tree
                if (tree == null) {
                    error(HttpStatus.SERVICE_UNAVAILABLE, "no configuration yet")
                } else {
                    json(Explanation.serializer(), tree.explain(path))
                }
            },
        )
    }

    private fun gone(ctx: ServiceRequestContext): HttpResponse {
        val instance = ctx.queryParam("instance")
            ?: return error(HttpStatus.BAD_REQUEST, "instance: expected a name, but came none")
        log.warn { "instance_gone_stated $instance" }
        val taken = kernel.decide { core, now -> core.declareGone(now, InstanceId(instance)) }
        return if (taken) json("{}") else error(HttpStatus.SERVICE_UNAVAILABLE, "the daemon is overloaded")
    }

    private fun posted(ctx: ServiceRequestContext, step: () -> HttpResponse): HttpResponse =
        if (ctx.method() == HttpMethod.POST) step() else error(HttpStatus.METHOD_NOT_ALLOWED, "expected POST")

    private fun changeLogLevel(ctx: ServiceRequestContext): HttpResponse {
        val asked = ctx.queryParam("level").orEmpty()
        val level = logLevel(asked)
            ?: return error(
                HttpStatus.BAD_REQUEST,
                "level: expected ${LogLevel.entries.joinToString()}, but was $asked",
            )
        level.apply()
        log.info { "log_level_changed $level" }
        return json("{}")
    }

    // A daemon without a generation holds no share of any limit and could only refuse.
    private fun ready(core: DecisionCore): HttpResponse = when {
        kernel.draining -> error(HttpStatus.SERVICE_UNAVAILABLE, "draining")
        core.configuration == null -> error(HttpStatus.SERVICE_UNAVAILABLE, "no configuration yet")
        !core.joined -> error(HttpStatus.SERVICE_UNAVAILABLE, "not a member of a generation yet")
        else -> HttpResponse.of(HttpStatus.OK)
    }

    private fun answer(response: CompletableFuture<HttpResponse>): HttpResponse = HttpResponse.of(response)

    private fun done(response: HttpResponse): CompletableFuture<HttpResponse> =
        CompletableFuture.completedFuture(response)

    private companion object {
        const val MAX_CHANGE_BYTES = 64L shl 20
        const val REQUEST_MILLIS = 30_000L
        const val MAX_WAITING = 256
        const val MAX_HISTORY = 1_000
        const val DEFAULT_HISTORY = 50
    }
}

internal val format = Json { encodeDefaults = false }

internal fun <T> json(form: KSerializer<T>, value: T): HttpResponse = json(format.encodeToString(form, value))

internal fun json(body: String): HttpResponse = HttpResponse.of(HttpStatus.OK, MediaType.JSON_UTF_8, body)

internal fun error(status: HttpStatus, message: String): HttpResponse =
    HttpResponse.of(status, MediaType.JSON_UTF_8, buildJsonObject { put("error", message) }.toString())
