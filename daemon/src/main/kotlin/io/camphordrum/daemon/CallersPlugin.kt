package io.camphordrum.daemon

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.Server
import io.camphordrum.core.CallerRequest
import io.camphordrum.core.CoreEffect
import io.camphordrum.core.DispatchOrder
import io.camphordrum.core.config.KeyHasher
import io.camphordrum.core.config.Snapshot
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap

/** Accepts requests of callers and sends them to endpoints. */
class CallersPlugin : Plugin {
    override val name = "callers"
    override val order = 90
    private val exchanges = ConcurrentHashMap<Long, Exchange>()
    private lateinit var kernel: Kernel
    private lateinit var clientFactory: ClientFactory
    private lateinit var endpointClient: EndpointClient
    private lateinit var server: Server

    override fun start(kernel: Kernel) {
        this.kernel = kernel
        clientFactory = endpointClientFactory().connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS).build()
        endpointClient = EndpointClient(clientFactory)
        kernel.ports.callerHandler = ::onEffect
        val settings = kernel.settings
        val hasher = KeyHasher(settings.keySecret)
        val callerService = CallerService(kernel.clock, { hasher.hash(it).hex }, ::submitRequest, ::cancelRequest)
        server = Server.builder()
            .http(InetSocketAddress(settings.callers.host, settings.callers.port))
            .maxRequestLength(settings.maxBodyBytes)
            .requestTimeoutMillis(0)
            .service("/v1/models") { _, _ ->
                HttpResponse.of(kernel.query { core, _ -> listModels(core.configuration) })
            }
            .serviceUnder("/", callerService)
            .gracefulShutdownTimeoutMillis(0, settings.shutdownSeconds * 1_000)
            .build()
        server.start().join()
    }

    override fun stop() {
        server.stop().join()
        clientFactory.close()
    }

    private fun listModels(snapshot: Snapshot?): HttpResponse {
        val body = buildJsonObject {
            put("object", "list")
            putJsonArray("data") {
                var count = 0
                snapshot?.forEachAdapter { version, base ->
                    if (count++ < MAX_MODELS) {
                        addJsonObject {
                            put("id", version.toString())
                            put("object", "model")
                            put("owned_by", base.name)
                        }
                    }
                }
            }
        }
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON_UTF_8, body.toString())
    }

    private fun submitRequest(request: CallerRequest, exchange: Exchange): Boolean {
        exchanges[request.id] = exchange
        val accepted = kernel.tryExecute { core, now -> core.requestReceived(now, request) }
        if (!accepted) exchanges.remove(request.id)
        return accepted
    }

    private fun cancelRequest(exchange: Exchange) {
        kernel.tryExecute { core, now -> core.requestCancelled(now, exchange.id) }
    }

    private fun onEffect(effect: CoreEffect.Caller) {
        when (effect) {
            is CoreEffect.Dispatch -> exchanges[effect.request]?.let { dispatch(effect.order, it) }
            is CoreEffect.CancelDispatch -> exchanges[effect.request]?.cancelDispatch?.invoke()
            is CoreEffect.Refuse -> exchanges.remove(effect.request)?.refuse(effect.refusal)
            is CoreEffect.Answer -> exchanges.remove(effect.request)?.complete(effect.answer)
            is CoreEffect.Close -> exchanges.remove(effect.request)
        }
    }

    private fun dispatch(order: DispatchOrder, exchange: Exchange) {
        endpointClient.dispatch(order, exchange) { end ->
            kernel.metrics.countDispatchEnd(end)
            kernel.execute { core, now -> core.dispatchEnded(now, order.request, order.dispatch, end) }
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 1_000L

        // Caps the list of models: with tens of thousands of adapters it serves only as an overview.
        const val MAX_MODELS = 1_000
    }
}
