package io.camphordrum.bench

import com.linecorp.armeria.client.WebClient
import org.apache.commons.rng.simple.RandomSource
import java.time.Duration
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Stands in for the platform's load balancer: picks among the daemons whose `/readyz` answers with success. */
class Balancer(daemons: List<DaemonAddress>, seed: Long) : AutoCloseable {
    private class Target(val address: DaemonAddress, val probe: WebClient) {
        @Volatile var ready = true
    }

    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it, "balancer").apply { isDaemon = true } }
    private val targets = daemons.map {
        val probe = WebClient.builder(it.operators).responseTimeout(Duration.ofMillis(PROBE_MILLIS * 2)).build()
        Target(it, probe)
    }

    init {
        timer.scheduleWithFixedDelay(::probe, 0, PROBE_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Returns callers' addresses in the order in which to try them. */
    fun order(): List<String> {
        val ready = targets.filter { it.ready }.ifEmpty { targets }
        val start = synchronized(random) { random.nextInt(ready.size) }
        return ready.indices.map { ready[(start + it) % ready.size].address.callers }
    }

    private fun probe() {
        for (target in targets) {
            target.probe.get("/readyz").aggregate().handle { answer, _ ->
                target.ready = answer != null && answer.status().isSuccess
            }
        }
    }

    override fun close() {
        timer.shutdownNow()
    }

    private companion object {
        const val PROBE_MILLIS = 200L
    }
}

/** Holds the addresses of one daemon for callers and operators. */
data class DaemonAddress(val callers: String, val operators: String)
