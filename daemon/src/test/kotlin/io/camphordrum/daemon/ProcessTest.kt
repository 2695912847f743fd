package io.camphordrum.daemon

import io.camphordrum.core.config.Edit
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.io.TempDir
import java.net.Socket
import java.nio.ByteBuffer
import java.nio.file.Files
import java.nio.file.Path
import java.util.Random
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Verifies the guarantees of real daemon processes under faults of processes, the platform and peers. */
class ProcessTest {
    @TempDir
    lateinit var directory: Path
    private lateinit var fleet: ProcessFleet
    private val a1 get() = fleet.daemons[0]
    private val a2 get() = fleet.daemons[1]

    @BeforeEach
    fun start() {
        fleet = ProcessFleet(directory)
        fleet.start()
    }

    @AfterEach
    fun stop() = fleet.use { checkRecords() }

    /** Guards against a caller's key that reaches a stand-in, forbidden evictions and repeated dispatches. */
    private fun checkRecords() {
        for ((standIn, text) in fleet.records()) {
            for (key in listOf(KEY_ONE, KEY_TWO)) assertFalse(key in text, "$standIn: expected no caller key")
        }
        for (engine in fleet.engines) {
            val record = engine.record()
            assertEquals(emptyList(), record.getValue("violations").jsonArray.map { it.jsonPrimitive.content })
            assertEquals("0", record.getValue("repeatedDispatches").jsonPrimitive.content)
        }
        for (service in fleet.services) {
            assertEquals("0", service.record().getValue("repeated").jsonPrimitive.content)
        }
    }

    /** Guards against a truncated answer that looks complete, and against one killed daemon that stops the others. */
    @Test
    fun `a stream of a killed daemon never looks complete`() {
        val stream = fleet.stream(a1, tokens = 2_000)
        stream.awaitTokens()
        a1.process.destroyForcibly().waitFor()
        val error = stream.awaitEnd()
        assertFalse(stream.isComplete, "expected no [DONE]")
        assertTrue(
            error != null ||
                stream.lines.any {
                    "error" in it
                },
            "expected a broken connection or an error event",
        )
        for (daemon in fleet.daemons.drop(1)) fleet.awaitServing(daemon)
    }

    /** Guards against a suspended daemon that uses rights which expired while it was suspended. */
    @Test
    fun `a daemon suspended past its lease evicts nothing in use and serves again`() {
        val streams = (0 until 2).map { fleet.stream(a1, tokens = 1_500, adapter = it) }
        streams.forEach { it.awaitTokens() }
        a1.signal("STOP")
        val suspendedOrder = CompletableFuture.supplyAsync { fleet.order(a1, "frozen") }
        val resumed = CompletableFuture.runAsync({
            a1.signal("CONT")
        }, CompletableFuture.delayedExecutor(8, TimeUnit.SECONDS))
        while (!resumed.isDone) {
            for (adapter in 2 until 6) CompletableFuture.supplyAsync { fleet.complete(a2, adapter = adapter) }
            Thread.sleep(500)
        }
        resumed.join()
        streams.forEach { it.awaitEnd() }
        suspendedOrder.get(2, TimeUnit.MINUTES)
        assertTrue(fleet.executions("frozen") <= 1, "expected at most one execution")
        fleet.awaitServing(a1)
        await("an order to run through ${a1.name}") { fleet.order(a1, "after").statusCode() == 200 }
        assertEquals(1, fleet.executions("after"))
    }

    /** Guards against a platform outage that stops completions, runs orders without a claim or prevents a start. */
    @Test
    fun `a platform outage stops neither completions nor the start of a daemon`() {
        fleet.control("""{"outage":"refuse"}""")
        for (daemon in listOf(a1, a2)) assertEquals(200, fleet.complete(daemon).statusCode())
        val refused = fleet.order(a1, "outage")
        assertEquals(503, refused.statusCode(), refused.body())
        assertContains(refused.body(), "\"ran\":\"no\"")
        assertEquals(0, fleet.executions("outage"))
        val lateDaemon = fleet.startAdditionalDaemon()
        await("the configuration from a peer") { fleet.revision(lateDaemon) == fleet.revision(a1) }
        assertEquals(1, fleet.revision(lateDaemon))
        for (daemon in listOf(a1, a2)) assertEquals(200, fleet.complete(daemon).statusCode())
    }

    /** Guards against a lost response to a claim write that makes the order run twice or not at all. */
    @Test
    fun `an order whose claim response is lost runs exactly once`() {
        var count = 0
        // The lost response can hit another write of the fleet, so orders are repeated until it hits a write of a1.
        await("a lost response to a write by ${a1.name}") {
            val id = "lost-${++count}"
            fleet.control("""{"loseAnswers":1}""")
            await("the order $id to run") { fleet.order(a1, id).statusCode() == 200 }
            "write_outcome_unknown" in Files.readString(a1.log)
        }
        for (id in (1..count).map { "lost-$it" }) {
            assertEquals(200, fleet.order(a2, id).statusCode())
            assertEquals(1, fleet.executions(id))
        }
    }

    /** Guards against a planned stop that interrupts running or waiting streams. */
    @Test
    fun `a daemon that receives a stop signal finishes twenty streams`() {
        val streams = List(20) { fleet.stream(a1, tokens = 200, adapter = it % 2) }
        await("twenty open requests") {
            fleet.json(a1, "/v1/status").getValue("openRequests").jsonPrimitive.content == "20"
        }
        a1.process.destroy()
        val errors = streams.mapNotNull { it.awaitEnd() }
        assertEquals(emptyList(), errors)
        assertEquals(
            20,
            streams.count {
                it.isComplete
            },
            streams.filterNot { it.isComplete }.joinToString { "${it.lines.takeLast(3)}" },
        )
        assertTrue(a1.process.waitFor(2, TimeUnit.MINUTES), "expected the process to end")
    }

    /** Guards against malformed bytes on a peer port that stop a daemon or end its membership. */
    @Test
    fun `garbage and a truncated frame on a peer port do not disturb a daemon`() {
        val garbage = ByteArray(4_096).also { Random(1).nextBytes(it) }
        val truncated = ByteBuffer.allocate(20).putInt(1_000).array()
        val tooLarge = ByteBuffer.allocate(8).putInt(Int.MAX_VALUE).array()
        for (bytes in listOf(garbage, truncated, tooLarge)) {
            Socket("127.0.0.1", a1.peerPort).use { it.getOutputStream().write(bytes) }
        }
        for (daemon in fleet.daemons) assertEquals(200, fleet.complete(daemon).statusCode())
        assertEquals(200, fleet.order(a1, "garbage").statusCode())
        assertTrue(a1.process.isAlive)
    }

    /** Guards against a daemon that accepts a withdrawn key, and a withdrawal that interrupts running requests. */
    @Test
    fun `a withdrawn key is refused everywhere while its running stream completes`() {
        val stream = fleet.stream(a2, tokens = 1_000, key = KEY_TWO)
        stream.awaitTokens()
        fleet.change(listOf(Edit.Remove("keys/id-2")))
        assertFalse(stream.end.isDone, "expected a stream that still runs at the withdrawal")
        for (daemon in fleet.daemons) {
            await("${daemon.name} to refuse the key") { fleet.complete(daemon, KEY_TWO).statusCode() == 401 }
        }
        assertEquals(null, stream.awaitEnd())
        assertTrue(stream.isComplete, "expected [DONE], but was ${stream.lines.takeLast(3)}")
    }
}
