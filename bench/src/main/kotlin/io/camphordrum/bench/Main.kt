package io.camphordrum.bench

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

private const val MAX_SECONDS = 600
private const val EXIT_VIOLATION = 1
private const val EXIT_CANNOT_RUN = 2

private val scenarioChoice =
    ArgType.Choice(Scenario.entries, { Scenario.valueOf(it.uppercase()) }, { it.name.lowercase() })

/** Runs one scenario: `bench SCENARIO --size kanalirada|vapnar --seed N --out DIR [--seconds N] [--port N]`. */
fun main(args: Array<String>) {
    val parser = ArgParser("bench")
    val scenario by parser.argument(scenarioChoice, "scenario", "scenario to run")
    val sizeName by parser.option(ArgType.String, "size", description = "kanalirada or vapnar").default("kanalirada")
    val seed by parser.option(ArgType.Int, "seed", description = "seed of the plan").default(1)
    val out by parser.option(ArgType.String, "out", description = "directory for results").required()
    val seconds by parser.option(ArgType.Int, "seconds", description = "length of the run").default(60)
    val warmup by parser.option(ArgType.Int, "warmup", description = "seconds of load before the run").default(45)
    val port by parser.option(ArgType.Int, "port", description = "first of 70 ports").default(18_600)
    val roundRobin by parser.option(
        ArgType.Boolean,
        "round-robin",
        description = "run the round-robin baseline first",
    ).default(false)
    parser.parse(args)
    val size = Size.read(sizeName) ?: fail("size: expected kanalirada or vapnar, but was $sizeName")
    if (seconds !in 6..MAX_SECONDS) fail("seconds: expected 6 to $MAX_SECONDS, but was $seconds")
    if (warmup !in 0..MAX_SECONDS) fail("warmup: expected 0 to $MAX_SECONDS, but was $warmup")
    val directory = Files.createDirectories(Path.of(out))
    val root = Path.of(System.getenv("CAMPHORDRUM_ROOT") ?: ".").toAbsolutePath().normalize()
    val fleet = Fleet(size, root, directory, port)
    // Child processes must not outlive an interrupted run.
    Runtime.getRuntime().addShutdownHook(Thread { fleet.close() })
    val run = Run(scenario, sizeName, size, seed.toLong(), seconds, warmup, fleet)
    val result = try {
        run.execute(roundRobin)
    } catch (e: FleetException) {
        fail(e.message.orEmpty())
    }
    Report(result, run.outcomes, size).write(directory)
    println("${result.scenario} ${result.size}: ${result.sent} requests, ${result.endings}, ${result.mustBeZero}")
    exitProcess(if (result.mustBeZero.allZero) 0 else EXIT_VIOLATION)
}

private fun fail(message: String): Nothing {
    System.err.println("bench: $message")
    exitProcess(EXIT_CANNOT_RUN)
}
