package io.camphordrum.standins

import java.util.TreeMap
import java.util.concurrent.CompletableFuture

/** Tells how an order to load an adapter ended. */
internal enum class LoadOutcome { LOADED, NO_SLOT, FAILED }

/** Holds the resident adapters of one engine and loads further ones. */
internal class AdapterSlots(private val options: EngineOptions, private val weights: WeightStore) {
    private val resident = sortedSetOf<String>()
    private val loading = TreeMap<String, CompletableFuture<LoadOutcome>>()
    private var failNext = 0

    var loads = 0
        private set
    var evictions = 0
        private set

    @Synchronized
    fun names(): Set<String> = resident.toSortedSet()

    @Synchronized
    fun holds(adapter: String): Boolean = adapter in resident

    @Synchronized
    fun failNext(count: Int) {
        failNext = count
    }

    /** Loads [adapter]; repeated orders for it share one load. */
    @Synchronized
    fun load(adapter: String): CompletableFuture<LoadOutcome> {
        if (adapter in resident) return CompletableFuture.completedFuture(LoadOutcome.LOADED)
        loading[adapter]?.let { return it }
        if (resident.size + loading.size >= options.slots) {
            return CompletableFuture.completedFuture(LoadOutcome.NO_SLOT)
        }
        val done = CompletableFuture<LoadOutcome>()
        loading[adapter] = done
        loads++
        weights.begin().thenAccept { inFlight ->
            after((options.loadMillis * maxOf(1.0, inFlight / FAST_LOADS)).toLong()).execute { loaded(adapter, done) }
        }
        return done
    }

    private fun loaded(adapter: String, done: CompletableFuture<LoadOutcome>) {
        weights.end()
        val outcome = synchronized(this) {
            // After a restart, the load belongs to an earlier incarnation.
            val current = loading.remove(adapter, done)
            when {
                !current -> LoadOutcome.FAILED
                failNext-- > 0 -> LoadOutcome.FAILED
                else -> LoadOutcome.LOADED.also { resident += adapter }
            }
        }
        done.complete(outcome)
    }

    @Synchronized
    fun unload(adapter: String): Boolean = resident.remove(adapter).also { if (it) evictions++ }

    @Synchronized
    fun clear() {
        resident.clear()
        loading.clear()
    }

    private companion object {
        const val FAST_LOADS = 8.0
    }
}
