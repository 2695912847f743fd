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
 * kernel.decide { core, now -> core.requestReceived(now, request) }
 * ```
 */
class Kernel(val settings: Settings, val clock: Clock = SystemClock) {
    /** This process. */
    val self = Member(InstanceId(settings.instance), clock.epochMillis())

    /** The data centre of this process. */
    val dataCentre = DataCentreId(settings.dataCentre)

    /** Where plug-ins register what they carry out. */
    val ports = Ports()

    /** What the daemon counts. */
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
    private val decisions = DutyThread("decisions", settings.ringSlots, TICK_NANOS) { run(core.tick(clock.nanos())) }
    private val plugins = ServiceLoader.load(Plugin::class.java).sortedBy { it.order }
    private val left = CountDownLatch(1)

    /** Whether the daemon takes no new requests. */
    @Volatile
    var draining = false
        private set

    /** Runs [step] on the decision thread; returns false when its ring is full, and then [step] never runs. */
    fun decide(step: (core: DecisionCore, now: Long) -> List<CoreEffect>): Boolean =
        decisions.offer { run(step(core, clock.nanos())) }

    /** Runs [step] on the decision thread, and waits for a free slot; not to be called on the decision thread. */
    fun decideSurely(step: (core: DecisionCore, now: Long) -> List<CoreEffect>) =
        decisions.put { run(step(core, clock.nanos())) }

    /** Reads something from the core on the decision thread. */
    fun <T> ask(question: (core: DecisionCore, now: Long) -> T): CompletableFuture<T> {
        val answer = CompletableFuture<T>()
        val taken = decisions.offer { answer.complete(question(core, clock.nanos())) }
        if (!taken) answer.completeExceptionally(IllegalStateException("the decision ring is full"))
        return answer
    }

    /** Starts the decision thread and all registered plug-ins in order. */
    fun start() {
        ports.notices += ::notice
        metrics.ringDepth { decisions.depth }
        metrics.openRequests { core.openRequests }
        decisions.start()
        for (plugin in plugins) {
            plugin.start(this)
            log.info { "plugin_started ${plugin.name}" }
        }
    }

    /** Stops gracefully: takes no new requests, finishes those that run, hands over all rights, and ends. */
    fun stop() {
        draining = true
        decideSurely { core, _ ->
            core.drain()
            emptyList()
        }
        for (plugin in plugins.asReversed()) plugin.drain()
        awaitRequests()
        val joined = ask { core, _ -> core.joined }.get(LEAVE_SECONDS, TimeUnit.SECONDS)
        decideSurely { core, now -> core.leave(now) }
        if (joined && !left.await(LEAVE_SECONDS, TimeUnit.SECONDS)) log.warn { "leave_unconfirmed" }
        for (plugin in plugins.asReversed()) plugin.stop()
        decisions.stop()
    }

    private fun awaitRequests() {
        val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(settings.shutdownSeconds)
        while (System.nanoTime() - end < 0) {
            val open = ask { core, _ -> core.openRequests }.get(LEAVE_SECONDS, TimeUnit.SECONDS)
            if (open == 0) return
            Thread.sleep(DRAIN_POLL_MILLIS)
        }
        log.warn { "shutdown_with_open_requests" }
    }

    private fun run(effects: List<CoreEffect>) {
        for (effect in effects) {
            metrics.effect(effect)
            ports.run(effect)
        }
    }

    private fun notice(effect: CoreEffect) {
        when (effect) {
            is CoreEffect.Left -> left.countDown()
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
        const val LEAVE_SECONDS = 10L
        const val DRAIN_POLL_MILLIS = 20L
    }
}
