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

/** Says why a fleet cannot run. */
class FleetException(message: String) : Exception(message)

/** Runs the stand-ins and daemons of one [size] on loopback, from port [firstPort] on, with logs below [out]. */
class Fleet(private val size: Size, private val root: Path, private val out: Path, private val firstPort: Int) :
    AutoCloseable {
    private val clients = HashMap<String, WebClient>()
    private val logs = Files.createDirectories(out.resolve("log"))
    private val standIns = ArrayList<ChildProcess>()
    private val daemons = ArrayList<ChildProcess>()

    /** The platform stand-in. */
    val platform = url(firstPort)

    /** The engine stand-ins. */
    val engines = (0 until size.engines).map { url(firstPort + ENGINE + it) }

    /** The service stand-ins. */
    val services = (0 until size.services).map { url(firstPort + SERVICE + it) }

    /** The daemons. */
    val addresses = (0 until size.daemons).map {
        DaemonAddress(url(firstPort + CALLERS + it), url(firstPort + OPERATORS + it))
    }

    private fun url(port: Int) = "http://127.0.0.1:$port"

    /** Starts the stand-ins and fills the platform's instance list. */
    fun startStandIns() {
        standIn("platform", 0, emptyList())
        val options = listOf("--slots", "${size.slots}", "--loads-shared", platform)
        for (i in engines.indices) standIn("engine", ENGINE + i, options)
        for (i in services.indices) standIn("service", SERVICE + i, emptyList())
        for (address in listOf(platform) + engines + services) await(address, "/control/record")
        control(platform, instances())
    }

    private fun standIn(kind: String, offset: Int, options: List<String>) {
        val own = listOf(kind, "--port", "${firstPort + offset}", "--parent", "${ProcessHandle.current().pid()}")
        val command = ChildProcess.java(root, "standins", "io.camphordrum.standins.MainKt", 128, own + options)
        standIns += ChildProcess(command, logs.resolve("$kind-$offset.log")).also { it.start() }
    }

    /** Starts the daemons and applies the configuration tree. */
    fun startDaemons() {
        for (i in addresses.indices) {
            val settings = out.resolve("daemon-$i.json")
            Files.writeString(settings, settings(i).toString())
            val arguments = listOf("--config", settings.toString())
            val command = ChildProcess.java(root, "daemon", "io.camphordrum.daemon.MainKt", 256, arguments)
            daemons += ChildProcess(command, logs.resolve("daemon-$i.log")).also { it.start() }
        }
        for (address in addresses) await(address.operators, "/healthz")
        val tree = out.resolve("tree.json")
        Files.writeString(
            tree,
            Json.encodeToString(io.camphordrum.core.config.Declaration.serializer(), treeOf(size, SECRET)),
        )
        operator("apply", tree.toString())
        for (address in addresses) await(address.operators, "/readyz")
    }

    /** Runs the operators' tool and fails unless it succeeds. */
    fun operator(vararg arguments: String) {
        val all = arguments.toList() + listOf("--who", "bench", "--server", addresses.first().operators)
        val log = logs.resolve("operator.log")
        val tool = ChildProcess(ChildProcess.java(root, "ctl", "io.camphordrum.ctl.MainKt", 256, all), log)
        tool.start()
        val status = tool.await(OPERATOR_SECONDS)
        if (status !=
            0
        ) {
            throw FleetException("camphordrum ${arguments.joinToString(" ")}: exit status $status, see $log")
        }
    }

    /** Kills the daemon with number [index]. */
    fun kill(index: Int) = daemons[index].kill()

    /** Stops the daemon with number [index] gracefully, starts it again, and waits until it is ready. */
    fun replace(index: Int) {
        daemons[index].stop(SHUTDOWN_SECONDS)
        daemons[index].start()
        await(addresses[index].operators, "/readyz")
    }

    /** Sends a control message to a stand-in. */
    fun control(address: String, message: JsonObject) {
        val answer = client(address).post("/control", message.toString()).aggregate().join()
        if (!answer.status().isSuccess) throw FleetException("$address/control: ${answer.status()}")
    }

    /** Reads a JSON page of a stand-in. */
    fun read(address: String, path: String): JsonObject =
        Json.parseToJsonElement(client(address).get(path).aggregate().join().contentUtf8()).jsonObject

    /** Reads a page as text. */
    fun text(address: String, path: String): String = client(address).get(path).aggregate().join().contentUtf8()

    private fun await(address: String, path: String) {
        val end = System.nanoTime() + START_NANOS
        val started = standIns + daemons
        while (System.nanoTime() < end) {
            val answer = runCatching { client(address).get(path).aggregate().join() }.getOrNull()
            if (answer != null && answer.status().isSuccess) return
            started.firstOrNull {
                !it.alive
            }?.let { throw FleetException("a process ended at its start: ${it.firstLine()}") }
            Thread.sleep(POLL_MILLIS)
        }
        throw FleetException("no success from $address$path within ${START_NANOS / 1_000_000_000} s, see $logs")
    }

    private fun client(address: String): WebClient = synchronized(clients) {
        clients.getOrPut(address) {
            WebClient.builder(address).maxResponseLength(0).responseTimeout(Duration.ofSeconds(10)).build()
        }
    }

    private fun instances(): JsonObject = buildJsonObject {
        putJsonArray("instances") {
            for ((i, address) in engines.withIndex()) {
                addJsonObject { instance("engine", i, address, size.enginePool, size.base) }
            }
            for ((i, address) in services.withIndex()) {
                addJsonObject { instance("service", i, address, size.servicePool, "") }
            }
        }
    }

    private fun kotlinx.serialization.json.JsonObjectBuilder.instance(
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

    private fun settings(index: Int): JsonObject = buildJsonObject {
        put("instance", "edge-$index")
        put("dataCentre", size.dataCentre(index))
        put("region", REGION)
        putJsonObject("callers") { put("port", firstPort + CALLERS + index) }
        putJsonObject("operators") { put("port", firstPort + OPERATORS + index) }
        putJsonObject("peers") { put("port", firstPort + PEERS + index) }
        putJsonArray("seeds") {
            for (i in addresses.indices) if (i != index) add("127.0.0.1:${firstPort + PEERS + i}")
        }
        put("platformUrl", platform)
        put("keySecret", SECRET)
    }

    override fun close() {
        val stopping = daemons.map { daemon -> Thread { daemon.stop(STOP_SECONDS) }.also { it.start() } }
        stopping.forEach { it.join() }
        standIns.forEach { it.stop(STOP_SECONDS) }
    }

    private companion object {
        const val ENGINE = 1
        const val SERVICE = 21
        const val CALLERS = 31
        const val OPERATORS = 41
        const val PEERS = 51
        const val SECRET = "bench-fleet-secret"
        const val START_NANOS = 60_000_000_000L
        const val POLL_MILLIS = 100L
        const val OPERATOR_SECONDS = 60L
        const val SHUTDOWN_SECONDS = 60L
        const val STOP_SECONDS = 10L
    }
}
