package io.camphordrum.daemon

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.RequestHeaders
import io.camphordrum.daemon.edge.EdgeLog
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.longOrNull
import java.time.Duration

/**
 * Implements [ObjectStore] over the platform's HTTP object API.
 *
 * An entry of a response that cannot be read is left out and logged once.
 *
 * @param timeoutMillis response timeout in milliseconds; a watch adds its own timeout to it.
 * @param logEvent logs an event with its fields.
 */
class HttpObjectStore(
    url: String,
    factory: ClientFactory,
    private val timeoutMillis: Long,
    private val logEvent: (event: String, fields: Map<String, Any?>) -> Unit = EdgeLog::write,
) : ObjectStore {
    private val loggedEntries = LinkedHashSet<String>()
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
            val page = Json.parseToJsonElement(text).jsonObject
            val pageVersion = page.getValue("version").jsonPrimitive.long
            val elements = page.getValue("objects").jsonArray
            val objects = elements.mapNotNull { element ->
                readEntry("object_unreadable", element) { changedObject(element, pageVersion) }
            }
            // An object without a readable name still has a version that the watch moves past.
            val version = elements.maxOfOrNull { readableVersion(it, pageVersion) } ?: 0
            WatchResult.Changed(objects.toMap(), version, elements.size - objects.size)
        }
    }

    private fun changedObject(element: JsonElement, pageVersion: Long): Pair<String, Long> {
        val name = element.jsonObject.getValue("name").jsonPrimitive
        require(name.isString) { "name: expected a string" }
        val version = element.jsonObject.getValue("version").jsonPrimitive.long
        require(version in 0..pageVersion) { "version: expected 0 to $pageVersion, but was $version" }
        return name.content to version
    }

    private fun readableVersion(element: JsonElement, pageVersion: Long): Long {
        val version = ((element as? JsonObject)?.get("version") as? JsonPrimitive)?.longOrNull
        return version?.takeIf { it in 0..pageVersion } ?: 0
    }

    private fun instancesResult(response: AggregatedHttpResponse?, error: Throwable?): InstancesResult {
        if (response == null) return InstancesResult.Unavailable(reason(error))
        if (!response.status().isSuccess) return InstancesResult.Unavailable("status ${response.status()}")
        return decodeResponse(response, { InstancesResult.Unavailable(it) }) { text ->
            val elements = Json.parseToJsonElement(text).jsonArray
            InstancesResult.Listed(
                elements.mapNotNull { element ->
                    readEntry("instance_unreadable", element) {
                        json.decodeFromJsonElement(ListedInstance.serializer(), element)
                    }
                },
            )
        }
    }

    private fun <T> decodeResponse(
        response: AggregatedHttpResponse,
        onError: (String) -> T,
        decode: (String) -> T,
    ): T = try {
        val text = response.contentUtf8()
        // The parser recurses once a level.
        require(jsonNestsAtMost(text, MAX_JSON_DEPTH)) { "expected JSON nested at most $MAX_JSON_DEPTH deep" }
        decode(text)
    } catch (e: Exception) {
        onError("cannot decode the response: ${e.message?.take(MAX_LOGGED_CHARS)}")
    }

    /** Returns what [read] returns, or null after a log line if the entry cannot be read. */
    private fun <T : Any> readEntry(event: String, element: JsonElement, read: () -> T): T? = try {
        read()
    } catch (e: Exception) {
        val text = element.toString().take(MAX_LOGGED_CHARS)
        if (isNewOddEntry("$event $text")) {
            logEvent(event, mapOf("entry" to text, "reason" to e.message?.take(MAX_LOGGED_CHARS)))
        }
        null
    }

    private fun isNewOddEntry(key: String): Boolean = synchronized(loggedEntries) {
        if (!loggedEntries.add(key)) return false
        if (loggedEntries.size > MAX_LOGGED_ENTRIES) loggedEntries.remove(loggedEntries.first())
        true
    }

    private fun reason(error: Throwable?) = error?.let { "${it.javaClass.simpleName}: ${it.message}" } ?: "no response"

    private companion object {
        const val MAX_VALUE_BYTES = 8L shl 20
        const val MAX_JSON_DEPTH = 64
        const val MAX_LOGGED_CHARS = 200
        const val MAX_LOGGED_ENTRIES = 1_024
        val json = Json { ignoreUnknownKeys = true }
    }
}
