package io.camphordrum.ctl

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.io.PrintStream

/** Form of what a command prints. */
enum class Output { TEXT, JSON }

/** Prints answers on [out] and faults on [err]. */
class Console(private val out: PrintStream, private val err: PrintStream) {
    var output = Output.TEXT

    /** Prints [text], or [json] when that was asked for. */
    fun answer(json: JsonElement, text: () -> String) {
        out.println(if (output == Output.JSON) pretty.encodeToString(JsonElement.serializer(), json) else text())
    }

    /** Prints a fault and returns [code]; with JSON output the fault is an object on standard output. */
    fun fault(code: ExitCode, message: String, more: JsonObjectBuilder.() -> Unit = {}): ExitCode {
        if (output == Output.JSON) {
            val json = buildJsonObject {
                put("error", message)
                put("code", code.name.lowercase())
                more()
            }
            out.println(pretty.encodeToString(JsonElement.serializer(), json))
        } else {
            err.println(message)
        }
        return code
    }
}
