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
 * Two daemons of each data centre watch the configuration's root. The others receive changes from peers and read the
 * root only every 15 to 45 s.
 */
class PlatformPlugin : Plugin {
    override val name = "platform"
    override val order = 20
    private lateinit var kernel: Kernel
    private lateinit var clientFactory: ClientFactory
    private lateinit var store: ObjectStore
    private lateinit var platformThread: WorkerThread
    private lateinit var storeEffects: StoreEffectHandler
    private lateinit var random: Random
    private lateinit var watches: List<Watch>
    private var nextRootReadNanos = 0L
    private var nextInstancesReadNanos = 0L

    @Volatile
    private var watchesRoot = true

    @Volatile
    private var isCoordinator = false

    override fun start(kernel: Kernel) {
        this.kernel = kernel
        val settings = kernel.settings
        random = Random(kernel.self.incarnation)
        clientFactory = ClientFactory.builder().connectTimeoutMillis(settings.platformTimeoutMillis).build()
        store = HttpObjectStore(settings.platformUrl, clientFactory, settings.platformTimeoutMillis)
        storeEffects = StoreEffectHandler(kernel, store)
        watches = listOf(
            newWatch(CONFIG_ROOT, { watchesRoot }) { kernel.tryExecute { core, now -> core.loadConfiguration(now) } },
            newWatch(MEMBERSHIP_PREFIX, {
                true
            }) { names -> names.forEach { storeEffects.readMembership(it.removePrefix(MEMBERSHIP_PREFIX)) } },
            newWatch(ALLOTMENTS, { isCoordinator }) { storeEffects.run(CoreEffect.ReadAllotments) },
        )
        platformThread = WorkerThread("platform", RING_SLOTS, TICK_NANOS, ::tick)
        kernel.ports.listeners += ::onEffect
        kernel.ports.storeHandler =
            { effect -> if (!platformThread.offer { storeEffects.run(effect) }) storeEffects.reject(effect) }
        platformThread.start()
        kernel.tryExecute { core, now -> core.loadConfiguration(now) }
    }

    override fun stop() {
        platformThread.stop()
        clientFactory.close()
    }

    private fun onEffect(effect: CoreEffect) {
        val generation = (effect as? CoreEffect.GenerationInForce)?.generation ?: return
        val rootWatchers = Rendezvous.order(CONFIG_ROOT, generation.live) { it.instance.name }.take(ROOT_WATCHER_COUNT)
        watchesRoot = kernel.self in rootWatchers
        isCoordinator = generation.coordinator == kernel.self
    }

    private fun newWatch(prefix: String, enabled: () -> Boolean, onChange: (names: Set<String>) -> Unit) =
        Watch(store, prefix, { platformThread.put(it) }, enabled, onChange, {
            kernel.clock.nanos() + withJitter(RETRY_DELAY_NANOS)
        })

    private fun tick() {
        val now = kernel.clock.nanos()
        if (now - nextInstancesReadNanos >= 0) readInstances(now)
        for (watch in watches) watch.tick(now)
        if (!watchesRoot && now - nextRootReadNanos >= 0) {
            nextRootReadNanos = now + withJitter(ROOT_READ_INTERVAL_NANOS)
            kernel.tryExecute { core, at -> core.loadConfiguration(at) }
        }
    }

    private fun readInstances(now: Long) {
        nextInstancesReadNanos = now + withJitter(kernel.settings.instanceListMillis * NANOS_PER_MILLI)
        store.instances { result ->
            when (result) {
                is InstancesResult.Listed -> {
                    val endpoints = result.instances.map(::toListedEndpoint)
                    kernel.tryExecute { core, at -> core.endpointsListed(at, endpoints) }
                }
                is InstancesResult.Unavailable -> log.debug { "instances_unavailable reason=${result.reason}" }
            }
        }
    }

    private fun toListedEndpoint(instance: ListedInstance) = ListedEndpoint(
        id = EndpointId(instance.id),
        base = instance.base.takeIf { instance.kind == "engine" }?.let(::BaseModelId),
        pool = instance.pool.takeIf { instance.kind != "engine" },
        dataCentre = DataCentreId(instance.dataCentre),
        address = instance.address.removePrefix("http://"),
        leaving = instance.state != "live",
        fencing = instance.fencing,
    )

    // Jitter prevents the daemons from reading at the same moment after an outage.
    private fun withJitter(nanos: Long): Long = nanos / 2 + random.nextLong(nanos)

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val CONFIG_ROOT = "config/root"
        const val MEMBERSHIP_PREFIX = "membership/"
        const val ALLOTMENTS = "allotments"
        const val ROOT_WATCHER_COUNT = 2
        const val RING_SLOTS = 1 shl 12
        const val TICK_NANOS = 20 * NANOS_PER_MILLI
        const val RETRY_DELAY_NANOS = 1_000 * NANOS_PER_MILLI
        const val ROOT_READ_INTERVAL_NANOS = 30_000 * NANOS_PER_MILLI
    }
}

/** Returns the name of the object that holds the membership record of [dataCentre]. */
internal fun membershipObjectName(dataCentre: DataCentreId): String = "membership/${dataCentre.name}"

internal val membershipSerializer = MembershipRecord.serializer()
