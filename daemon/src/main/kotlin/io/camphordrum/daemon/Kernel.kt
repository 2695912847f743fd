package io.camphordrum.daemon

import io.camphordrum.core.Clock
import io.camphordrum.core.CoreEffect
import io.camphordrum.core.CoreOptions
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.DecisionCore
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.json.Json
import java.util.ServiceLoader
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private val log = KotlinLogging.logger {}

/**
 * Owns the decision core and its thread, and starts and stops the plug-ins.
 *
 * ```kotlin
 * val kernel = Kernel(settings)
 * kernel.start()
 * kernel.tryExecute { core, now -> core.requestReceived(now, request) }
 * ```
 */
class Kernel(val settings: Settings, val clock: Clock = SystemClock) {
    /** Member identity of this process. */
    val self = Member(InstanceId(settings.instance), clock.epochMillis())

    /** The data centre of this process. */
    val dataCentre = DataCentreId(settings.dataCentre)

    /** Effect handlers that the plug-ins register. */
    val ports = Ports()

    /** Metrics of this daemon. */
    val metrics = Metrics()

    private val core = DecisionCore(
        CoreOptions(
            self = self,
            dataCentre = dataCentre,
            region = settings.region,
            peerAddress = "${settings.peers.host}:${settings.peers.port}",
            seeds = settings.seeds,
            seed = self.incarnation xor settings.instance.hashCode().toLong(),
            loadReportNanos = TimeUnit.MILLISECONDS.toNanos(settings.loadReportMillis),
        ),
        clock,
        Json,
    )
    private val decisions =
        WorkerThread("decisions", settings.ringSlots, TICK_NANOS) { runEffects(core.tick(clock.nanos())) }
    private val plugins = ServiceLoader.load(Plugin::class.java).sortedBy { it.order }
    private val leaveConfirmed = CountDownLatch(1)

    /** Whether the daemon is shutting down and accepts no new requests. */
    @Volatile
    var draining = false
        private set

    /** Enqueues [step] for the decision thread; returns false, and never runs it, when the ring buffer is full. */
    fun tryExecute(step: (core: DecisionCore, now: Long) -> List<CoreEffect>): Boolean =
        decisions.offer { runEffects(step(core, clock.nanos())) }

    /** Enqueues [step] for the decision thread, blocking while the ring buffer is full; not for the decision thread. */
    fun execute(step: (core: DecisionCore, now: Long) -> List<CoreEffect>) =
        decisions.put { runEffects(step(core, clock.nanos())) }

    /** Returns the result of [read] on the decision thread; it fails when the ring buffer is full. */
    fun <T> query(read: (core: DecisionCore, now: Long) -> T): CompletableFuture<T> {
        val result = CompletableFuture<T>()
        val accepted = decisions.offer { result.complete(read(core, clock.nanos())) }
        if (!accepted) result.completeExceptionally(IllegalStateException("the decision ring is full"))
        return result
    }

    /** Starts the decision thread and all registered plug-ins in order. */
    fun start() {
        ports.listeners += ::onEffect
        metrics.ringDepthGauge { decisions.depth }
        metrics.openRequestsGauge { core.openRequests }
        decisions.start()
        for (plugin in plugins) {
            plugin.start(this)
            log.info { "plugin_started ${plugin.name}" }
        }
    }

    /** Shuts down gracefully: drains, waits for running requests, hands over all rights and stops all plug-ins. */
    fun stop() {
        draining = true
        execute { core, _ ->
            core.drain()
            emptyList()
        }
        for (plugin in plugins.asReversed()) plugin.drain()
        awaitOpenRequests()
        val joined = query { core, _ -> core.joined }.get(LEAVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        execute { core, now -> core.leave(now) }
        if (joined && !leaveConfirmed.await(LEAVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)) log.warn { "leave_unconfirmed" }
        for (plugin in plugins.asReversed()) plugin.stop()
        decisions.stop()
    }

    private fun awaitOpenRequests() {
        val deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(settings.shutdownSeconds)
        while (System.nanoTime() - deadlineNanos < 0) {
            val openRequests = query { core, _ -> core.openRequests }.get(LEAVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            if (openRequests == 0) return
            Thread.sleep(DRAIN_POLL_MILLIS)
        }
        log.warn { "shutdown_with_open_requests" }
    }

    private fun runEffects(effects: List<CoreEffect>) {
        for (effect in effects) {
            metrics.countEffect(effect)
            ports.run(effect)
        }
    }

    private fun onEffect(effect: CoreEffect) {
        when (effect) {
            is CoreEffect.Left -> leaveConfirmed.countDown()
            is CoreEffect.GenerationInForce ->
                log.info { "generation ${effect.generation.number} members=${effect.generation.members.size}" }
            is CoreEffect.ConfigInForce -> log.info { "config_in_force revision=${effect.snapshot.revision}" }
            is CoreEffect.ConfigUnreadable ->
                log.error { "config_unreadable revision=${effect.revision} reason=${effect.reason}" }
            is CoreEffect.Superseded -> log.error { "superseded by=${effect.by}" }
            else -> Unit
        }
    }

    private companion object {
        const val TICK_NANOS = 10_000_000L
        const val LEAVE_TIMEOUT_SECONDS = 10L
        const val DRAIN_POLL_MILLIS = 20L
    }
}
