package io.camphordrum.daemon

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Holds an address to listen on; port 0 is refused because peers and load balancers need a fixed port. */
@Serializable
data class Listen(val host: String = "127.0.0.1", val port: Int)

/**
 * Holds the settings of one daemon process, read at start from JSON with comments.
 *
 * ```json
 * {
 *   "instance": "edge-a1", "dataCentre": "a", "region": "south",
 *   "callers": { "port": 8081 }, "operators": { "port": 8091 }, "peers": { "port": 8101 },
 *   "seeds": ["127.0.0.1:8102"], // peers to contact while the platform is unreachable
 *   "platformUrl": "http://127.0.0.1:9000", "keySecret": "change me"
 * }
 * ```
 *
 * @property keySecret the fleet's secret for keyed hashes of callers' keys, at least 8 characters.
 * @property shutdownSeconds longest time that a graceful shutdown waits for running requests, in seconds.
 * @property loadReportMillis interval between two reads of an endpoint's load metrics, in milliseconds.
 * @property maxBodyBytes largest request body accepted from a caller, in bytes.
 * @property logLevel level of the daemon's own log lines; it can be changed later on the operator address.
 * @property ringSlots capacity of the ring buffer of the decision thread; a power of two.
 */
@Serializable
data class Settings(
    val instance: String,
    val dataCentre: String,
    val region: String = "default",
    val callers: Listen,
    val operators: Listen,
    val peers: Listen,
    val seeds: List<String> = emptyList(),
    val platformUrl: String,
    val keySecret: String,
    val shutdownSeconds: Long = 120,
    val loadReportMillis: Long = 250,
    val instanceListMillis: Long = 2_000,
    val platformTimeoutMillis: Long = 2_000,
    val maxBodyBytes: Long = 1L shl 20,
    val ringSlots: Int = 1 shl 14,
    val logLevel: String = "INFO",
) {
    companion object
}

/** Represents the result of reading a settings file. */
sealed interface SettingsResult {
    /** The file is valid. */
    data class Valid(val settings: Settings) : SettingsResult

    /** The file is invalid; [message] contains the place, what was expected and the value found. */
    data class Invalid(val message: String) : SettingsResult
}

@OptIn(ExperimentalSerializationApi::class)
private val settingsJson = Json {
    allowComments = true
    allowTrailingComma = true
}

/** Reads and checks the settings in [file]. */
fun Settings.Companion.read(file: Path): SettingsResult {
    val text = try {
        Files.readString(file)
    } catch (e: IOException) {
        return SettingsResult.Invalid("$file: expected a readable settings file, but $e")
    }
    return parse(text, file.toString())
}

/** Parses and checks the settings in [text]; [source] names their origin in messages. */
fun Settings.Companion.parse(text: String, source: String): SettingsResult {
    val settings = try {
        settingsJson.decodeFromString(Settings.serializer(), text)
    } catch (e: SerializationException) {
        return SettingsResult.Invalid("$source: ${withLineNumber(e.message.orEmpty(), text)}")
    } catch (e: IllegalArgumentException) {
        return SettingsResult.Invalid("$source: ${e.message}")
    }
    val error = settings.firstError() ?: return SettingsResult.Valid(settings)
    return SettingsResult.Invalid("$source: $error")
}

// kotlinx.serialization reports a character offset; operators need a line number.
private fun withLineNumber(message: String, text: String): String {
    val firstLine = message.lineSequence().first()
    val offset = Regex("offset (\\d+)").find(firstLine)?.groupValues?.get(1)?.toIntOrNull() ?: return firstLine
    val line = text.take(offset).count { it == '\n' } + 1
    return "line $line: $firstLine"
}

private fun Settings.firstError(): String? {
    val listenAddresses = listOf("callers" to callers, "operators" to operators, "peers" to peers)
    for ((name, listen) in listenAddresses) {
        if (listen.port !in 1..65_535) return "$name.port: expected 1 to 65535, but was ${listen.port}"
    }
    return when {
        instance.isBlank() -> "instance: expected a name, but it was blank"
        dataCentre.isBlank() -> "dataCentre: expected a name, but it was blank"
        keySecret.length < MIN_SECRET_CHARS ->
            "keySecret: expected at least $MIN_SECRET_CHARS characters, but was ${keySecret.length}"
        Integer.bitCount(ringSlots) != 1 -> "ringSlots: expected a power of two, but was $ringSlots"
        parseLogLevel(logLevel) == null ->
            "logLevel: expected one of ${LogLevel.entries.joinToString()}, but was $logLevel"
        !platformUrl.startsWith("http") -> "platformUrl: expected an http or https address, but was $platformUrl"
        loadReportMillis < 10 -> "loadReportMillis: expected at least 10, but was $loadReportMillis"
        else -> seeds.firstOrNull { !it.contains(':') }?.let { "seeds: expected host:port, but was $it" }
    }
}

private const val MIN_SECRET_CHARS = 8
