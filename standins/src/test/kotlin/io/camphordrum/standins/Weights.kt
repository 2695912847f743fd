package io.camphordrum.standins

import com.linecorp.armeria.client.WebClient
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import java.util.concurrent.CompletableFuture

/** Counts loads in flight at the weight store. */
internal class WeightCounter {
    private var inFlight = 0

    @get:Synchronized
    var total = 0
        private set

    @get:Synchronized
    var maxInFlight = 0
        private set

    @Synchronized
    fun begin(): Int {
        total++
        inFlight++
        maxInFlight = maxOf(maxInFlight, inFlight)
        return inFlight
    }

    @Synchronized
    fun end() {
        inFlight--
    }
}

/** Tells an engine how many loads are in flight when it begins one. */
internal interface WeightStore {
    fun begin(): CompletableFuture<Int>

    fun end()
}

/** Counts the loads of one engine only. */
internal class OwnWeights : WeightStore {
    private val counter = WeightCounter()

    override fun begin(): CompletableFuture<Int> = CompletableFuture.completedFuture(counter.begin())

    override fun end() = counter.end()
}

/** Counts the loads of all engines at the platform stand-in at [url]. */
internal class SharedWeights(url: String) : WeightStore {
    private val client = WebClient.of(url)

    override fun begin(): CompletableFuture<Int> = client.post("/weights/begin", "").aggregate()
        .thenApply { Json.parseToJsonElement(it.contentUtf8()).jsonObject.int("inFlight") ?: 1 }

    override fun end() {
        client.post("/weights/end", "").aggregate()
    }
}
