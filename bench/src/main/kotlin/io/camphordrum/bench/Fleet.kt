package io.camphordrum.bench

import com.linecorp.armeria.client.WebClient
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration

/** Reports that a fleet cannot be started or controlled. */
class FleetException(message: String) : Exception(message)

/** Runs the stand-ins and daemons of [size] on loopback, from port [firstPort] on, with logs below [out]. */
class Fleet(private val size: Size, private val root: Path, private val out: Path, private val firstPort: Int) :
    AutoCloseable {
    private val clients = HashMap<String, WebClient>()
    private val logDirectory = Files.createDirectories(out.resolve("log"))
    private val standInProcesses = ArrayList<ChildProcess>()
    private val daemonProcesses = ArrayList<ChildProcess>()

    /** The URL of the platform stand-in. */
    val platform = url(firstPort)

    /** The URLs of the engine stand-ins. */
    val engines = (0 until size.engines).map { url(firstPort + ENGINE_PORT_OFFSET + it) }

    /** The URLs of the service stand-ins. */
    val services = (0 until size.services).map { url(firstPort + SERVICE_PORT_OFFSET + it) }

    /** The URLs of the daemons. */
    val daemonAddresses = (0 until size.daemons).map {
        DaemonAddress(url(firstPort + CALLERS_PORT_OFFSET + it), url(firstPort + OPERATORS_PORT_OFFSET + it))
    }

    private fun url(port: Int) = "http://127.0.0.1:$port"

    /** Starts the stand-ins and fills the platform's instance list. */
    fun startStandIns() {
        startStandIn("platform", 0, emptyList())
        val options = listOf("--slots", "${size.slots}", "--loads-shared", platform)
        for (i in engines.indices) startStandIn("engine", ENGINE_PORT_OFFSET + i, options)
        for (i in services.indices) startStandIn("service", SERVICE_PORT_OFFSET + i, emptyList())
        for (address in listOf(platform) + engines + services) awaitSuccess(address, "/control/record")
        sendControl(platform, instanceList())
    }

    private fun startStandIn(kind: String, offset: Int, options: List<String>) {
        val arguments = listOf(kind, "--port", "${firstPort + offset}", "--parent", "${ProcessHandle.current().pid()}")
        val command =
            ChildProcess.javaCommand(root, "standins", "io.camphordrum.standins.MainKt", 128, arguments + options)
        standInProcesses += ChildProcess(command, logDirectory.resolve("$kind-$offset.log")).also { it.start() }
    }

    /** Starts the daemons and applies the configuration tree. */
    fun startDaemons() {
        for (i in daemonAddresses.indices) {
            val settingsFile = out.resolve("daemon-$i.json")
            Files.writeString(settingsFile, daemonSettings(i).toString())
            val arguments = listOf("--config", settingsFile.toString())
            val command = ChildProcess.javaCommand(root, "daemon", "io.camphordrum.daemon.MainKt", 256, arguments)
            daemonProcesses += ChildProcess(command, logDirectory.resolve("daemon-$i.log")).also { it.start() }
        }
        for (address in daemonAddresses) awaitSuccess(address.operatorsUrl, "/healthz")
        val treeFile = out.resolve("tree.json")
        Files.writeString(
            treeFile,
            Json.encodeToString(io.camphordrum.core.config.Declaration.serializer(), treeOf(size, KEY_SECRET)),
        )
        runOperatorTool("apply", treeFile.toString())
        for (address in daemonAddresses) awaitSuccess(address.operatorsUrl, "/readyz")
    }

    /** Runs the operators' tool; fails unless it exits with status 0. */
    fun runOperatorTool(vararg arguments: String) {
        val allArguments = arguments.toList() +
            listOf("--who", "bench", "--server", daemonAddresses.first().operatorsUrl)
        val logFile = logDirectory.resolve("operator.log")
        val tool =
            ChildProcess(ChildProcess.javaCommand(root, "ctl", "io.camphordrum.ctl.MainKt", 256, allArguments), logFile)
        tool.start()
        val status = tool.awaitExit(OPERATOR_TOOL_TIMEOUT_SECONDS)
        if (status !=
            0
        ) {
            throw FleetException("camphordrum ${arguments.joinToString(" ")}: exit status $status, see $logFile")
        }
    }

    /** Sends SIGKILL to the daemon with number [index]. */
    fun killDaemon(index: Int) = daemonProcesses[index].kill()

    /** Stops the daemon with number [index] gracefully, starts it again and waits until it is ready. */
    fun restartDaemon(index: Int) {
        daemonProcesses[index].stop(SHUTDOWN_TIMEOUT_SECONDS)
        daemonProcesses[index].start()
        awaitSuccess(daemonAddresses[index].operatorsUrl, "/readyz")
    }

    /** Sends a control [message] to the stand-in at [address]. */
    fun sendControl(address: String, message: JsonObject) {
        val answer = client(address).post("/control", message.toString()).aggregate().join()
        if (!answer.status().isSuccess) throw FleetException("$address/control: ${answer.status()}")
    }

    /** Returns the JSON object at [path] of the stand-in at [address]. */
    fun readJson(address: String, path: String): JsonObject =
        Json.parseToJsonElement(client(address).get(path).aggregate().join().contentUtf8()).jsonObject

    /** Returns the text at [path] of the stand-in at [address]. */
    fun readText(address: String, path: String): String = client(address).get(path).aggregate().join().contentUtf8()

    private fun awaitSuccess(address: String, path: String) {
        val deadlineNanos = System.nanoTime() + START_TIMEOUT_NANOS
        val processes = standInProcesses + daemonProcesses
        while (System.nanoTime() < deadlineNanos) {
            val answer = runCatching { client(address).get(path).aggregate().join() }.getOrNull()
            if (answer != null && answer.status().isSuccess) return
            processes.firstOrNull {
                !it.isRunning
            }?.let { throw FleetException("a process exited during startup: ${it.firstLine()}") }
            Thread.sleep(POLL_INTERVAL_MILLIS)
        }
        throw FleetException(
            "no success from $address$path within ${START_TIMEOUT_NANOS / 1_000_000_000} s, see $logDirectory",
        )
    }

    private fun client(address: String): WebClient = synchronized(clients) {
        clients.getOrPut(address) {
            WebClient.builder(address).maxResponseLength(0).responseTimeout(Duration.ofSeconds(10)).build()
        }
    }

    private fun instanceList(): JsonObject = buildJsonObject {
        putJsonArray("instances") {
            for ((i, address) in engines.withIndex()) {
                addJsonObject { putInstance("engine", i, address, size.enginePool, size.base) }
            }
            for ((i, address) in services.withIndex()) {
                addJsonObject { putInstance("service", i, address, size.servicePool, "") }
            }
        }
    }

    private fun kotlinx.serialization.json.JsonObjectBuilder.putInstance(
        kind: String,
        index: Int,
        address: String,
        pool: String,
        base: String,
    ) {
        put("id", "$kind-$index")
        put("kind", kind)
        put("pool", pool)
        put("base", base)
        put("dataCentre", size.dataCentre(index))
        put("address", address.removePrefix("http://"))
        put("state", "live")
        put("fencing", true)
    }

    private fun daemonSettings(index: Int): JsonObject = buildJsonObject {
        put("instance", "edge-$index")
        put("dataCentre", size.dataCentre(index))
        put("region", REGION)
        putJsonObject("callers") { put("port", firstPort + CALLERS_PORT_OFFSET + index) }
        putJsonObject("operators") { put("port", firstPort + OPERATORS_PORT_OFFSET + index) }
        putJsonObject("peers") { put("port", firstPort + PEERS_PORT_OFFSET + index) }
        putJsonArray("seeds") {
            for (i in daemonAddresses.indices) if (i != index) add("127.0.0.1:${firstPort + PEERS_PORT_OFFSET + i}")
        }
        put("platformUrl", platform)
        put("keySecret", KEY_SECRET)
    }

    override fun close() {
        val stopThreads = daemonProcesses.map { daemon ->
            Thread { daemon.stop(STOP_TIMEOUT_SECONDS) }.also { it.start() }
        }
        stopThreads.forEach { it.join() }
        standInProcesses.forEach { it.stop(STOP_TIMEOUT_SECONDS) }
    }

    private companion object {
        const val ENGINE_PORT_OFFSET = 1
        const val SERVICE_PORT_OFFSET = 21
        const val CALLERS_PORT_OFFSET = 31
        const val OPERATORS_PORT_OFFSET = 41
        const val PEERS_PORT_OFFSET = 51
        const val KEY_SECRET = "bench-fleet-secret"
        const val START_TIMEOUT_NANOS = 60_000_000_000L
        const val POLL_INTERVAL_MILLIS = 100L
        const val OPERATOR_TOOL_TIMEOUT_SECONDS = 60L
        const val SHUTDOWN_TIMEOUT_SECONDS = 60L
        const val STOP_TIMEOUT_SECONDS = 10L
    }
}
