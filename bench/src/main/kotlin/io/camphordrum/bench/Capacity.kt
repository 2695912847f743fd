package io.camphordrum.bench

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.system.exitProcess

/** Holds the values that a slope measured at one size, by name. */
@Serializable
internal data class CapacityPoint(val slope: String, val size: Int, val values: Map<String, Double>)

private val slopes = linkedMapOf<String, () -> List<CapacityPoint>>(
    "messages" to ::messageSlope,
    "codec" to ::codecSlope,
    "snapshot" to ::snapshotSlope,
    "change" to ::changeSlope,
    "shares" to ::shareSlope,
    "tickets" to ::ticketSlope,
    "request-adapters" to ::requestByAdapters,
    "request-endpoints" to ::requestByEndpoints,
    "request-planned" to ::requestPlanned,
    "peers" to ::peerSlope,
    "idle-owned" to ::idleByOwned,
    "idle-members" to ::idleByMembers,
    "serving" to ::servingSlope,
)

/** Measures the control-plane cost of one daemon: `capacity --out DIR [--only NAME]`. */
fun main(args: Array<String>) {
    val parser = ArgParser("capacity")
    val out by parser.option(ArgType.String, "out", description = "directory for results").required()
    val only by parser.option(ArgType.String, "only", description = "one of ${slopes.keys}")
    parser.parse(args)
    require(only == null || only in slopes) { "only: expected one of ${slopes.keys}, but was $only" }
    var anyFailed = false
    val points = slopes.filterKeys { only == null || it == only }.flatMap { (name, slope) ->
        runCatching(slope).getOrElse {
            System.err.println("capacity: $name failed: ${it.message}")
            anyFailed = true
            emptyList()
        }
    }
    val directory = Files.createDirectories(Path.of(out))
    directory.resolve("capacity.json").writeText(Json { prettyPrint = true }.encodeToString(points))
    val table = points.joinToString("\n", "| slope | size | measured |\n|---|---|---|\n", "\n") { point ->
        val values = point.values.entries.joinToString { "${it.key} ${"%.2f".format(it.value)}" }
        "| ${point.slope} | ${point.size} | $values |"
    }
    directory.resolve("capacity.md").writeText(table)
    println(table)
    if (anyFailed) exitProcess(1)
}
