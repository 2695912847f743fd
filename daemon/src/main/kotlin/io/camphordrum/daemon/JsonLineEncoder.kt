package io.camphordrum.daemon

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.ThrowableProxyUtil
import ch.qos.logback.core.encoder.EncoderBase
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.time.Instant

/** Encodes each log event as one line of JSON: time, message, logger, thread, level, then its key-value pairs. */
internal class JsonLineEncoder : EncoderBase<ILoggingEvent>() {
    override fun headerBytes(): ByteArray = NO_BYTES

    override fun footerBytes(): ByteArray = NO_BYTES

    override fun encode(event: ILoggingEvent): ByteArray {
        val fields = LinkedHashMap<String, JsonElement>()
        fields["time"] = JsonPrimitive(Instant.ofEpochMilli(event.timeStamp).toString())
        fields["message"] = JsonPrimitive(event.formattedMessage)
        fields["logger_name"] = JsonPrimitive(event.loggerName)
        fields["thread_name"] = JsonPrimitive(event.threadName)
        fields["level"] = JsonPrimitive(event.level.toString())
        for (pair in event.keyValuePairs.orEmpty()) fields[pair.key] = toJson(pair.value)
        event.throwableProxy?.let { fields["stack_trace"] = JsonPrimitive(ThrowableProxyUtil.asString(it)) }
        return (JsonObject(fields).toString() + "\n").toByteArray()
    }

    private fun toJson(value: Any?): JsonElement = when (value) {
        null -> JsonNull
        is Number -> JsonPrimitive(value)
        is Boolean -> JsonPrimitive(value)
        is Map<*, *> -> JsonObject(value.entries.associate { (key, element) -> key.toString() to toJson(element) })
        is Iterable<*> -> JsonArray(value.map(::toJson))
        else -> JsonPrimitive(value.toString())
    }

    private companion object {
        val NO_BYTES = ByteArray(0)
    }
}
