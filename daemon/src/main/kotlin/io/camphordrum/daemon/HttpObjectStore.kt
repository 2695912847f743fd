package io.camphordrum.daemon

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.RequestHeaders
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import java.time.Duration

/**
 * Implements [ObjectStore] over the platform's HTTP object API.
 *
 * @param timeoutMillis response timeout in milliseconds; a watch adds its own timeout to it.
 */
class HttpObjectStore(url: String, factory: ClientFactory, private val timeoutMillis: Long) : ObjectStore {
    private val client: WebClient = WebClient.builder(url)
        .factory(factory)
        .responseTimeoutMillis(timeoutMillis)
        .maxResponseLength(MAX_VALUE_BYTES)
        .build()

    override fun read(name: String, onResult: (ReadResult) -> Unit) {
        client.get("/objects/$name").aggregate().handle { response, error -> onResult(readResult(response, error)) }
    }

    override fun write(name: String, value: ByteArray, version: Long, onResult: (WriteResult) -> Unit) {
        val headers = RequestHeaders.builder(HttpMethod.PUT, "/objects/$name").set("if-version", "$version").build()
        val request = HttpRequest.of(headers, HttpData.wrap(value))
        client.execute(request).aggregate().handle { response, error -> onResult(writeResult(response, error)) }
    }

    override fun watch(prefix: String, version: Long, timeoutMillis: Long, onResult: (WatchResult) -> Unit) {
        client.prepare()
            .get("/objects")
            .queryParam("prefix", prefix)
            .queryParam("watch", version)
            .queryParam("timeoutMs", timeoutMillis)
            .responseTimeout(Duration.ofMillis(timeoutMillis + this.timeoutMillis))
            .execute()
            .aggregate()
            .handle { response, error -> onResult(watchResult(response, error)) }
    }

    override fun instances(onResult: (InstancesResult) -> Unit) {
        client.get("/instances").aggregate().handle { response, error -> onResult(instancesResult(response, error)) }
    }

    private fun readResult(response: AggregatedHttpResponse?, error: Throwable?): ReadResult {
        if (response == null) return ReadResult.Unavailable(reason(error))
        if (response.status().code() == 404) return ReadResult.Missing
        val version = response.headers().get("x-version")?.toLongOrNull()
        if (!response.status().isSuccess ||
            version == null
        ) {
            return ReadResult.Unavailable("status ${response.status()}")
        }
        return ReadResult.Found(response.content().array(), version)
    }

    private fun writeResult(response: AggregatedHttpResponse?, error: Throwable?): WriteResult {
        if (response == null) {
            // Only a request that was never sent is certain to have had no effect.
            if (error is UnprocessedRequestException) return WriteResult.Unavailable(reason(error))
            return WriteResult.Unknown(reason(error))
        }
        val version = response.headers().get("x-version")?.toLongOrNull()
        return when {
            response.status().isSuccess && version != null -> WriteResult.Applied(version)
            response.status().code() == 409 -> WriteResult.Conflict
            response.status().isClientError -> WriteResult.Unavailable("status ${response.status()}")
            else -> WriteResult.Unknown("status ${response.status()}")
        }
    }

    private fun watchResult(response: AggregatedHttpResponse?, error: Throwable?): WatchResult {
        if (response == null) return WatchResult.Unavailable(reason(error))
        if (!response.status().isSuccess) return WatchResult.Unavailable("status ${response.status()}")
        return decodeResponse(response, { WatchResult.Unavailable(it) }) { text ->
            WatchResult.Changed(
                Json.parseToJsonElement(text).jsonObject.getValue("objects").jsonArray.associate { element ->
                    val changedObject = element.jsonObject
                    changedObject.getValue("name").jsonPrimitive.content to
                        changedObject.getValue("version").jsonPrimitive.long
                },
            )
        }
    }

    private fun instancesResult(response: AggregatedHttpResponse?, error: Throwable?): InstancesResult {
        if (response == null) return InstancesResult.Unavailable(reason(error))
        if (!response.status().isSuccess) return InstancesResult.Unavailable("status ${response.status()}")
        return decodeResponse(response, { InstancesResult.Unavailable(it) }) { text ->
            InstancesResult.Listed(json.decodeFromString(ListSerializer(ListedInstance.serializer()), text))
        }
    }

    private fun <T> decodeResponse(
        response: AggregatedHttpResponse,
        onError: (String) -> T,
        decode: (String) -> T,
    ): T = try {
        decode(response.contentUtf8())
    } catch (e: SerializationException) {
        onError("cannot decode the response: ${e.message}")
    } catch (e: IllegalArgumentException) {
        onError("cannot decode the response: ${e.message}")
    } catch (e: NoSuchElementException) {
        onError("field missing in the response: ${e.message}")
    }

    private fun reason(error: Throwable?) = error?.let { "${it.javaClass.simpleName}: ${it.message}" } ?: "no response"

    private companion object {
        const val MAX_VALUE_BYTES = 8L shl 20
        val json = Json { ignoreUnknownKeys = true }
    }
}
