package io.camphordrum.ctl

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.Server
import io.camphordrum.core.config.ApplyResult
import io.camphordrum.core.config.Change
import io.camphordrum.core.config.ChangeRecord
import io.camphordrum.core.config.Explanation
import io.camphordrum.core.config.Tree
import io.camphordrum.core.config.TreeDocument
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import java.net.InetSocketAddress
import java.util.concurrent.CopyOnWriteArrayList

/** Serves the operator API of a daemon with a tree in memory. */
internal class FakeDaemon : AutoCloseable {
    enum class Fault { NONE, ANSWER_LOST, UNAVAILABLE }

    @Volatile
    var tree: Tree = Tree.empty()

    @Volatile
    var fault = Fault.NONE

    /** Called once, before the next change is processed, to simulate a concurrent change by another operator. */
    @Volatile
    var beforeNextChange: (() -> Unit)? = null
    val requestBodies = CopyOnWriteArrayList<String>()
    val goneInstances = CopyOnWriteArrayList<String>()
    val records = CopyOnWriteArrayList<ChangeRecord>()

    private val server = Server.builder()
        .http(InetSocketAddress("127.0.0.1", 0))
        .gracefulShutdownTimeoutMillis(0, 0)
        .service("/v1/tree") { _, _ -> json(Json.encodeToString(TreeDocument.serializer(), document())) }
        .service("/v1/changes") { _, request ->
            HttpResponse.of(request.aggregate().thenApply { submit(it.contentUtf8()) })
        }
        .service("/v1/history") { context, _ ->
            val limit = context.queryParam("limit")!!.toInt()
            json(Json.encodeToString(ListSerializer(ChangeRecord.serializer()), records.reversed().take(limit)))
        }
        .service("/v1/status") { _, _ -> json("""{"instance":"edge-a1","revision":${tree.revision}}""") }
        .service("/v1/gone") { context, _ -> json("{}").also { goneInstances += context.queryParam("instance")!! } }
        .service("/v1/explain") { context, _ ->
            json(Json.encodeToString(Explanation.serializer(), tree.explain(context.queryParam("path")!!)))
        }
        .build()
        .apply { start().join() }

    val address = "http://127.0.0.1:${server.activeLocalPort()}"

    private fun document() = TreeDocument(tree.revision, tree.toDeclaration())

    private fun json(text: String, status: HttpStatus = HttpStatus.OK) = HttpResponse.of(status, MediaType.JSON, text)

    private fun submit(body: String): HttpResponse {
        requestBodies += body
        beforeNextChange?.let {
            beforeNextChange = null
            it()
        }
        val failure = fault.also { fault = Fault.NONE }
        if (failure ==
            Fault.UNAVAILABLE
        ) {
            return json("""{"error":"the platform cannot be reached"}""", HttpStatus.SERVICE_UNAVAILABLE)
        }
        val answer = apply(Json.decodeFromString(Change.serializer(), body))
        return if (failure == Fault.ANSWER_LOST) {
            json("""{"error":"not known"}""", HttpStatus.GATEWAY_TIMEOUT)
        } else {
            answer
        }
    }

    fun apply(change: Change): HttpResponse {
        records.firstOrNull { it.change.id == change.id }?.let { return json("""{"revision":${it.revision}}""") }
        return when (val result = tree.apply(change)) {
            is ApplyResult.Applied -> {
                records += ChangeRecord(result.tree.revision, change, result.tree.diff(tree))
                tree = result.tree
                json("""{"revision":${tree.revision}}""")
            }
            is ApplyResult.Stale -> {
                val winner = Json.encodeToString(ChangeRecord.serializer(), records.last())
                json("""{"error":"another change came first","winner":$winner}""", HttpStatus.CONFLICT)
            }
            is ApplyResult.Invalid -> json("""{"error":"${result.errors.first()}"}""", HttpStatus.BAD_REQUEST)
        }
    }

    // Does not wait: Netty's event loops take 2 s to shut down, and no test depends on it.
    override fun close() {
        server.stop()
    }
}
