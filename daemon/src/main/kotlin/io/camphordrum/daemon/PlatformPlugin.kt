package io.camphordrum.daemon

import com.linecorp.armeria.client.ClientFactory
import io.camphordrum.core.BaseModelId
import io.camphordrum.core.CoreEffect
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.ListedEndpoint
import io.camphordrum.core.Rendezvous
import io.camphordrum.core.membership.MembershipRecord
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.random.Random

private val log = KotlinLogging.logger {}

/**
 * Reads and writes the platform's objects, watches them and reads the list of instances.
 *
 * Two daemons of each data centre watch the configuration's root; the others learn of changes from peers and read the
 * root now and then only.
 */
class PlatformPlugin : Plugin {
    override val name = "platform"
    override val order = 20
    private lateinit var kernel: Kernel
    private lateinit var factory: ClientFactory
    private lateinit var store: ObjectStore
    private lateinit var duty: DutyThread
    private lateinit var objects: CoreObjects
    private lateinit var random: Random
    private lateinit var watches: List<Watch>
    private var nextRoot = 0L
    private var nextInstances = 0L

    @Volatile
    private var rootWatcher = true

    @Volatile
    private var coordinator = false

    override fun start(kernel: Kernel) {
        this.kernel = kernel
        val settings = kernel.settings
        random = Random(kernel.self.incarnation)
        factory = ClientFactory.builder().connectTimeoutMillis(settings.platformTimeoutMillis).build()
        store = HttpObjectStore(settings.platformUrl, factory, settings.platformTimeoutMillis)
        objects = CoreObjects(kernel, store)
        watches = listOf(
            watch(CONFIG_ROOT, { rootWatcher }) { kernel.decide { core, now -> core.loadConfiguration(now) } },
            watch(MEMBERSHIP, {
                true
            }) { names -> names.forEach { objects.readMembership(it.removePrefix(MEMBERSHIP)) } },
            watch(ALLOTMENTS, { coordinator }) { objects.run(CoreEffect.ReadAllotments) },
        )
        duty = DutyThread("platform", RING_SLOTS, TICK_NANOS, ::tick)
        kernel.ports.notices += ::notice
        kernel.ports.store = { effect -> if (!duty.offer { objects.run(effect) }) objects.refuse(effect) }
        duty.start()
        kernel.decide { core, now -> core.loadConfiguration(now) }
    }

    override fun stop() {
        duty.stop()
        factory.close()
    }

    private fun notice(effect: CoreEffect) {
        val generation = (effect as? CoreEffect.GenerationInForce)?.generation ?: return
        val watchers = Rendezvous.order(CONFIG_ROOT, generation.live) { it.instance.name }.take(ROOT_WATCHERS)
        rootWatcher = kernel.self in watchers
        coordinator = generation.coordinator == kernel.self
    }

    private fun watch(prefix: String, wanted: () -> Boolean, changed: (names: Set<String>) -> Unit) =
        Watch(store, prefix, { duty.put(it) }, wanted, changed, { kernel.clock.nanos() + jittered(RETRY_NANOS) })

    private fun tick() {
        val now = kernel.clock.nanos()
        if (now - nextInstances >= 0) readInstances(now)
        for (watch in watches) watch.tick(now)
        if (!rootWatcher && now - nextRoot >= 0) {
            nextRoot = now + jittered(ROOT_READ_NANOS)
            kernel.decide { core, at -> core.loadConfiguration(at) }
        }
    }

    private fun readInstances(now: Long) {
        nextInstances = now + jittered(kernel.settings.instanceListMillis * MILLI)
        store.instances { outcome ->
            when (outcome) {
                is InstancesOutcome.Listed -> {
                    val endpoints = outcome.instances.map(::listed)
                    kernel.decide { core, at -> core.endpointsListed(at, endpoints) }
                }
                is InstancesOutcome.Unavailable -> log.debug { "instances_unavailable reason=${outcome.reason}" }
            }
        }
    }

    private fun listed(line: ListedInstance) = ListedEndpoint(
        id = EndpointId(line.id),
        base = line.base.takeIf { line.kind == "engine" }?.let(::BaseModelId),
        pool = line.pool.takeIf { line.kind != "engine" },
        dataCentre = DataCentreId(line.dataCentre),
        address = line.address.removePrefix("http://"),
        leaving = line.state != "live",
        fencing = line.fencing,
    )

    // Jitter keeps the daemons from reading in step after an outage.
    private fun jittered(nanos: Long): Long = nanos / 2 + random.nextLong(nanos)

    private companion object {
        const val MILLI = 1_000_000L
        const val CONFIG_ROOT = "config/root"
        const val MEMBERSHIP = "membership/"
        const val ALLOTMENTS = "allotments"
        const val ROOT_WATCHERS = 2
        const val RING_SLOTS = 1 shl 12
        const val TICK_NANOS = 20 * MILLI
        const val RETRY_NANOS = 1_000 * MILLI
        const val ROOT_READ_NANOS = 30_000 * MILLI
    }
}

/** Names of the objects that hold the state of the decision core. */
internal fun membershipName(dataCentre: DataCentreId): String = "membership/${dataCentre.name}"

internal val membershipForm = MembershipRecord.serializer()
