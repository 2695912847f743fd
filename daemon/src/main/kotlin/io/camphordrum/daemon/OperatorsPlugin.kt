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
    private val pendingChanges = ConcurrentHashMap<String, CompletableFuture<SubmitOutcome>>()
    private val pendingHistories = ConcurrentHashMap<Long, CompletableFuture<List<ChangeRecord>?>>()
    private val queryIds = AtomicLong()
    private lateinit var kernel: Kernel
    private lateinit var server: Server

    override fun start(kernel: Kernel) {
        this.kernel = kernel
        kernel.ports.listeners += ::onEffect
        val listen = kernel.settings.operators
        server = Server.builder()
            .http(InetSocketAddress(listen.host, listen.port))
            .maxRequestLength(MAX_CHANGE_BYTES)
            .requestTimeoutMillis(REQUEST_TIMEOUT_MILLIS)
            .service("/v1/changes") { _, req -> HttpResponse.of(req.aggregate().thenCompose(::submit)) }
            .service("/v1/tree") { _, _ ->
                asyncResponse(kernel.query { core, _ -> treeResponse(core.configuration?.tree) })
            }
            .service("/v1/history") { ctx, _ -> history(ctx) }
            .service("/v1/status") { _, _ ->
                asyncResponse(kernel.query { core, now -> jsonResponse(CoreStatus.serializer(), core.status(now)) })
            }
            .service("/v1/explain") { ctx, _ -> explain(ctx) }
            .service("/v1/gone") { ctx, _ -> requirePost(ctx) { declareGone(ctx) } }
            .service("/v1/log-level") { ctx, _ -> requirePost(ctx) { changeLogLevel(ctx) } }
            .service("/metrics") { _, _ ->
                HttpResponse.of(HttpStatus.OK, MediaType.PLAIN_TEXT_UTF_8, kernel.metrics.text())
            }
            .service("/healthz") { _, _ -> HttpResponse.of(HttpStatus.OK) }
            .service("/readyz") { _, _ -> asyncResponse(kernel.query { core, _ -> readiness(core) }) }
            .build()
        server.start().join()
    }

    override fun stop() {
        server.stop().join()
    }

    private fun onEffect(effect: CoreEffect) {
        when (effect) {
            is CoreEffect.ChangeSubmitted -> pendingChanges.remove(effect.id)?.complete(effect.outcome)
            is CoreEffect.HistoryRead -> pendingHistories.remove(effect.query)?.complete(effect.records)
            else -> Unit
        }
    }

    private fun submit(request: AggregatedHttpRequest): CompletableFuture<HttpResponse> {
        val change = try {
            operatorJson.decodeFromString(Change.serializer(), request.contentUtf8())
        } catch (e: SerializationException) {
            return completed(
                jsonError(HttpStatus.BAD_REQUEST, "expected a change: ${e.message?.lineSequence()?.first()}"),
            )
        }
        val pendingOutcome = CompletableFuture<SubmitOutcome>()
        if (pendingChanges.size >= MAX_PENDING_CHANGES ||
            pendingChanges.putIfAbsent(change.id, pendingOutcome) != null
        ) {
            return completed(
                jsonError(HttpStatus.SERVICE_UNAVAILABLE, "the change is already waiting, or too many are"),
            )
        }
        if (!kernel.tryExecute { core, now -> core.submit(now, change) }) {
            pendingChanges.remove(change.id)
            return completed(jsonError(HttpStatus.SERVICE_UNAVAILABLE, "the daemon is overloaded"))
        }
        return pendingOutcome.thenApply { outcome ->
            log.info { "change_submitted id=${change.id} who=${change.who} outcome=${outcome.javaClass.simpleName}" }
            changeResponse(outcome)
        }
    }

    private fun changeResponse(outcome: SubmitOutcome): HttpResponse = when (outcome) {
        is SubmitOutcome.Accepted -> jsonResponse(buildJsonObject { put("revision", outcome.revision) }.toString())
        is SubmitOutcome.Conflict -> {
            val winner = operatorJson.encodeToJsonElement(ChangeRecord.serializer(), outcome.winner)
            val body = buildJsonObject {
                put("error", "another change came first")
                put("winner", winner)
            }
            HttpResponse.of(HttpStatus.CONFLICT, MediaType.JSON_UTF_8, body.toString())
        }
        is SubmitOutcome.Invalid -> jsonError(HttpStatus.BAD_REQUEST, outcome.errors.joinToString("; "))
        SubmitOutcome.Unknown ->
            jsonError(HttpStatus.GATEWAY_TIMEOUT, "the outcome is not known; submit the change again with the same id")
        is SubmitOutcome.Unavailable -> jsonError(HttpStatus.SERVICE_UNAVAILABLE, "the platform cannot be reached")
        is SubmitOutcome.Busy -> jsonError(HttpStatus.SERVICE_UNAVAILABLE, "too many changes are waiting")
    }

    // Before the first change no tree is stored; the empty tree is the base of that change.
    private fun treeResponse(tree: Tree?): HttpResponse {
        val currentTree = tree ?: Tree.empty()
        return jsonResponse(TreeDocument.serializer(), TreeDocument(currentTree.revision, currentTree.toDeclaration()))
    }

    private fun history(ctx: ServiceRequestContext): HttpResponse {
        val limit = ctx.queryParam("limit")?.toIntOrNull()?.coerceIn(1, MAX_HISTORY_RECORDS) ?: DEFAULT_HISTORY_RECORDS
        val query = queryIds.incrementAndGet()
        val records = CompletableFuture<List<ChangeRecord>?>()
        pendingHistories[query] = records
        kernel.tryExecute { core, now -> core.history(now, query, limit) }
        return asyncResponse(
            records.thenApply {
                if (it == null) {
                    jsonError(HttpStatus.SERVICE_UNAVAILABLE, "the platform cannot be reached")
                } else {
                    jsonResponse(operatorJson.encodeToString(ListSerializer(ChangeRecord.serializer()), it))
                }
            },
        )
    }

    private fun explain(ctx: ServiceRequestContext): HttpResponse {
        val path = ctx.queryParam("path").orEmpty()
        return asyncResponse(
            kernel.query { core, _ ->
                val tree = core.configuration?.tree
                if (tree == null) {
                    jsonError(HttpStatus.SERVICE_UNAVAILABLE, "no configuration yet")
                } else {
                    jsonResponse(Explanation.serializer(), tree.explain(path))
                }
            },
        )
    }

    private fun declareGone(ctx: ServiceRequestContext): HttpResponse {
        val instance = ctx.queryParam("instance")
            ?: return jsonError(HttpStatus.BAD_REQUEST, "instance: expected a name, but came none")
        log.warn { "instance_gone_stated $instance" }
        val accepted = kernel.tryExecute { core, now -> core.declareGone(now, InstanceId(instance)) }
        return if (accepted) {
            jsonResponse("{}")
        } else {
            jsonError(HttpStatus.SERVICE_UNAVAILABLE, "the daemon is overloaded")
        }
    }

    private fun requirePost(ctx: ServiceRequestContext, step: () -> HttpResponse): HttpResponse =
        if (ctx.method() == HttpMethod.POST) step() else jsonError(HttpStatus.METHOD_NOT_ALLOWED, "expected POST")

    private fun changeLogLevel(ctx: ServiceRequestContext): HttpResponse {
        val requestedLevel = ctx.queryParam("level").orEmpty()
        val level = parseLogLevel(requestedLevel)
            ?: return jsonError(
                HttpStatus.BAD_REQUEST,
                "level: expected ${LogLevel.entries.joinToString()}, but was $requestedLevel",
            )
        level.apply()
        log.info { "log_level_changed $level" }
        return jsonResponse("{}")
    }

    // A daemon without a generation holds no share of any rate limit and would refuse every request.
    private fun readiness(core: DecisionCore): HttpResponse = when {
        kernel.draining -> jsonError(HttpStatus.SERVICE_UNAVAILABLE, "draining")
        core.configuration == null -> jsonError(HttpStatus.SERVICE_UNAVAILABLE, "no configuration yet")
        !core.joined -> jsonError(HttpStatus.SERVICE_UNAVAILABLE, "not a member of a generation yet")
        else -> HttpResponse.of(HttpStatus.OK)
    }

    private fun asyncResponse(response: CompletableFuture<HttpResponse>): HttpResponse = HttpResponse.of(response)

    private fun completed(response: HttpResponse): CompletableFuture<HttpResponse> =
        CompletableFuture.completedFuture(response)

    private companion object {
        const val MAX_CHANGE_BYTES = 64L shl 20
        const val REQUEST_TIMEOUT_MILLIS = 30_000L
        const val MAX_PENDING_CHANGES = 256
        const val MAX_HISTORY_RECORDS = 1_000
        const val DEFAULT_HISTORY_RECORDS = 50
    }
}

internal val operatorJson = Json { encodeDefaults = false }

internal fun <T> jsonResponse(serializer: KSerializer<T>, value: T): HttpResponse =
    jsonResponse(operatorJson.encodeToString(serializer, value))

internal fun jsonResponse(body: String): HttpResponse = HttpResponse.of(HttpStatus.OK, MediaType.JSON_UTF_8, body)

internal fun jsonError(status: HttpStatus, message: String): HttpResponse =
    HttpResponse.of(status, MediaType.JSON_UTF_8, buildJsonObject { put("error", message) }.toString())
