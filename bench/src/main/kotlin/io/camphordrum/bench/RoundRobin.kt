package io.camphordrum.bench

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * Is the baseline without residency: requests go to the engines in turn, and each engine loads what it lacks in place
 * of its least recently used idle adapter. It observes the same load budget as the daemons.
 */
class RoundRobin(private val caller: Caller, engines: List<String>, size: Size) {
    private val budget = LoadPacer(size.loadsPerSecond)
    private val engines = engines.map { RoundRobinEngine(it, size.slots, budget) }
    private val next = AtomicInteger()

    /** Sends [arrival] to the next engine in turn. */
    fun send(arrival: Arrival): CompletableFuture<Outcome> {
        val engine = engines[Math.floorMod(next.getAndIncrement(), engines.size)]
        val adapter = arrival.adapter.orEmpty()
        return engine.acquire(adapter)
            .thenCompose { caller.sendDirect(engine.address, arrival) }
            .thenApply { caller.outcome(arrival, it) }
            .whenComplete { _, _ -> engine.release(adapter) }
    }
}

/** Spaces loads evenly at the rate of the weight store. */
internal class LoadPacer(private val loadsPerSecond: Long) {
    private var freeAtNanos = System.nanoTime()

    /** Completes when the next load may begin. */
    fun take(): CompletableFuture<Unit> {
        val wait = synchronized(this) {
            val now = System.nanoTime()
            val at = maxOf(now, freeAtNanos)
            freeAtNanos = at + 1_000_000_000 / loadsPerSecond
            at - now
        }
        return CompletableFuture.supplyAsync({ }, CompletableFuture.delayedExecutor(wait, TimeUnit.NANOSECONDS))
    }
}

internal class RoundRobinEngine(val address: String, private val slots: Int, private val budget: LoadPacer) {
    private class Slot(val ready: CompletableFuture<Unit>) {
        var users = 0
    }

    private class Waiting(val adapter: String, val granted: CompletableFuture<Unit>)

    private val client = WebClient.of(address)
    private val resident = LinkedHashMap<String, Slot>(16, 0.75f, true)
    private val waiting = ArrayDeque<Waiting>()

    @Synchronized
    fun acquire(adapter: String): CompletableFuture<Unit> {
        val slot = resident[adapter] ?: place(adapter)
        if (slot == null) {
            val entry = Waiting(adapter, CompletableFuture())
            waiting += entry
            return entry.granted
        }
        slot.users++
        return slot.ready
    }

    fun release(adapter: String) {
        val granted = synchronized(this) {
            resident[adapter]?.let { it.users-- }
            generateSequence { nextWaiting() }.toList()
        }
        for ((entry, ready) in granted) ready.thenRun { entry.granted.complete(Unit) }
    }

    private fun nextWaiting(): Pair<Waiting, CompletableFuture<Unit>>? {
        val entry = waiting.firstOrNull() ?: return null
        val slot = resident[entry.adapter] ?: place(entry.adapter) ?: return null
        waiting.removeFirst()
        slot.users++
        return entry to slot.ready
    }

    private fun place(adapter: String): Slot? {
        var victim: String? = null
        if (resident.size >= slots) {
            victim = resident.entries.firstOrNull { it.value.users == 0 && it.value.ready.isDone }?.key ?: return null
            resident.remove(victim)
        }
        val ready = budget.take()
            .thenCompose { if (victim == null) CompletableFuture.completedFuture(Unit) else order("unload", victim) }
            .thenCompose { order("load", adapter) }
        return Slot(ready).also { resident[adapter] = it }
    }

    private fun order(kind: String, adapter: String): CompletableFuture<Unit> {
        val head = RequestHeaders.builder(HttpMethod.POST, "/v1/${kind}_lora_adapter")
            .contentType(MediaType.JSON).add("x-fencing", "0").build()
        val body = buildJsonObject { put("lora_name", adapter) }
        return client.execute(HttpRequest.of(head, HttpData.ofUtf8("$body"))).aggregate().handle { _, _ -> }
    }
}
