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
 * Speaks the platform's HTTP object API.
 *
 * @param timeoutMillis longest wait for an answer, in milliseconds; a watch waits longer by its own time.
 */
class HttpObjectStore(url: String, factory: ClientFactory, private val timeoutMillis: Long) : ObjectStore {
    private val client: WebClient = WebClient.builder(url)
        .factory(factory)
        .responseTimeoutMillis(timeoutMillis)
        .maxResponseLength(MAX_VALUE_BYTES)
        .build()

    override fun read(name: String, onEnd: (ReadOutcome) -> Unit) {
        client.get("/objects/$name").aggregate().handle { answer, error -> onEnd(readOutcome(answer, error)) }
    }

    override fun write(name: String, value: ByteArray, version: Long, onEnd: (WriteEnd) -> Unit) {
        val headers = RequestHeaders.builder(HttpMethod.PUT, "/objects/$name").set("if-version", "$version").build()
        val request = HttpRequest.of(headers, HttpData.wrap(value))
        client.execute(request).aggregate().handle { answer, error -> onEnd(writeEnd(answer, error)) }
    }

    override fun watch(prefix: String, version: Long, timeoutMillis: Long, onEnd: (WatchOutcome) -> Unit) {
        client.prepare()
            .get("/objects")
            .queryParam("prefix", prefix)
            .queryParam("watch", version)
            .queryParam("timeoutMs", timeoutMillis)
            .responseTimeout(Duration.ofMillis(timeoutMillis + this.timeoutMillis))
            .execute()
            .aggregate()
            .handle { answer, error -> onEnd(watchOutcome(answer, error)) }
    }

    override fun instances(onEnd: (InstancesOutcome) -> Unit) {
        client.get("/instances").aggregate().handle { answer, error -> onEnd(instancesOutcome(answer, error)) }
    }

    private fun readOutcome(answer: AggregatedHttpResponse?, error: Throwable?): ReadOutcome {
        if (answer == null) return ReadOutcome.Unavailable(reason(error))
        if (answer.status().code() == 404) return ReadOutcome.Missing
        val version = answer.headers().get("x-version")?.toLongOrNull()
        if (!answer.status().isSuccess || version == null) return ReadOutcome.Unavailable("status ${answer.status()}")
        return ReadOutcome.Found(answer.content().array(), version)
    }

    private fun writeEnd(answer: AggregatedHttpResponse?, error: Throwable?): WriteEnd {
        if (answer == null) {
            // Only a request that never left this process certainly had no effect.
            if (error is UnprocessedRequestException) return WriteEnd.Unavailable(reason(error))
            return WriteEnd.Unknown(reason(error))
        }
        val version = answer.headers().get("x-version")?.toLongOrNull()
        return when {
            answer.status().isSuccess && version != null -> WriteEnd.Applied(version)
            answer.status().code() == 409 -> WriteEnd.Conflict
            answer.status().isClientError -> WriteEnd.Unavailable("status ${answer.status()}")
            else -> WriteEnd.Unknown("status ${answer.status()}")
        }
    }

    private fun watchOutcome(answer: AggregatedHttpResponse?, error: Throwable?): WatchOutcome {
        if (answer == null) return WatchOutcome.Unavailable(reason(error))
        if (!answer.status().isSuccess) return WatchOutcome.Unavailable("status ${answer.status()}")
        return decoded(answer, { WatchOutcome.Unavailable(it) }) { text ->
            WatchOutcome.Changed(
                Json.parseToJsonElement(text).jsonObject.getValue("objects").jsonArray.associate { line ->
                    val entry = line.jsonObject
                    entry.getValue("name").jsonPrimitive.content to entry.getValue("version").jsonPrimitive.long
                },
            )
        }
    }

    private fun instancesOutcome(answer: AggregatedHttpResponse?, error: Throwable?): InstancesOutcome {
        if (answer == null) return InstancesOutcome.Unavailable(reason(error))
        if (!answer.status().isSuccess) return InstancesOutcome.Unavailable("status ${answer.status()}")
        return decoded(answer, { InstancesOutcome.Unavailable(it) }) { text ->
            InstancesOutcome.Listed(json.decodeFromString(ListSerializer(ListedInstance.serializer()), text))
        }
    }

    private fun <T> decoded(answer: AggregatedHttpResponse, bad: (String) -> T, decode: (String) -> T): T = try {
        decode(answer.contentUtf8())
    } catch (e: SerializationException) {
        bad("unreadable answer: ${e.message}")
    } catch (e: IllegalArgumentException) {
        bad("unreadable answer: ${e.message}")
    } catch (e: NoSuchElementException) {
        bad("incomplete answer: ${e.message}")
    }

    private fun reason(error: Throwable?) = error?.let { "${it.javaClass.simpleName}: ${it.message}" } ?: "no answer"

    private companion object {
        const val MAX_VALUE_BYTES = 8L shl 20
        val json = Json { ignoreUnknownKeys = true }
    }
}
