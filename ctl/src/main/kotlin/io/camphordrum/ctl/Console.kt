package io.camphordrum.ctl

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.io.PrintStream

/** Output format of the results and errors of a command. */
enum class Output { TEXT, JSON }

/** Prints results to [out] and errors to [err]. */
class Console(private val out: PrintStream, private val err: PrintStream) {
    var output = Output.TEXT

    /** Prints [json] if the output format is JSON, otherwise [text]. */
    fun printResult(json: JsonElement, text: () -> String) {
        out.println(if (output == Output.JSON) prettyJson.encodeToString(JsonElement.serializer(), json) else text())
    }

    /** Prints an error and returns [code]; in JSON format the error is an object on standard output. */
    fun printError(code: ExitCode, message: String, addFields: JsonObjectBuilder.() -> Unit = {}): ExitCode {
        if (output == Output.JSON) {
            val json = buildJsonObject {
                put("error", message)
                put("code", code.name.lowercase())
                addFields()
            }
            out.println(prettyJson.encodeToString(JsonElement.serializer(), json))
        } else {
            err.println(message)
        }
        return code
    }
}
