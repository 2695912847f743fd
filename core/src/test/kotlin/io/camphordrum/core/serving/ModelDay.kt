package io.camphordrum.core.serving

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

/** Tells what became of one request of a [ModelDay]. */
internal data class Outcome(
    val askedMillis: Long,
    val adapter: String,
    val priority: Int,
    val firstMillis: Long?,
    val pauseMillis: Long?,
    val refusedAfterMillis: Long?,
) {
    /** Whether the first event and all pauses were in time. */
    val inAim: Boolean get() = firstMillis != null && firstMillis <= AIM_MILLIS && (pauseMillis ?: 0) <= PAUSE_MILLIS

    companion object {
        const val AIM_MILLIS = 800L
        const val PAUSE_MILLIS = 300L
    }
}

/**
 * Drives the decision cores of several daemons before model engines, on time that only this class moves.
 *
 * Between two decisions a daemon does what its forwarding does: place, wait for the adapter and for the turn, send.
 */
internal class ModelDay(daemons: Int = 3, engines: Int = 6, places: Int = 14, seed: Int = 1) {
    val clock = HandClock()
    val engines = (1..engines).map { ModelEngine("i-$it", places, clock) }
    val outcomes = ArrayList<Outcome>()

    private val random = Random(seed)
    private val rights = FakeRights()
    private val names = (1..daemons).map { "edge-$it" }
    private val registered = names.map {
        RegisteredDaemon(Member(InstanceId(it), 1), DataCentreId("a"), "10.0.0.${it.last()}:7600")
    }
    private val messages = ArrayDeque<Triple<String, Member, ServingMessage>>()
    private val cores = registered.associate { it.member.instance.name to core(it) }
    private var number = 0

    /** Milliseconds since the start of traffic. */
    val millis: Long get() = (clock.nanos - startNanos) / 1_000_000
    private val startNanos: Long

    init {
        val fixture = ServingFixture()
        val route = fixture.drafts
        val limits = EngineLimits(64, places, listOf(BaseModel("m", 1_900)))
        val config = ServingConfig(
            1,
            listOf(route),
            listOf(ServedService("models", 360, 0.0, limits)),
            emptyList(),
            CallerLimits(16_384, 1 shl 20, 3_000, 15_000),
        )
        for (core in cores.values) {
            core.configure(clock.nanos, config)
            core.daemons(registered)
            core.endpoints(clock.nanos, this.engines.map { record(it) }, afterGap = false)
        }
        repeat(600) { tick() }
        startNanos = clock.nanos
        check(cores.values.sumOf { it.ownedCount } == engines)
    }

    /**
     * Lets [forMillis] pass with requests at [perSecond].
     *
     * @param adapter names the adapter of the next request.
     */
    fun traffic(
        forMillis: Long,
        perSecond: Double,
        prompt: () -> Int = { 1_100 },
        adapter: (Random) -> String = { zipf(it, 3_000) },
    ) {
        val end = clock.nanos + forMillis * 1_000_000
        var next = clock.nanos.toDouble()
        while (clock.nanos < end) {
            while (next <= clock.nanos) {
                ask(adapter(random), prompt())
                next += -ln(1 - random.nextDouble()) / perSecond * 1e9
            }
            tick()
        }
    }

    /** Lets everything that runs come to its end. */
    fun settle() = repeat(1_500) { tick() }

    fun between(fromMillis: Long, toMillis: Long): List<Outcome> =
        outcomes.filter { it.askedMillis in fromMillis until toMillis }

    /** Takes an engine away, as a crash does whose registration goes at once. */
    fun crash(engine: ModelEngine) {
        engine.crash()
        for (core in cores.values) core.endpointGone(EndpointId(engine.id))
    }

    /** Brings a crashed engine back, empty of adapters. */
    fun restart(engine: ModelEngine) {
        engine.restart()
        for (core in cores.values) core.endpoint(clock.nanos, record(engine))
    }

    private fun record(engine: ModelEngine) = EndpointRecord(
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
            { to, message -> messages += Triple(to.member.instance.name, daemon.member, message) },
            {},
            { _, _ -> },
        )
        val options = ServingOptions(daemon.member, daemon.dataCentre, seed = 7)
        return ServingCore(options, daemon.machine, clock, ports)
    }

    private fun engine(id: String) = engines.first { it.id == id }

    private fun tick() {
        clock.pass(10)
        engines.forEach { it.run() }
        repeat(2) {
            repeat(messages.size) {
                val (to, from, message) = messages.removeFirst()
                cores.getValue(to).heard(clock.nanos, from, message)
            }
        }
        cores.values.forEach { it.tick(clock.nanos) }
    }

    private fun ask(adapter: String, prompt: Int) {
        val core = cores.getValue(names[random.nextInt(names.size)])
        val route = ServingFixture().drafts
        val work = Work(
            "r${number++}", route, "models", null, route.priority, "m", adapter, prompt, prompt, clock.nanos,
            clock.nanos + 12_000_000_000,
        )
        step(core, work, HashSet(), loads = 0)
    }

    private fun step(core: ServingCore, work: Work, noLoad: HashSet<EndpointId>, loads: Int) {
        when (val placement = core.place(clock.nanos, work, emptySet(), noLoad)) {
            is Placement.Refuse -> refused(work)
            is Placement.AwaitAdapter -> if (loads == 3) {
                refused(work)
            } else {
                core.await(clock.nanos, work, placement.endpoint) { loaded ->
                    if (!loaded) noLoad += placement.endpoint
                    step(core, work, noLoad, loads + 1)
                }
            }
            is Placement.Send -> core.turn(clock.nanos, work, placement.endpoint) { granted ->
                if (granted) send(core, work, placement) else refused(work)
            }
        }
    }

    private fun send(core: ServingCore, work: Work, placement: Placement.Send) {
        val engine = engine(placement.endpoint.name)
        core.sent(clock.nanos, work, placement.endpoint)
        val sentNanos = clock.nanos
        var firstMillis = 0L
        engine.add(
            ModelEngine.Job(
                work,
                events = 43,
                onFirst = {
                    firstMillis = (clock.nanos - work.arrivedNanos) / 1_000_000
                    core.firstPart(work, placement.endpoint, placement.expectedMillis, (clock.nanos - sentNanos) / 1e6)
                },
                onEnd = { pauseMillis ->
                    core.ended(clock.nanos, work, placement.endpoint, RunEnd.COMPLETE)
                    note(work, firstMillis, pauseMillis, null)
                },
            ),
        )
    }

    private fun refused(work: Work) = note(work, null, null, (clock.nanos - work.arrivedNanos) / 1_000_000)

    private fun note(work: Work, firstMillis: Long?, pauseMillis: Long?, refusedMillis: Long?) {
        val asked = (work.arrivedNanos - startNanos) / 1_000_000
        outcomes += Outcome(asked, work.adapter.orEmpty(), work.priority, firstMillis, pauseMillis, refusedMillis)
    }

    internal companion object {
        /** Draws one of [count] adapters; few of them get most of the requests. */
        fun zipf(random: Random, count: Int, offset: Int = 0): String {
            // Inverse of a continuous power law of exponent 1.2, as the sheets have it.
            val rank = (1 - random.nextDouble() * (1 - count.toDouble().pow(-0.2))).pow(-5.0).toInt()
            return "a${(rank + offset) % count}"
        }
    }
}
