package io.camphordrum.standins

import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

private const val USAGE = """usage: engine|service|platform --port N [options]
  all       --parent PID            exit when that process ends
  engine    --slots N --step-ms X --step-ms-per-running X --load-ms N --metrics-lag-ms N --max-running N
            --warmup-requests N --cold-running N --cold-fails true --ignore-fencing true --loads-shared URL
  service   --delay-ms N"""

/** Starts one stand-in in this process, prints its kind and URL, and runs until the process is stopped. */
fun main(args: Array<String>) {
    val options = args.drop(1).chunked(2).filter { it.size == 2 }.associate { it[0] to it[1] }
    val standIn = try {
        start(args.firstOrNull(), options)
    } catch (e: NumberFormatException) {
        fail("expected a number, but ${e.message}\n$USAGE")
    } catch (e: Exception) {
        fail("port ${options["--port"]}: cannot listen: ${generateSequence<Throwable>(e) { it.cause }.last().message}")
    }
    options["--parent"]?.let { pid ->
        val parent = ProcessHandle.of(pid.toLong())
        if (parent.isEmpty) exitProcess(0)
        parent.get().onExit().thenRun { Runtime.getRuntime().halt(0) }
    }
    println("${args[0]} ${standIn.url}")
    CountDownLatch(1).await()
}

private fun start(kind: String?, options: Map<String, String>): StandIn {
    val port = options["--port"]?.toInt() ?: 0
    return when (kind) {
        "engine" -> Engine(engineOptions(options), port).start()
        "service" -> Service(port, options["--delay-ms"]?.toLong() ?: 20).start()
        "platform" -> Platform(port).start()
        else -> fail(USAGE)
    }
}

private fun engineOptions(options: Map<String, String>): EngineOptions {
    val defaults = EngineOptions()
    return EngineOptions(
        slots = options["--slots"]?.toInt() ?: defaults.slots,
        maxRunning = options["--max-running"]?.toInt() ?: defaults.maxRunning,
        stepMillis = options["--step-ms"]?.toDouble() ?: defaults.stepMillis,
        stepMillisPerRunning = options["--step-ms-per-running"]?.toDouble() ?: defaults.stepMillisPerRunning,
        loadMillis = options["--load-ms"]?.toLong() ?: defaults.loadMillis,
        metricsLagMillis = options["--metrics-lag-ms"]?.toLong() ?: defaults.metricsLagMillis,
        enforceFencing = options["--ignore-fencing"] != "true",
        warmupRequests = options["--warmup-requests"]?.toInt() ?: defaults.warmupRequests,
        coldRunning = options["--cold-running"]?.toInt() ?: defaults.coldRunning,
        coldFails = options["--cold-fails"] == "true",
        sharedLoadCounterUrl = options["--loads-shared"],
    )
}

private fun fail(message: String): Nothing {
    System.err.println(message)
    exitProcess(2)
}
