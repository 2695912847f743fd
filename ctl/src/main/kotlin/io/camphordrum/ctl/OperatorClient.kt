package io.camphordrum.ctl

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.QueryParams
import io.camphordrum.core.config.Change
import io.camphordrum.core.config.ChangeRecord
import io.camphordrum.core.config.Explanation
import io.camphordrum.core.config.TreeDocument
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import java.time.Duration

/**
 * Sends requests to the operator address of one daemon.
 *
 * ```kotlin
 * val tree = OperatorClient("http://127.0.0.1:8091").tree()
 * ```
 */
class OperatorClient(private val server: String, timeout: Duration = Duration.ofSeconds(30)) {
    private val client = WebClient.builder(server).responseTimeout(timeout).maxResponseLength(MAX_ANSWER_BYTES).build()

    /** Reads the whole tree. */
    fun tree(): ClientResult<TreeDocument> = get("/v1/tree", TreeDocument.serializer())

    /** Reads the newest [limit] change records, the newest first. */
    fun history(limit: Int): ClientResult<List<ChangeRecord>> =
        get("/v1/history?limit=$limit", ListSerializer(ChangeRecord.serializer()))

    /** Reads the daemon's status. */
    fun status(): ClientResult<JsonObject> = get("/v1/status", JsonObject.serializer())

    /** Reads the settings in force at [path] and the branch that each one comes from. */
    fun explain(path: String): ClientResult<Explanation> =
        get("/v1/explain?${QueryParams.of("path", path).toQueryString()}", Explanation.serializer())

    /** Declares that the instance [name] has terminated permanently, so that its rights may be revoked. */
    fun declareGone(name: String): ClientResult<JsonObject> = try {
        val path = "/v1/gone?${QueryParams.of("instance", name).toQueryString()}"
        decode(client.blocking().execute(HttpRequest.of(HttpMethod.POST, path)), JsonObject.serializer())
    } catch (e: Exception) {
        ClientResult.Unavailable("$server: ${rootCauseMessage(e)}")
    }

    /**
     * Submits [change] and returns its revision.
     *
     * If no answer arrives, the same change is sent again; its id makes the retry idempotent.
     */
    fun submit(change: Change): ClientResult<Long> {
        var unknownOutcome: ClientResult<Long> = ClientResult.Unknown("no answer")
        var mayHaveTakenEffect = false
        repeat(MAX_ATTEMPTS) {
            val result = submitOnce(change)
            when (result) {
                is ClientResult.Unknown -> mayHaveTakenEffect = true
                // After a missing answer, "unavailable" does not show whether an earlier attempt took effect.
                is ClientResult.Unavailable -> if (!mayHaveTakenEffect) return result
                else -> return result
            }
            unknownOutcome =
                ClientResult.Unknown("the outcome of change ${change.id} is not known: ${failureMessage(result)}")
        }
        return unknownOutcome
    }

    private fun failureMessage(result: ClientResult<Long>): String = when (result) {
        is ClientResult.Unknown -> result.message
        is ClientResult.Unavailable -> result.message
        else -> "no answer"
    }

    private fun submitOnce(change: Change): ClientResult<Long> {
        val body = lenientJson.encodeToString(Change.serializer(), change)
        val answer = try {
            val request = HttpRequest.of(HttpMethod.POST, "/v1/changes", MediaType.JSON_UTF_8, body)
            client.blocking().execute(request)
        } catch (e: Exception) {
            val reason = "$server: ${rootCauseMessage(e)}"
            return if (requestNotSent(e)) ClientResult.Unavailable(reason) else ClientResult.Unknown(reason)
        }
        if (answer.status().code() == GATEWAY_TIMEOUT) return ClientResult.Unknown(errorText(answer))
        return decode(answer, JsonObject.serializer()).map { it.getValue("revision").toString().toLong() }
    }

    private fun <T> get(path: String, type: DeserializationStrategy<T>): ClientResult<T> = try {
        decode(client.blocking().get(path), type)
    } catch (e: Exception) {
        ClientResult.Unavailable("$server: ${rootCauseMessage(e)}")
    }

    private fun <T> decode(answer: AggregatedHttpResponse, type: DeserializationStrategy<T>): ClientResult<T> =
        when (answer.status().code()) {
            in 200..299 -> try {
                ClientResult.Success(lenientJson.decodeFromString(type, answer.contentUtf8()))
            } catch (e: SerializationException) {
                ClientResult.Refused("$server: expected an answer in the format of this version, but ${firstLine(e)}")
            }
            409 -> ClientResult.Conflict(winningChange(answer))
            in 400..499 -> ClientResult.Refused(errorText(answer))
            else -> ClientResult.Unavailable("$server: ${answer.status()}: ${errorText(answer)}")
        }

    private fun winningChange(answer: AggregatedHttpResponse): ChangeRecord? = try {
        body(answer)["winner"]?.let { lenientJson.decodeFromJsonElement(ChangeRecord.serializer(), it) }
    } catch (e: SerializationException) {
        null
    }

    private fun errorText(answer: AggregatedHttpResponse): String = try {
        val error = body(answer)["error"]
        ((error as? JsonObject)?.get("message") ?: error as? JsonPrimitive)?.let { (it as JsonPrimitive).contentOrNull }
    } catch (e: SerializationException) {
        null
    } ?: answer.contentUtf8().ifBlank { answer.status().toString() }

    private fun body(answer: AggregatedHttpResponse): JsonObject =
        lenientJson.decodeFromString(JsonObject.serializer(), answer.contentUtf8())

    private companion object {
        const val MAX_ATTEMPTS = 3
        const val GATEWAY_TIMEOUT = 504

        // The tree document of 78,000 adapters is below 10 MB; the history may contain their import and its undo edits.
        const val MAX_ANSWER_BYTES = 64L shl 20
    }
}

private fun causes(e: Throwable): Sequence<Throwable> = generateSequence(e) { it.cause }

// Armeria throws this exception only if no byte of the request has been sent.
private fun requestNotSent(e: Throwable): Boolean =
    causes(e).any { it is com.linecorp.armeria.client.UnprocessedRequestException }

private fun rootCauseMessage(e: Throwable): String = causes(e).last().let { it.message ?: it.javaClass.simpleName }

internal fun firstLine(e: Exception): String = e.message.orEmpty().lineSequence().first()
