package io.camphordrum.daemon

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull

/** Holds the token usage that an engine reports in its response. */
internal data class Usage(val totalTokens: Long) {
    companion object {
        fun of(response: JsonObject): Usage? {
            val usage = response["usage"] as? JsonObject ?: return null
            fun tokens(name: String) = runCatching { usage[name]?.jsonPrimitive?.longOrNull }.getOrNull()
            val total = tokens("total_tokens")
                ?: listOfNotNull(tokens("prompt_tokens"), tokens("completion_tokens")).sum()
            return Usage(total)
        }
    }
}
