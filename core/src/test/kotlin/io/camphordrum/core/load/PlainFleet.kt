package io.camphordrum.core.load

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import io.camphordrum.core.serving.CallerLimits
import io.camphordrum.core.serving.EndpointRecord
import io.camphordrum.core.serving.FakeEngine
import io.camphordrum.core.serving.FakeRightStore
import io.camphordrum.core.serving.ManualClock
import io.camphordrum.core.serving.Placement
import io.camphordrum.core.serving.RegisteredDaemon
import io.camphordrum.core.serving.RunEnd
import io.camphordrum.core.serving.ServedService
import io.camphordrum.core.serving.ServingConfig
import io.camphordrum.core.serving.ServingCore
import io.camphordrum.core.serving.ServingFixture
import io.camphordrum.core.serving.ServingMessage
import io.camphordrum.core.serving.ServingOptions
import io.camphordrum.core.serving.ServingPorts
import io.camphordrum.core.serving.Work
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlin.math.ln
import kotlin.random.Random

/** Simulates an endpoint of a plain service with [SLOTS] places and a bounded queue. */
internal class PlainEndpoint(val name: String, val dataCentre: String, private val random: Random) {
    private class Job(var remainingMillis: Double, val onEnd: (RunEnd) -> Unit)

    /** How much longer work takes now than as usual. */
    var slowness: () -> Double = { 1.0 }

    /** Part of the requests that it turns away without running them. */
    var shedPart = 0.0

    /** What its answers state about its load; null for the truth. */
    var claim: ReportedLoad? = null
    var arrivals = 0
    private val jobs = ArrayList<Job>()

    val reported: ReportedLoad
        get() = claim ?: ReportedLoad(
            minOf(jobs.size, SLOTS),
            maxOf(0, jobs.size - SLOTS),
            SLOTS,
            (slowness() * 100).toInt(),
        )

    fun add(onEnd: (RunEnd) -> Unit) {
        arrivals++
        if (random.nextDouble() < shedPart || jobs.size >= SLOTS + QUEUE) {
            onEnd(RunEnd.TURNED_AWAY)
        } else {
            jobs += Job(WORK_MILLIS * (0.6 + 0.8 * random.nextDouble()), onEnd)
        }
    }

    fun restart() {
        val lost = jobs.toList()
        jobs.clear()
        lost.forEach { it.onEnd(RunEnd.FAILED) }
    }

    fun advance(millis: Double) {
        val ended = jobs.take(SLOTS).onEach { it.remainingMillis -= millis / slowness() }.filter {
            it.remainingMillis <= 0
        }
        jobs.removeAll(ended)
        ended.forEach { it.onEnd(RunEnd.COMPLETE) }
    }

    companion object {
        const val SLOTS = 6
        const val QUEUE = 24
        const val WORK_MILLIS = 21.0
    }
}

/** Runs the serving cores of 66 daemons in three data centres in front of plain endpoints, on a manual clock. */
@OptIn(ExperimentalSerializationApi::class)
internal class PlainFleet(endpointDataCentres: List<String>, seed: Int = 1) {
    class Outcome(val arrivedMillis: Long, val millis: Long?)

    private val random = Random(seed)
    private val clock = ManualClock()
    val endpoints = endpointDataCentres.mapIndexed { index, dataCentre ->
        PlainEndpoint("d-$index", dataCentre, random)
    }
    private val registered = (0 until DAEMONS).map {
        val member = Member(InstanceId("edge-$it"), 1L + it)
        RegisteredDaemon(member, DataCentreId(DATA_CENTRES[it % DATA_CENTRES.size]), "10.0.0.$it:7600")
    }
    private val messages = ArrayDeque<Triple<String, Member, ServingMessage>>()
    private val cores = registered.associate { it.member.instance.name to core(it) }
    private val outcomes = ArrayList<Outcome>()
    private var requests = 0
    private val startNanos: Long

    /** Bytes that all daemons sent to each other since the start of the traffic. */
    var bytes = 0L
        private set
    val millis: Long get() = (clock.nanos - startNanos) / 1_000_000

    init {
        val route = ServingFixture().records.copy(targetMillis = TARGET_MILLIS)
        val config = ServingConfig(
            1,
            listOf(route),
            listOf(ServedService("desk", 460, 0.0)),
            emptyList(),
            CallerLimits(16_384, 1 shl 20, 3_000, 15_000),
        )
        val records = endpoints.map { record(it, startedEpochMillis = 1) }
        for (core in cores.values) {
            core.configure(clock.nanos, config)
            core.replaceDaemons(registered)
            core.replaceEndpoints(clock.nanos, records, afterGap = false)
        }
        repeat(4_000 / TICK_MILLIS) { tick() }
        startNanos = clock.nanos
        bytes = 0
    }

    /** Restarts [endpoint] without its queue under the same name. */
    fun restart(endpoint: PlainEndpoint) {
        endpoint.restart()
        for (core in cores.values) core.putEndpoint(clock.nanos, record(endpoint, startedEpochMillis = 2))
    }

    private fun record(endpoint: PlainEndpoint, startedEpochMillis: Long): EndpointRecord {
        val dataCentre = DataCentreId(endpoint.dataCentre)
        val id = EndpointId(endpoint.name)
        return EndpointRecord(id, "desk", endpoint.name, dataCentre, 6, false, 0, startedEpochMillis, emptyList())
    }

    /** Submits [perSecond] requests to random daemons for [durationMillis]. */
    fun traffic(durationMillis: Long, perSecond: Double) {
        val endNanos = clock.nanos + durationMillis * 1_000_000
        var next = clock.nanos.toDouble()
        while (clock.nanos < endNanos) {
            while (next <= clock.nanos) {
                submit()
                next += -ln(1 - random.nextDouble()) / perSecond * 1e9
            }
            tick()
        }
    }

    /** Returns the part of the requests that arrived in this time and were answered within their target. */
    fun partInTime(fromMillis: Long, toMillis: Long): Double {
        val arrived = outcomes.filter { it.arrivedMillis in fromMillis until toMillis }
        return arrived.count { it.millis != null && it.millis <= TARGET_MILLIS }.toDouble() / arrived.size
    }

    /** Runs until all requests have ended. */
    fun drain() = repeat(2_000 / TICK_MILLIS) { tick() }

    private fun core(daemon: RegisteredDaemon): ServingCore {
        val send = { to: RegisteredDaemon, message: ServingMessage ->
            bytes += Cbor.encodeToByteArray(ServingMessage.serializer(), message).size
            messages += Triple(to.member.instance.name, daemon.member, message)
        }
        val ports = ServingPorts(FakeRightStore(), FakeEngine(clock), send, {}, { _, _ -> })
        return ServingCore(ServingOptions(daemon.member, daemon.dataCentre, seed = 7), daemon.machine, clock, ports)
    }

    private fun tick() {
        clock.advance(TICK_MILLIS.toLong())
        endpoints.forEach { it.advance(TICK_MILLIS.toDouble()) }
        repeat(messages.size) {
            val (to, from, message) = messages.removeFirst()
            cores.getValue(to).receive(clock.nanos, from, message)
        }
        if (clock.nanos / 1_000_000 % 10 == 0L) cores.values.forEach { it.tick(clock.nanos) }
    }

    private fun submit() {
        val core = cores.getValue("edge-${random.nextInt(DAEMONS)}")
        val route = ServingFixture().records.copy(targetMillis = TARGET_MILLIS)
        val deadlineNanos = clock.nanos + 1_000_000_000
        val work = Work(
            "r${requests++}", route, "desk", null, 2, null, null, 0, 0, clock.nanos, deadlineNanos,
        )
        place(core, work, emptySet())
    }

    private fun place(core: ServingCore, work: Work, tried: Set<EndpointId>) {
        val placement = if (tried.size > 1) null else core.place(clock.nanos, work, tried) as? Placement.Send
        if (placement == null) {
            recordEnd(work, null)
            return
        }
        val endpoint = endpoints.first { it.name == placement.endpoint.name }
        val sentNanos = clock.nanos
        core.recordSend(sentNanos, work, placement.endpoint)
        endpoint.add { end ->
            core.recordReportedLoad(clock.nanos, placement.endpoint, endpoint.reported)
            if (end == RunEnd.COMPLETE) {
                core.recordPlainAnswer(clock.nanos, work, placement.endpoint, (clock.nanos - sentNanos) / 1e6)
            }
            core.recordRunEnd(clock.nanos, work, placement.endpoint, end)
            if (end == RunEnd.COMPLETE) {
                recordEnd(work, (clock.nanos - work.arrivedNanos) / 1_000_000)
            } else {
                place(core, work, tried + placement.endpoint)
            }
        }
    }

    private fun recordEnd(work: Work, millis: Long?) {
        outcomes += Outcome((work.arrivedNanos - startNanos) / 1_000_000, millis)
    }

    companion object {
        const val DAEMONS = 66
        const val TARGET_MILLIS = 124L
        const val TICK_MILLIS = 2
        val DATA_CENTRES = listOf("a", "b", "c")
    }
}
