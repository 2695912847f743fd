package io.camphordrum.core.serving

import io.camphordrum.core.Clock
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member

/** Clock advanced only by tests; [stepMillis] shifts the wall clock alone, like an operator or a suspension does. */
class ManualClock : Clock {
    var nanos = 1_000_000_000_000L
    var stepMillis = 0L

    override fun nanos(): Long = nanos

    override fun epochMillis(): Long = nanos / 1_000_000 + stepMillis

    fun advance(millis: Long) {
        nanos += millis * 1_000_000
    }
}

/** Stores rights in memory with the conditional writes of the platform; can be made unavailable. */
class FakeRightStore : RightStore {
    val rights = HashMap<String, StoredRight>()
    var available = true
    var writes = 0
    var lists = 0
    private var revision = 0L

    override fun list(onEnd: (Map<String, StoredRight>?) -> Unit) {
        lists++
        onEnd(if (available) HashMap(rights) else null)
    }

    override fun put(endpoint: String, right: EndpointRight, revision: Long?, onEnd: (RightWriteResult) -> Unit) {
        if (!available) return onEnd(RightWriteResult.Unknown)
        if (rights[endpoint]?.revision != revision) return onEnd(RightWriteResult.Conflict)
        writes++
        rights[endpoint] = StoredRight(right, ++this.revision)
        onEnd(RightWriteResult.Stored(this.revision))
    }
}

/** Carries out orders like an engine: counts each accepted order and loads adapters in [loadMillis]. */
class FakeEngine(private val clock: ManualClock) : OrderPort {
    val orders = ArrayList<EndpointOrder>()
    val held = HashSet<String>()
    var accepted = 0L
    var base: String? = "m"

    /** Whether orders for base models are carried out. */
    var executesBaseLoads = true
    var loadMillis = 250L
    var silent = false
    var busy = false
    var reports = 0
    var startedEpochMillis = 1L
    private val dueNanos = HashMap<String, Long>()

    /** Number of accepted adapter loads. */
    var loads = 0
        private set

    /** Maximum number of adapters that were held or loading at once. */
    var maxUsedSlots = 0
        private set

    fun settle() {
        val done = dueNanos.filterValues { it <= clock.nanos }.keys
        held += done
        dueNanos -= done
    }

    override fun order(order: EndpointOrder, onEnd: (OrderEnd) -> Unit) {
        settle()
        orders += order
        if (silent) return onEnd(OrderEnd.UNKNOWN)
        val adapter = order.adapter
        if (adapter != null && order.load && adapter in dueNanos) return onEnd(OrderEnd.ACCEPTED)
        if (order.expected != accepted) return onEnd(OrderEnd.CONFLICT)
        if (adapter == null) {
            accepted++
            if (executesBaseLoads) base = order.base
            return onEnd(OrderEnd.ACCEPTED)
        }
        if (order.load && adapter in held) return onEnd(OrderEnd.HOLDS)
        accepted++
        if (!order.load) {
            held -= adapter
            return onEnd(OrderEnd.HOLDS)
        }
        loads++
        dueNanos[adapter] = clock.nanos + loadMillis * 1_000_000
        maxUsedSlots = maxOf(maxUsedSlots, held.size + dueNanos.size)
        onEnd(OrderEnd.ACCEPTED)
    }

    override fun report(endpoint: EndpointId, address: String, onEnd: (EndpointReport?) -> Unit) {
        settle()
        reports++
        val models = listOfNotNull(base).map { HeldModel(it, held.associateWith { 1 }) }
        val incoming = if (dueNanos.isEmpty()) {
            emptyList()
        } else {
            listOf(
                HeldModel(
                    "m",
                    dueNanos.keys.associateWith {
                        1
                    },
                ),
            )
        }
        onEnd(if (silent) null else EndpointReport(accepted, busy, models, incoming, startedEpochMillis))
    }
}

/** Creates a serving core with one engine service and one plain service. */
class ServingFixture(
    val name: String = "edge-a1",
    val clock: ManualClock = ManualClock(),
    val rights: FakeRightStore = FakeRightStore(),
    options: (ServingOptions) -> ServingOptions = { it },
) {
    val engine = FakeEngine(clock)
    val sent = ArrayList<Pair<RegisteredDaemon, ServingMessage>>()
    val self = RegisteredDaemon(Member(InstanceId(name), 1), DataCentreId("a"), "10.0.0.1:7600")
    val core = ServingCore(
        options(ServingOptions(self.member, self.dataCentre, seed = 7)),
        "$name@10.0.0.1",
        clock,
        ServingPorts(rights, engine, { daemon, message -> sent += daemon to message }, {}, { _, _ -> }),
    )

    val drafts = ServingRoute(
        "drafts", "reports.example", "/drafts/", Repetition.FORBIDDEN,
        streaming = true, timeoutMillis = 12_000, targetMillis = 800, priority = 2,
        services = listOf(WeightedService("models", 1)),
    )
    val records = ServingRoute(
        "records", "reports.example", "/records/", Repetition.ALLOWED,
        streaming = false, timeoutMillis = 1_500, targetMillis = 300, priority = 2,
        services = listOf(WeightedService("desk", 1)), maxEndpoints = 2,
    )

    fun config(
        version: Long = 1,
        accounts: List<ServedAccount> = emptyList(),
        routes: List<ServingRoute> = listOf(drafts, records),
        loadsPerSecond: Double = 0.0,
        connectionLimit: Int = 360,
        deskColdPerSecond: Double = 0.0,
    ) = ServingConfig(
        version,
        routes,
        listOf(
            ServedService(
                "models",
                connectionLimit,
                13.0,
                EngineLimits(64, 3, listOf(BaseModel("m", 1_900)), loadsPerSecond),
                scale = ScaleBounds(3, 12, 8_000),
            ),
            ServedService("desk", 100, deskColdPerSecond),
        ),
        accounts,
        CallerLimits(16_384, 1 shl 20, 3_000, 15_000),
    )

    fun engineRecord(
        id: String,
        dataCentre: String = "a",
        draining: Boolean = false,
        coldMillis: Long = 0,
        adapters: List<String> = emptyList(),
        empty: Boolean = false,
    ) =
        EndpointRecord(
            EndpointId(
                id,
            ),
            "models", "10.1.0.${id.hashCode().and(127)}:80", DataCentreId(dataCentre), 64, draining, coldMillis, 1,
            if (empty) emptyList() else listOf(HeldModel("m", adapters.associateWith { 1 })),
        )

    fun plainRecord(id: String, dataCentre: String = "a", draining: Boolean = false) =
        EndpointRecord(EndpointId(id), "desk", "10.2.0.9:80", DataCentreId(dataCentre), 6, draining, 0, 1, emptyList())

    fun work(
        id: String,
        adapter: String? = null,
        route: ServingRoute = drafts,
        tokens: Int = 1_000,
        account: String? = null,
    ) = Work(
        id, route, route.services.first().service, account, route.priority,
        if (route === drafts) "m" else null, adapter, tokens, tokens, clock.nanos, clock.nanos + 12_000_000_000,
    )

    /** Advances the clock by [millis] in ticks of 20 ms. */
    fun run(millis: Long) {
        repeat((millis / 20).toInt()) {
            clock.advance(20)
            core.tick(clock.nanos)
        }
    }
}
