package io.camphordrum.bench

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull
import java.util.zip.CRC32

/** Is the verdict on the body of one answer. */
data class Verdict(val ending: Ending, val usedTokens: Long = 0, val detail: String = "")

/**
 * Judges a streamed answer by its text only: the stand-in engine writes the adapter version, the dispatch id and the
 * prompt's checksum into the first token and a checksum with a number into every other.
 */
object AnswerChecker {
    /** Judges the events in [text] as an answer to [arrival]. */
    fun stream(arrival: Arrival, text: String): Verdict {
        // An error event has a line with its type before its data.
        val payloads = text.lines().filter { it.startsWith("data:") }.map { it.removePrefix("data:").trim() }
        val done = payloads.lastOrNull() == "[DONE]"
        val events = payloads.filter { it != "[DONE]" }.map {
            parse(it)
                ?: return torn("unreadable event: ${it.take(80)}")
        }
        events.firstOrNull { "error" in it }?.let { return Verdict(Ending.ERROR_EVENT, 0, it.toString().take(200)) }
        if (!done) return torn("no [DONE] after ${events.size} events")
        return tokens(arrival, events.map(::textOf), events.lastOrNull()?.let(::usage) ?: 0)
    }

    private fun tokens(arrival: Arrival, tokens: List<String>, used: Long): Verdict {
        val checksum = "%08x".format(CRC32().apply { update(arrival.prompt.toByteArray()) }.value)
        val first = tokens.firstOrNull()?.split(' ') ?: return torn("no token")
        if (first.size != 3) return torn("first token: expected three parts, but was ${tokens.first()}")
        if (first[0] != arrival.adapter) {
            return Verdict(Ending.WRONG_ADAPTER, used, "expected ${arrival.adapter}, but was ${first[0]}")
        }
        val fault = when {
            first[2] != checksum -> "expected the prompt $checksum, but was ${first[2]}"
            tokens.size != arrival.maxTokens -> "expected ${arrival.maxTokens} tokens, but was ${tokens.size}"
            else -> (1 until tokens.size).firstOrNull { tokens[it] != " $checksum:$it" }
                ?.let { "token $it: expected $checksum:$it, but was ${tokens[it]}" }
        }
        return if (fault == null) Verdict(Ending.WHOLE, used) else torn(fault)
    }

    private fun torn(detail: String) = Verdict(Ending.TORN, 0, detail)

    private fun parse(text: String): JsonObject? = runCatching { Json.parseToJsonElement(text).jsonObject }.getOrNull()

    private fun textOf(event: JsonObject): String {
        val choice = (event["choices"] as? JsonArray)?.firstOrNull() as? JsonObject
        return choice?.get("text")?.jsonPrimitive?.contentOrNull.orEmpty()
    }

    private fun usage(event: JsonObject): Long? =
        (event["usage"] as? JsonObject)?.get("total_tokens")?.jsonPrimitive?.longOrNull
}
