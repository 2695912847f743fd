package io.camphordrum.standins

import java.util.TreeMap
import java.util.concurrent.CompletableFuture

/** Represents the outcome of an order to load an adapter. */
internal enum class LoadOutcome { LOADED, NO_SLOT, FAILED }

/** Manages the resident adapters of one engine and loads further ones into free slots. */
internal class AdapterSlots(private val options: EngineOptions, private val weightStore: WeightStore) {
    private val resident = sortedSetOf<String>()
    private val loading = TreeMap<String, CompletableFuture<LoadOutcome>>()
    private var loadsToFail = 0

    var loads = 0
        private set
    var evictions = 0
        private set

    @Synchronized
    fun names(): Set<String> = resident.toSortedSet()

    @Synchronized
    fun isResident(adapter: String): Boolean = adapter in resident

    @Synchronized
    fun failNextLoads(count: Int) {
        loadsToFail = count
    }

    /** Loads [adapter]; concurrent orders for the same adapter share one load. */
    @Synchronized
    fun load(adapter: String): CompletableFuture<LoadOutcome> {
        if (adapter in resident) return CompletableFuture.completedFuture(LoadOutcome.LOADED)
        loading[adapter]?.let { return it }
        if (resident.size + loading.size >= options.slots) {
            return CompletableFuture.completedFuture(LoadOutcome.NO_SLOT)
        }
        val completion = CompletableFuture<LoadOutcome>()
        loading[adapter] = completion
        loads++
        weightStore.beginLoad().thenAccept { inFlight ->
            delayedExecutor((options.loadMillis * maxOf(1.0, inFlight / LOADS_AT_FULL_SPEED)).toLong())
                .execute { finishLoad(adapter, completion) }
        }
        return completion
    }

    private fun finishLoad(adapter: String, completion: CompletableFuture<LoadOutcome>) {
        weightStore.endLoad()
        val outcome = synchronized(this) {
            // A load that was started before a restart belongs to an earlier incarnation and fails.
            val current = loading.remove(adapter, completion)
            when {
                !current -> LoadOutcome.FAILED
                loadsToFail-- > 0 -> LoadOutcome.FAILED
                else -> LoadOutcome.LOADED.also { resident += adapter }
            }
        }
        completion.complete(outcome)
    }

    @Synchronized
    fun unload(adapter: String): Boolean = resident.remove(adapter).also { if (it) evictions++ }

    @Synchronized
    fun clear() {
        resident.clear()
        loading.clear()
    }

    private companion object {
        const val LOADS_AT_FULL_SPEED = 8.0
    }
}
