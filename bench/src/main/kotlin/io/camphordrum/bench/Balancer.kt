package io.camphordrum.bench

import com.linecorp.armeria.client.WebClient
import org.apache.commons.rng.simple.RandomSource
import java.time.Duration
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Replaces the platform's load balancer: picks among the daemons whose `/readyz` returns a success status. */
class Balancer(daemons: List<DaemonAddress>, seed: Long) : AutoCloseable {
    private class Target(val address: DaemonAddress, val probeClient: WebClient) {
        @Volatile var ready = true
    }

    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it, "balancer").apply { isDaemon = true } }
    private val targets = daemons.map {
        val probeClient =
            WebClient.builder(it.operatorsUrl).responseTimeout(Duration.ofMillis(PROBE_INTERVAL_MILLIS * 2)).build()
        Target(it, probeClient)
    }

    init {
        timer.scheduleWithFixedDelay(::probeAll, 0, PROBE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Returns the URLs for callers in the order in which to try them, from a random ready daemon on. */
    fun urlsToTry(): List<String> {
        val ready = targets.filter { it.ready }.ifEmpty { targets }
        val startIndex = synchronized(random) { random.nextInt(ready.size) }
        return ready.indices.map { ready[(startIndex + it) % ready.size].address.callersUrl }
    }

    private fun probeAll() {
        for (target in targets) {
            target.probeClient.get("/readyz").aggregate().handle { answer, _ ->
                target.ready = answer != null && answer.status().isSuccess
            }
        }
    }

    override fun close() {
        timer.shutdownNow()
    }

    private companion object {
        const val PROBE_INTERVAL_MILLIS = 200L
    }
}

/** Holds the base URLs of one daemon for callers and for operators. */
data class DaemonAddress(val callersUrl: String, val operatorsUrl: String)
