package io.camphordrum.core.serving

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

/** Describes the result of one request of a [LoadSimulation]. */
internal data class Outcome(
    val arrivedMillis: Long,
    val adapter: String,
    val priority: Int,
    val firstMillis: Long?,
    val pauseMillis: Long?,
    val refusedAfterMillis: Long?,
) {
    /** Whether the first event and all pauses were within their targets. */
    val inTime: Boolean get() = firstMillis != null &&
        firstMillis <= TARGET_MILLIS &&
        (pauseMillis ?: 0) <= MAX_PAUSE_MILLIS

    companion object {
        const val TARGET_MILLIS = 800L
        const val MAX_PAUSE_MILLIS = 300L
    }
}

/**
 * Runs the serving cores of several daemons against simulated engines on a manual clock.
 *
 * Each request goes through these steps: place, wait for the adapter, wait for the turn, send.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class LoadSimulation(daemons: Int = 3, engines: Int = 6, slots: Int = 14, seed: Int = 1) {
    val clock = ManualClock()
    val engines = (1..engines).map { SimulatedEngine("i-$it", slots, clock) }
    val outcomes = ArrayList<Outcome>()

    private val random = Random(seed)
    private val rights = FakeRightStore()
    private val daemonNames = (1..daemons).map { "edge-$it" }
    private val registered = daemonNames.map {
        RegisteredDaemon(Member(InstanceId(it), 1), DataCentreId("a"), "10.0.0.${it.last()}:7600")
    }
    private val messages = ArrayDeque<Triple<String, Member, ServingMessage>>()
    private val cores = registered.associate { it.member.instance.name to core(it) }
    private var nextRequestNumber = 0

    /** Bytes that all daemons have sent to each other. */
    var bytes = 0L
        private set

    /** Milliseconds since the start of the traffic. */
    val millis: Long get() = (clock.nanos - startNanos) / 1_000_000
    private val startNanos: Long

    init {
        val fixture = ServingFixture()
        val route = fixture.drafts.copy(pauseMillis = Outcome.MAX_PAUSE_MILLIS)
        val limits = EngineLimits(64, slots, listOf(BaseModel("m", 1_900)))
        val config = ServingConfig(
            1,
            listOf(route),
            listOf(ServedService("models", 360, 0.0, limits)),
            emptyList(),
            CallerLimits(16_384, 1 shl 20, 3_000, 15_000),
        )
        for (core in cores.values) {
            core.configure(clock.nanos, config)
            core.replaceDaemons(registered)
            core.replaceEndpoints(clock.nanos, this.engines.map { record(it) }, afterGap = false)
        }
        repeat(600) { tick() }
        startNanos = clock.nanos
        check(cores.values.sumOf { it.ownedCount } == engines)
    }

    /**
     * Submits requests at [perSecond] for [durationMillis].
     *
     * @param prompt returns the prompt tokens of the next request.
     * @param adapter returns the adapter of the next request.
     */
    fun traffic(
        durationMillis: Long,
        perSecond: Double,
        prompt: () -> Int = { 1_100 },
        adapter: (Random) -> String = { zipf(it, 3_000) },
    ) {
        val end = clock.nanos + durationMillis * 1_000_000
        var next = clock.nanos.toDouble()
        while (clock.nanos < end) {
            while (next <= clock.nanos) {
                submit(adapter(random), prompt())
                next += -ln(1 - random.nextDouble()) / perSecond * 1e9
            }
            tick()
        }
    }

    /** Runs until all submitted requests have ended. */
    fun drain() = repeat(1_500) { tick() }

    fun between(fromMillis: Long, toMillis: Long): List<Outcome> =
        outcomes.filter { it.arrivedMillis in fromMillis until toMillis }

    /** Crashes an engine and removes its registration at once. */
    fun crash(engine: SimulatedEngine) {
        engine.crash()
        for (core in cores.values) core.removeEndpoint(EndpointId(engine.id))
    }

    /** Restarts a crashed engine without adapters. */
    fun restart(engine: SimulatedEngine) {
        engine.restart()
        for (core in cores.values) core.putEndpoint(clock.nanos, record(engine))
    }

    private fun record(engine: SimulatedEngine) = EndpointRecord(
        EndpointId(engine.id), "models", engine.id, DataCentreId("a"), 64, draining = false, coldMillis = 0, 1,
        listOf(HeldModel("m", emptyMap())),
    )

    private fun core(daemon: RegisteredDaemon): ServingCore {
        val orders = object : OrderPort {
            override fun order(order: EndpointOrder, onEnd: (OrderEnd) -> Unit) =
                engine(order.endpoint.name).adapters.order(order, onEnd)

            override fun report(endpoint: EndpointId, address: String, onEnd: (EndpointReport?) -> Unit) =
                engine(endpoint.name).adapters.report(endpoint, address, onEnd)
        }
        val ports = ServingPorts(
            rights,
            orders,
            { to, message ->
                bytes += Cbor.encodeToByteArray(ServingMessage.serializer(), message).size
                messages += Triple(to.member.instance.name, daemon.member, message)
            },
            {},
            { _, _ -> },
        )
        val options = ServingOptions(daemon.member, daemon.dataCentre, seed = 7)
        return ServingCore(options, daemon.machine, clock, ports)
    }

    private fun engine(id: String) = engines.first { it.id == id }

    private fun tick() {
        clock.advance(10)
        engines.forEach { it.advance() }
        repeat(2) {
            repeat(messages.size) {
                val (to, from, message) = messages.removeFirst()
                cores.getValue(to).receive(clock.nanos, from, message)
            }
        }
        cores.values.forEach { it.tick(clock.nanos) }
    }

    private fun submit(adapter: String, prompt: Int) {
        val core = cores.getValue(daemonNames[random.nextInt(daemonNames.size)])
        val route = ServingFixture().drafts.copy(pauseMillis = Outcome.MAX_PAUSE_MILLIS)
        val work = Work(
            "r${nextRequestNumber++}", route, "models", null, route.priority, "m", adapter, prompt, prompt, clock.nanos,
            clock.nanos + 12_000_000_000,
        )
        place(core, work, HashSet(), loads = 0)
    }

    private fun place(
        core: ServingCore,
        work: Work,
        noLoad: HashSet<EndpointId>,
        loads: Int,
        turnDenied: Set<EndpointId> = emptySet(),
    ) {
        when (val placement = core.place(clock.nanos, work, turnDenied, noLoad)) {
            is Placement.Refuse -> recordRefusal(work)
            is Placement.AwaitAdapter -> if (loads == 3) {
                recordRefusal(work)
            } else {
                core.awaitAdapter(clock.nanos, work, placement.endpoint) { loaded ->
                    if (!loaded) noLoad += placement.endpoint
                    place(core, work, noLoad, loads + 1, turnDenied)
                }
            }
            is Placement.Send -> core.awaitTurn(clock.nanos, work, placement.endpoint) { granted ->
                when {
                    granted -> send(core, work, placement)
                    turnDenied.size == MAX_TURN_REQUESTS - 1 -> recordRefusal(work)
                    else -> place(core, work, noLoad, loads, turnDenied + placement.endpoint)
                }
            }
        }
    }

    private fun send(core: ServingCore, work: Work, placement: Placement.Send) {
        val engine = engine(placement.endpoint.name)
        core.recordSend(clock.nanos, work, placement.endpoint)
        val sentNanos = clock.nanos
        var firstMillis = 0L
        engine.add(
            SimulatedEngine.Job(
                work,
                events = 43,
                onFirst = {
                    firstMillis = (clock.nanos - work.arrivedNanos) / 1_000_000
                    core.recordReportedLoad(clock.nanos, placement.endpoint, engine.reported)
                    core.recordFirstPart(
                        clock.nanos,
                        work,
                        placement.endpoint,
                        placement.expectedMillis,
                        (clock.nanos - sentNanos) / 1e6,
                    )
                },
                onEvent = { core.recordEventGap(clock.nanos, work, placement.endpoint, it) },
                onEnd = { pauseMillis ->
                    core.recordRunEnd(clock.nanos, work, placement.endpoint, RunEnd.COMPLETE)
                    recordOutcome(work, firstMillis, pauseMillis, null)
                },
            ),
        )
    }

    private fun recordRefusal(work: Work) = recordOutcome(
        work,
        null,
        null,
        (clock.nanos - work.arrivedNanos) / 1_000_000,
    )

    private fun recordOutcome(work: Work, firstMillis: Long?, pauseMillis: Long?, refusedMillis: Long?) {
        val arrivedMillis = (work.arrivedNanos - startNanos) / 1_000_000
        outcomes +=
            Outcome(arrivedMillis, work.adapter.orEmpty(), work.priority, firstMillis, pauseMillis, refusedMillis)
    }

    internal companion object {
        private const val MAX_TURN_REQUESTS = 4

        /** Draws one of [count] adapters from a Zipf-like distribution. */
        fun zipf(random: Random, count: Int, offset: Int = 0): String {
            // Inverse of a continuous power law of exponent 1.2.
            val rank = (1 - random.nextDouble() * (1 - count.toDouble().pow(-0.2))).pow(-5.0).toInt()
            return "a${(rank + offset) % count}"
        }
    }
}
