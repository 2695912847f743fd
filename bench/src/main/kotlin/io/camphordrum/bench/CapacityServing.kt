package io.camphordrum.bench

import io.camphordrum.core.Clock
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import io.camphordrum.core.serving.BaseModel
import io.camphordrum.core.serving.CallerLimits
import io.camphordrum.core.serving.EndpointOrder
import io.camphordrum.core.serving.EndpointRecord
import io.camphordrum.core.serving.EndpointReport
import io.camphordrum.core.serving.EndpointRight
import io.camphordrum.core.serving.EngineLimits
import io.camphordrum.core.serving.FleetDigest
import io.camphordrum.core.serving.HeldModel
import io.camphordrum.core.serving.OrderEnd
import io.camphordrum.core.serving.OrderPort
import io.camphordrum.core.serving.RegisteredDaemon
import io.camphordrum.core.serving.Repetition
import io.camphordrum.core.serving.RightStore
import io.camphordrum.core.serving.RightWriteResult
import io.camphordrum.core.serving.ServedService
import io.camphordrum.core.serving.ServingConfig
import io.camphordrum.core.serving.ServingCore
import io.camphordrum.core.serving.ServingMessage
import io.camphordrum.core.serving.ServingNotice
import io.camphordrum.core.serving.ServingOptions
import io.camphordrum.core.serving.ServingPorts
import io.camphordrum.core.serving.ServingRoute
import io.camphordrum.core.serving.StoredRight
import io.camphordrum.core.serving.WeightedService
import io.camphordrum.core.serving.Work
import io.camphordrum.wire.PeerMessage
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

// The budget of a daemon for control, in milliseconds of processor time a second: 1.7% of a core.
private const val CPU_MILLIS_PER_SECOND = 17.0
private const val PLACE_P99_MICROS = 100.0
private const val CONTROL_BYTES_PER_SECOND = 10_000.0

private const val ENDPOINTS = 63
private const val DATA_CENTRES = 3
private const val SERVICE = "models"
private const val BASE = "m"
private const val ADAPTERS = 8
private const val TICK_NANOS = 10_000_000L

// The other daemons are ticked more rarely, which changes neither when nor how often they send.
private const val OTHERS_TICK_NANOS = 50_000_000L
private const val SETTLE_SECONDS = 12
private const val MEASURED_SECONDS = 10
private const val PLACEMENTS = 20_000

/**
 * Measures the control cost of a steady daemon of the serving path among 66, 95 and 390 daemons.
 *
 * Fails if the observed daemon, which is not a relay, exceeds the budget.
 */
internal fun servingSlope(): List<CapacityPoint> {
    val points = listOf(66, 95, 390).map { CapacityPoint("serving", it, ServingCapacityFleet(it).measure()) }
    for (point in points) {
        requireAtMost(point, "cpu ms/s", CPU_MILLIS_PER_SECOND)
        requireAtMost(point, "bytes/s", CONTROL_BYTES_PER_SECOND)
        if (point.size <= 95) requireAtMost(point, "place p99 us", PLACE_P99_MICROS)
    }
    return points
}

private fun requireAtMost(point: CapacityPoint, name: String, bound: Double) {
    val measured = point.values.getValue(name)
    check(measured <= bound) { "${point.size} daemons: $name: expected at most $bound, but was $measured" }
}

/** Runs the serving cores of a fleet on a manual clock and measures the one that started last. */
@OptIn(ExperimentalSerializationApi::class)
private class ServingCapacityFleet(private val daemons: Int) :
    Clock,
    OrderPort,
    RightStore {
    private var nowNanos = 1_000_000_000L
    private val cbor = Cbor { ignoreUnknownKeys = true }
    private val rights = HashMap<String, StoredRight>()
    private var revision = 0L
    private val queue = ArrayDeque<Triple<RegisteredDaemon, Member, ServingMessage>>()
    private val registered = List(daemons) {
        RegisteredDaemon(
            Member(InstanceId("edge-$it"), 1L + it),
            dataCentre(it),
            "10.0.${it / 250}.${it % 250}:7600",
        )
    }
    private val route = ServingRoute(
        "drafts",
        "h",
        "/",
        Repetition.RESUMABLE,
        true,
        15_000,
        1_000,
        1,
        listOf(WeightedService(SERVICE, 1)),
    )
    private val endpoints = List(ENDPOINTS) {
        val adapters = (0 until ADAPTERS).associate { adapter -> "x-${(it + adapter * 7) % ENDPOINTS}" to 1 }
        val held = listOf(HeldModel(BASE, adapters))
        EndpointRecord(EndpointId("i-$it"), SERVICE, "10.1.0.$it:80", dataCentre(it), 16, false, 0, 1, held)
    }
    private val heldById = endpoints.associate { it.id to it.held }

    // The daemon that started last is no relay and receives its digests from another one.
    private val observed = registered.last()
    private var isMeasuring = false
    private val encodeMeter = CapacityMeter()
    private val noticeMeter = CapacityMeter()
    private val digestMeter = CapacityMeter()
    private val messageMeter = CapacityMeter()
    private val tickMeter = CapacityMeter()
    private var sentBytes = 0L
    private val cores = registered.associateWith(::core)

    fun measure(): Map<String, Double> {
        run(SETTLE_SECONDS)
        isMeasuring = true
        run(MEASURED_SECONDS)
        isMeasuring = false
        val meters = listOf(tickMeter, noticeMeter, digestMeter, messageMeter)
        val cpuMicros = meters.sumOf { if (it.count == 0L) 0.0 else it.meanMicros * it.count }
        val placeMeter = measurePlace()
        return mapOf(
            "cpu ms/s" to cpuMicros / 1e3 / MEASURED_SECONDS,
            "tick us" to tickMeter.meanMicros,
            "encode of a notice us" to encodeMeter.meanMicros,
            "receipt of a digest us" to digestMeter.meanMicros,
            "messages/s" to encodeMeter.count.toDouble() / MEASURED_SECONDS,
            "bytes/s" to sentBytes.toDouble() / MEASURED_SECONDS,
            "place p50 us" to placeMeter.p50Micros,
            "place p99 us" to placeMeter.p99Micros,
        )
    }

    private fun measurePlace(): CapacityMeter {
        val core = cores.getValue(observed)
        val meter = CapacityMeter()
        repeat(2 * PLACEMENTS) {
            val work = Work(
                id = "r-$it",
                route = route,
                service = SERVICE,
                account = null,
                priority = 1,
                base = BASE,
                adapter = "x-${it % ENDPOINTS}",
                promptTokens = 800,
                chargedTokens = 800,
                arrivedNanos = nowNanos,
                deadlineNanos = nowNanos + route.timeoutMillis * 1_000_000,
                newTokens = 300,
            )
            if (it < PLACEMENTS) core.place(nowNanos, work) else meter.measure { core.place(nowNanos, work) }
        }
        return meter
    }

    private fun run(seconds: Int) = repeat((seconds * 1_000_000_000L / TICK_NANOS).toInt()) {
        nowNanos += TICK_NANOS
        repeat(queue.size) {
            val (to, from, message) = queue.removeFirst()
            if (to == observed && isMeasuring) receiveMeasured(from, message) else receive(to, from, message)
        }
        val othersAreDue = nowNanos % OTHERS_TICK_NANOS == 0L
        for ((daemon, core) in cores) {
            if (daemon == observed && isMeasuring) {
                tickMeter.measure { core.tick(nowNanos) }
            } else if (daemon == observed || othersAreDue) {
                core.tick(nowNanos)
            }
        }
    }

    private fun receive(to: RegisteredDaemon, from: Member, message: ServingMessage) =
        cores.getValue(to).receive(nowNanos, from, message)

    private fun receiveMeasured(from: Member, message: ServingMessage) {
        val bytes = encode(message)
        val meter = when (message) {
            is ServingNotice -> noticeMeter
            is FleetDigest -> digestMeter
            else -> messageMeter
        }
        meter.measure {
            val decoded = cbor.decodeFromByteArray(PeerMessage.serializer(), bytes) as PeerMessage.Serving
            receive(observed, from, decoded.message)
        }
    }

    private fun encode(message: ServingMessage) =
        cbor.encodeToByteArray(PeerMessage.serializer(), PeerMessage.Serving(message))

    // The time to encode is part of the tick that sends.
    private fun send(from: RegisteredDaemon, to: RegisteredDaemon, message: ServingMessage) {
        if (from == observed && isMeasuring) sentBytes += encodeMeter.measure { encode(message) }.size
        queue += Triple(to, from.member, message)
    }

    private fun core(daemon: RegisteredDaemon): ServingCore {
        val ports = ServingPorts(this, this, { to, message -> send(daemon, to, message) }, {}, { _, _ -> })
        val options = ServingOptions(daemon.member, daemon.dataCentre, seed = 7)
        val engine = EngineLimits(16, ADAPTERS + 3, listOf(BaseModel(BASE, 1_000)))
        val limits = CallerLimits(16_384, 4_194_304, 3_000, 9_000)
        val service = ServedService(SERVICE, 520, 0.0, engine)
        val config = ServingConfig(1, listOf(route), listOf(service), emptyList(), limits)
        return ServingCore(options, daemon.machine, this, ports).also {
            it.configure(nowNanos, config)
            it.replaceDaemons(registered)
            it.replaceEndpoints(nowNanos, endpoints, afterGap = false)
        }
    }

    override fun nanos(): Long = nowNanos

    override fun epochMillis(): Long = nowNanos / 1_000_000

    override fun order(order: EndpointOrder, onEnd: (OrderEnd) -> Unit) = onEnd(OrderEnd.HOLDS)

    override fun report(endpoint: EndpointId, address: String, onEnd: (EndpointReport?) -> Unit) =
        onEnd(EndpointReport(0, false, heldById.getValue(endpoint), emptyList(), 1))

    override fun list(onEnd: (Map<String, StoredRight>?) -> Unit) = onEnd(HashMap(rights))

    override fun put(endpoint: String, right: EndpointRight, revision: Long?, onEnd: (RightWriteResult) -> Unit) {
        if (rights[endpoint]?.revision != revision) return onEnd(RightWriteResult.Conflict)
        rights[endpoint] = StoredRight(right, ++this.revision)
        onEnd(RightWriteResult.Stored(this.revision))
    }

    private companion object {
        fun dataCentre(index: Int) = DataCentreId("zone-${index % DATA_CENTRES}")
    }
}
