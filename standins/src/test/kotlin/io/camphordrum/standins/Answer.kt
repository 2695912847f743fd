package io.camphordrum.standins

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import java.util.zip.CRC32

/**
 * Builds the OpenAI-style answer to one request.
 *
 * The first token is `<adapter version> <dispatch id> <prompt checksum>`, and each further one ` <checksum>:<index>`.
 * A caller that knows its prompt can therefore detect an answer of another request and a truncated or repeated answer.
 */
internal class Answer(val chat: Boolean, val adapter: String, val dispatch: String, body: JsonObject) {
    private val prompt = promptOf(body)
    private val checksum = "%08x".format(CRC32().apply { update(prompt.toByteArray()) }.value)
    private val promptTokens = prompt.length / 4 + 1

    val tokens = minOf(
        body.int("max_completion_tokens") ?: body.int("max_tokens") ?: DEFAULT_TOKENS,
        body.int("stop_after") ?: Int.MAX_VALUE,
    ).coerceAtLeast(1)
    val streamed = body.boolean("stream") ?: false

    fun text(index: Int): String = if (index == 0) "$adapter $dispatch $checksum" else " $checksum:$index"

    fun whole(): JsonObject = envelope(if (chat) "chat.completion" else "text_completion") {
        val text = (0 until tokens).joinToString("") { text(it) }
        put("choices", choice("message", text, true))
        put("usage", usage())
    }

    fun chunk(index: Int): JsonObject = envelope(if (chat) "chat.completion.chunk" else "text_completion") {
        val last = index == tokens - 1
        put("choices", choice("delta", text(index), last))
        if (last) put("usage", usage())
    }

    private fun envelope(kind: String, fill: JsonObjectBuilder.() -> Unit) = buildJsonObject {
        put("id", "cmpl-$dispatch")
        put("object", kind)
        put("model", adapter)
        fill()
    }

    private fun choice(field: String, text: String, last: Boolean): JsonArray = buildJsonArray {
        add(
            buildJsonObject {
                put("index", 0)
                if (chat) put(field, buildJsonObject { put("content", text) }) else put("text", text)
                if (last) put("finish_reason", "length") else put("finish_reason", JsonNull)
            },
        )
    }

    private fun usage() = buildJsonObject {
        put("prompt_tokens", promptTokens)
        put("completion_tokens", tokens)
        put("total_tokens", promptTokens + tokens)
    }

    private fun promptOf(body: JsonObject): String {
        val messages = body["messages"] as? JsonArray
            ?: return body["prompt"]?.let { if (it is JsonArray) it.toString() else it.jsonPrimitive.content }.orEmpty()
        return messages.joinToString("\n") { it.jsonObject["content"]?.jsonPrimitive?.contentOrNull.orEmpty() }
    }

    private companion object {
        const val DEFAULT_TOKENS = 16
    }
}
