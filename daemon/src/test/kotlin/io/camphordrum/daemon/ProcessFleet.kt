package io.camphordrum.daemon

import io.camphordrum.core.AccountId
import io.camphordrum.core.BaseModelId
import io.camphordrum.core.config.Account
import io.camphordrum.core.config.Adapter
import io.camphordrum.core.config.Change
import io.camphordrum.core.config.DataCentre
import io.camphordrum.core.config.Declaration
import io.camphordrum.core.config.Edit
import io.camphordrum.core.config.Key
import io.camphordrum.core.config.KeyHasher
import io.camphordrum.core.config.LoadBudget
import io.camphordrum.core.config.Route
import io.camphordrum.standins.Engine
import io.camphordrum.standins.EngineOptions
import io.camphordrum.standins.Platform
import io.camphordrum.standins.Service
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import java.net.InetAddress
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration
import java.util.UUID
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import io.camphordrum.core.config.Settings as TreeSettings

internal const val KEY_ONE = "process-key-1"
internal const val KEY_TWO = "process-key-2"
private const val SECRET = "process-fleet-secret"
private const val CONDITION_TIMEOUT_NANOS = 120_000_000_000L

/** Polls [condition] until it is true; fails after two minutes with a message that contains [expectation]. */
internal fun await(expectation: String, condition: () -> Boolean) {
    val deadlineNanos = System.nanoTime() + CONDITION_TIMEOUT_NANOS
    while (System.nanoTime() - deadlineNanos < 0) {
        if (runCatching(condition).getOrDefault(false)) return
        Thread.sleep(50)
    }
    error("expected $expectation, but it did not happen within two minutes")
}

/** Collects the lines of one streamed answer. */
internal class StreamedAnswer(client: HttpClient, request: HttpRequest) {
    val lines = CopyOnWriteArrayList<String>()
    val end = CompletableFuture<Throwable?>()

    val isComplete: Boolean get() = lines.any { it == "data: [DONE]" }

    init {
        thread(isDaemon = true) {
            val result = runCatching {
                client.send(request, HttpResponse.BodyHandlers.ofLines()).body().forEach { lines += it }
            }
            end.complete(result.exceptionOrNull())
        }
    }

    fun awaitTokens() = await("the first tokens of a stream") { lines.count { it.startsWith("data:") } > 2 }

    fun awaitEnd(): Throwable? = end.get(2, TimeUnit.MINUTES)
}

/** Runs one daemon as a process; signals go only to the id of that process. */
internal class DaemonProcess(val name: String, val dataCentre: String, private val directory: Path) {
    private val ports = findFreePorts(3)
    val callers = "http://127.0.0.1:${ports[0]}"
    val operators = "http://127.0.0.1:${ports[1]}"
    val peerPort = ports[2]
    val log: Path = directory.resolve("$name.log")
    lateinit var process: Process

    fun start(platformUrl: String, seeds: List<Int>) {
        val file = directory.resolve("$name.json")
        val seedList = seeds.joinToString { "\"127.0.0.1:$it\"" }
        Files.writeString(
            file,
            """{"instance":"$name","dataCentre":"$dataCentre","seeds":[$seedList],
            "callers":{"port":${ports[0]}},"operators":{"port":${ports[1]}},"peers":{"port":${ports[2]}},
            "platformUrl":"$platformUrl","keySecret":"$SECRET"}""",
        )
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val options = listOf("-XX:-UsePerfData", "-Xmx192m", "-cp", System.getProperty("java.class.path"))
        val command = listOf(java) + options + listOf("io.camphordrum.daemon.MainKt", "--config", "$file")
        process = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile()).start()
    }

    fun signal(name: String) {
        check(ProcessBuilder("kill", "-$name", "${process.pid()}").start().waitFor() == 0) { "kill -$name failed" }
    }
}

private fun findFreePorts(count: Int): List<Int> {
    val sockets = List(count) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
    return sockets.map { socket -> socket.use { it.localPort } }
}

/** Runs stand-ins in this JVM and three daemons as processes, with a configuration tree in force. */
internal class ProcessFleet(private val directory: Path) : AutoCloseable {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    val platform = Platform().start()
    private val options = EngineOptions(slots = 2, stepMillis = 10.0, loadMillis = 50, warmupRequests = 0)
    val engines = List(2) { Engine(options).start() }
    val services = List(2) { Service().start() }
    val daemons = listOf("a1" to "a", "a2" to "a", "b1" to "b").map { (name, dataCentre) ->
        DaemonProcess("edge-$name", dataCentre, directory)
    }
    private val additionalDaemons = ArrayList<DaemonProcess>()

    fun start() {
        control("""{"instances":[${instances().joinToString()}]}""")
        val peers = daemons.map { it.peerPort }
        for (daemon in daemons) daemon.start(platform.url, peers - daemon.peerPort)
        for (daemon in daemons) await("${daemon.name} to start") { get(daemon, "/healthz").statusCode() == 200 }
        change(tree().entries().map { (path, entry) -> Edit.Put(path, entry) })
        for (daemon in daemons) await("${daemon.name} to be ready") { get(daemon, "/readyz").statusCode() == 200 }
        for (daemon in daemons) awaitServing(daemon)
    }

    fun startAdditionalDaemon(): DaemonProcess = DaemonProcess("edge-a3", "a", directory).also {
        additionalDaemons += it
        it.start(platform.url, daemons.map { peer -> peer.peerPort })
    }

    fun control(message: String) = platform.control(Json.parseToJsonElement(message).jsonObject)

    fun get(daemon: DaemonProcess, path: String): HttpResponse<String> =
        send(HttpRequest.newBuilder(URI(daemon.operators + path)).build())

    fun json(daemon: DaemonProcess, path: String): JsonObject =
        Json.parseToJsonElement(get(daemon, path).body()).jsonObject

    fun revision(daemon: DaemonProcess): Long = json(daemon, "/v1/tree").getValue("revision").jsonPrimitive.long

    fun change(edits: List<Edit>) {
        val daemon = daemons.first()
        val change = Change(UUID.randomUUID().toString(), revision(daemon), "test", 0, "process test", edits)
        val body = HttpRequest.BodyPublishers.ofString(Json.encodeToString(Change.serializer(), change))
        val answer = send(HttpRequest.newBuilder(URI(daemon.operators + "/v1/changes")).POST(body).build())
        check(answer.statusCode() == 200) { "expected an accepted change, but was ${answer.body()}" }
    }

    fun complete(daemon: DaemonProcess, key: String = KEY_ONE, adapter: Int = 0): HttpResponse<String> =
        send(completion(daemon, key, adapter, 3, false))

    fun stream(daemon: DaemonProcess, tokens: Int, key: String = KEY_ONE, adapter: Int = 0): StreamedAnswer =
        StreamedAnswer(client, completion(daemon, key, adapter, tokens, true))

    fun order(daemon: DaemonProcess, id: String): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI(daemon.callers + "/orders/new"))
            .header("Authorization", "Bearer $KEY_ONE")
            .header("Content-Type", "application/json")
            .header("Idempotency-Key", id)
        return send(request.POST(HttpRequest.BodyPublishers.ofString("""{"item":"$id"}""")).build())
    }

    fun executions(id: String): Int = services.sumOf { service ->
        Regex.fromLiteral("\"idempotencyKey\":\"$id\"").findAll(service.record().toString()).count()
    }

    fun awaitServing(daemon: DaemonProcess) =
        await("${daemon.name} to serve") { complete(daemon).statusCode() == 200 }

    /** Returns all records and stored objects of the stand-ins as text, by stand-in. */
    fun records(): Map<String, String> {
        val storedObjects = send(HttpRequest.newBuilder(URI(platform.url + "/control/objects")).build()).body()
        val endpointRecords = engines.mapIndexed { i, engine -> "engine $i" to engine.record().toString() } +
            services.mapIndexed { i, service -> "service $i" to service.record().toString() }
        return endpointRecords.toMap() + mapOf("platform" to platform.record().toString(), "objects" to storedObjects)
    }

    override fun close() {
        val running = (daemons + additionalDaemons).map { it.process }
        running.forEach { it.destroyForcibly() }
        running.forEach { it.waitFor(10, TimeUnit.SECONDS) }
        (engines + services + platform).forEach { it.stop() }
    }

    private fun completion(daemon: DaemonProcess, key: String, adapter: Int, tokens: Int, stream: Boolean) =
        HttpRequest.newBuilder(URI(daemon.callers + "/v1/completions"))
            .header("Authorization", "Bearer $key")
            .header("Content-Type", "application/json")
            .POST(
                HttpRequest.BodyPublishers.ofString(
                    """{"model":"adapter-$adapter@1","prompt":"x","max_tokens":$tokens,"stream":$stream}""",
                ),
            ).build()

    private fun send(request: HttpRequest): HttpResponse<String> = client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .get(Duration.ofMinutes(2).toSeconds(), TimeUnit.SECONDS)

    private fun instances(): List<String> {
        val endpoints = engines.mapIndexed { i, engine -> Triple("engine", i, engine.port) } +
            services.mapIndexed { i, service -> Triple("service", i, service.port) }
        return endpoints.map { (kind, i, port) ->
            val dataCentre = if (i == 0) "a" else "b"
            val (pool, base) = if (kind == "engine") "drafting" to "base-1" else "orders" to ""
            """{"id":"$kind-$dataCentre","kind":"$kind","pool":"$pool","base":"$base","dataCentre":"$dataCentre",
            "address":"127.0.0.1:$port","state":"live","fencing":true}"""
        }
    }

    private fun tree(): Declaration {
        val account = AccountId("one")
        val hasher = KeyHasher(SECRET)
        return Declaration(
            settings = TreeSettings(allow = setOf(account), queueMillis = 60_000, deadlineMillis = 120_000),
            accounts = mapOf("one" to Account(tokensPerSecond = 100_000, burstTokens = 1_000_000)),
            keys = listOf(KEY_ONE, KEY_TWO).associateWith {
                Key(account, hasher.hash(it))
            }.mapKeys { "id-${it.key.last()}" },
            adapters = (0 until 6).associate { "adapter-$it" to Adapter(BaseModelId("base-1"), 1, listOf(1)) },
            routes = mapOf("/orders" to Route("orders", setOf("GET"))),
            dataCentres = listOf("a", "b").associateWith { DataCentre("default") },
            loadBudgets = mapOf("base-1" to LoadBudget(20)),
        )
    }
}
