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
 * Implements the baseline without residency: requests go to the engines in turn, and each engine replaces its least
 * recently used idle adapter by one that is not resident. Loads keep to the same load budget as those of the daemons.
 */
class RoundRobin(private val caller: Caller, engines: List<String>, size: Size) {
    private val loadPacer = LoadPacer(size.loadsPerSecond)
    private val engines = engines.map { RoundRobinEngine(it, size.slots, loadPacer) }
    private val next = AtomicInteger()

    /** Sends [arrival] to the next engine in turn once its adapter is loaded there. */
    fun send(arrival: Arrival): CompletableFuture<Outcome> {
        val engine = engines[Math.floorMod(next.getAndIncrement(), engines.size)]
        val adapter = arrival.adapter.orEmpty()
        return engine.acquire(adapter)
            .thenCompose { caller.sendDirect(engine.address, arrival) }
            .thenApply { caller.outcomeOf(arrival, it) }
            .whenComplete { _, _ -> engine.release(adapter) }
    }
}

/** Spaces loads evenly at the rate of the weight store. */
internal class LoadPacer(private val loadsPerSecond: Long) {
    private var nextLoadAtNanos = System.nanoTime()

    /** Reserves the next load; the result completes when it may start. */
    fun reserve(): CompletableFuture<Unit> {
        val delayNanos = synchronized(this) {
            val nowNanos = System.nanoTime()
            val loadAtNanos = maxOf(nowNanos, nextLoadAtNanos)
            nextLoadAtNanos = loadAtNanos + 1_000_000_000 / loadsPerSecond
            loadAtNanos - nowNanos
        }
        return CompletableFuture.supplyAsync({ }, CompletableFuture.delayedExecutor(delayNanos, TimeUnit.NANOSECONDS))
    }
}

/** Holds the slots of one engine and queues requests while every slot is in use. */
internal class RoundRobinEngine(val address: String, private val slots: Int, private val loadPacer: LoadPacer) {
    private class Slot(val loaded: CompletableFuture<Unit>) {
        var activeRequests = 0
    }

    private class QueuedRequest(val adapter: String, val slotReady: CompletableFuture<Unit>)

    private val client = WebClient.of(address)
    private val resident = LinkedHashMap<String, Slot>(16, 0.75f, true)
    private val queue = ArrayDeque<QueuedRequest>()

    @Synchronized
    fun acquire(adapter: String): CompletableFuture<Unit> {
        val slot = resident[adapter] ?: loadIntoSlot(adapter)
        if (slot == null) {
            val queued = QueuedRequest(adapter, CompletableFuture())
            queue += queued
            return queued.slotReady
        }
        slot.activeRequests++
        return slot.loaded
    }

    fun release(adapter: String) {
        val admitted = synchronized(this) {
            resident[adapter]?.let { it.activeRequests-- }
            generateSequence { admitNext() }.toList()
        }
        for ((queued, loaded) in admitted) loaded.thenRun { queued.slotReady.complete(Unit) }
    }

    private fun admitNext(): Pair<QueuedRequest, CompletableFuture<Unit>>? {
        val queued = queue.firstOrNull() ?: return null
        val slot = resident[queued.adapter] ?: loadIntoSlot(queued.adapter) ?: return null
        queue.removeFirst()
        slot.activeRequests++
        return queued to slot.loaded
    }

    private fun loadIntoSlot(adapter: String): Slot? {
        var victim: String? = null
        if (resident.size >= slots) {
            victim = resident.entries.firstOrNull { it.value.activeRequests == 0 && it.value.loaded.isDone }?.key
                ?: return null
            resident.remove(victim)
        }
        val loaded = loadPacer.reserve()
            .thenCompose {
                if (victim == null) CompletableFuture.completedFuture(Unit) else sendOrder("unload", victim)
            }
            .thenCompose { sendOrder("load", adapter) }
        return Slot(loaded).also { resident[adapter] = it }
    }

    private fun sendOrder(kind: String, adapter: String): CompletableFuture<Unit> {
        val headers = RequestHeaders.builder(HttpMethod.POST, "/v1/${kind}_lora_adapter")
            .contentType(MediaType.JSON).add("x-fencing", "0").build()
        val body = buildJsonObject { put("lora_name", adapter) }
        return client.execute(HttpRequest.of(headers, HttpData.ofUtf8("$body"))).aggregate().handle { _, _ -> }
    }
}
