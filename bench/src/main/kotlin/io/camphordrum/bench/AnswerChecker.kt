package io.camphordrum.bench

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull
import java.util.zip.CRC32

/** Holds the result of checking the body of one answer. */
data class CheckResult(val ending: Ending, val usedTokens: Long = 0, val detail: String = "")

/**
 * Checks a streamed answer by its text only: the engine stand-in writes the adapter version, the dispatch id and the
 * checksum of the prompt into the first token, and the checksum and the token's number into each other token.
 */
object AnswerChecker {
    /** Checks the server-sent events in [text] as the answer to [arrival]. */
    fun checkStream(arrival: Arrival, text: String): CheckResult {
        // Lines other than data are skipped; the type of an error event stands in such a line.
        val payloads = text.lines().filter { it.startsWith("data:") }.map { it.removePrefix("data:").trim() }
        val complete = payloads.lastOrNull() == "[DONE]"
        val events = payloads.filter { it != "[DONE]" }.map {
            parseEvent(it)
                ?: return torn("invalid JSON in event: ${it.take(80)}")
        }
        events.firstOrNull { "error" in it }?.let { return CheckResult(Ending.ERROR_EVENT, 0, it.toString().take(200)) }
        if (!complete) return torn("no [DONE] after ${events.size} events")
        return checkTokens(arrival, events.map(::textOf), events.lastOrNull()?.let(::usedTokensOf) ?: 0)
    }

    private fun checkTokens(arrival: Arrival, tokens: List<String>, usedTokens: Long): CheckResult {
        val checksum = "%08x".format(CRC32().apply { update(arrival.prompt.toByteArray()) }.value)
        val firstParts = tokens.firstOrNull()?.split(' ') ?: return torn("no token")
        if (firstParts.size != 3) return torn("first token: expected three parts, but was ${tokens.first()}")
        if (firstParts[0] != arrival.adapter) {
            return CheckResult(
                Ending.WRONG_ADAPTER,
                usedTokens,
                "expected ${arrival.adapter}, but was ${firstParts[0]}",
            )
        }
        val mismatch = when {
            firstParts[2] != checksum -> "expected prompt checksum $checksum, but was ${firstParts[2]}"
            tokens.size != arrival.maxTokens -> "expected ${arrival.maxTokens} tokens, but was ${tokens.size}"
            else -> (1 until tokens.size).firstOrNull { tokens[it] != " $checksum:$it" }
                ?.let { "token $it: expected $checksum:$it, but was ${tokens[it]}" }
        }
        return if (mismatch == null) CheckResult(Ending.WHOLE, usedTokens) else torn(mismatch)
    }

    private fun torn(detail: String) = CheckResult(Ending.TORN, 0, detail)

    private fun parseEvent(text: String): JsonObject? =
        runCatching { Json.parseToJsonElement(text).jsonObject }.getOrNull()

    private fun textOf(event: JsonObject): String {
        val choice = (event["choices"] as? JsonArray)?.firstOrNull() as? JsonObject
        return choice?.get("text")?.jsonPrimitive?.contentOrNull.orEmpty()
    }

    private fun usedTokensOf(event: JsonObject): Long? =
        (event["usage"] as? JsonObject)?.get("total_tokens")?.jsonPrimitive?.longOrNull
}
