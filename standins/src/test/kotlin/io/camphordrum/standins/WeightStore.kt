package io.camphordrum.standins

import com.linecorp.armeria.client.WebClient
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import java.util.concurrent.CompletableFuture

/** Counts the loads from the weight store: all of them, those in flight and the most in flight at once. */
internal class LoadCounter {
    private var inFlight = 0

    @get:Synchronized
    var total = 0
        private set

    @get:Synchronized
    var maxInFlight = 0
        private set

    @Synchronized
    fun beginLoad(): Int {
        total++
        inFlight++
        maxInFlight = maxOf(maxInFlight, inFlight)
        return inFlight
    }

    @Synchronized
    fun endLoad() {
        inFlight--
    }
}

/** Registers the loads of an engine and returns the number of loads in flight at the start of each one. */
internal interface WeightStore {
    fun beginLoad(): CompletableFuture<Int>

    fun endLoad()
}

/** Counts the loads of one engine only. */
internal class LocalWeightStore : WeightStore {
    private val counter = LoadCounter()

    override fun beginLoad(): CompletableFuture<Int> = CompletableFuture.completedFuture(counter.beginLoad())

    override fun endLoad() = counter.endLoad()
}

/** Counts the loads of all engines at the platform stand-in at [url]. */
internal class SharedWeightStore(url: String) : WeightStore {
    private val client = WebClient.of(url)

    override fun beginLoad(): CompletableFuture<Int> = client.post("/weights/begin", "").aggregate()
        .thenApply { Json.parseToJsonElement(it.contentUtf8()).jsonObject.int("inFlight") ?: 1 }

    override fun endLoad() {
        client.post("/weights/end", "").aggregate()
    }
}
