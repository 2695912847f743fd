package io.camphordrum.core.serving

/** Groups the requests that wait for the same adapter at the same endpoint. */
internal class LoadWaits {
    private class Wait(var untilNanos: Long) {
        val waiters = ArrayList<(Boolean) -> Unit>()
    }

    private val waits = HashMap<Pair<String, String>, Wait>()

    /** Adds a waiter; returns whether it is the first one, so that the load must be requested. */
    fun add(endpoint: String, adapter: String, untilNanos: Long, waiter: (Boolean) -> Unit): Boolean {
        val existing = waits[endpoint to adapter]
        val wait = existing ?: Wait(untilNanos).also { waits[endpoint to adapter] = it }
        wait.waiters += waiter
        return existing == null
    }

    fun cancel(endpoint: String, adapter: String, waiter: (Boolean) -> Unit) {
        waits[endpoint to adapter]?.waiters?.remove(waiter)
    }

    fun end(endpoint: String, adapter: String, loaded: Boolean) {
        val wait = waits.remove(endpoint to adapter) ?: return
        wait.waiters.forEach { it(loaded) }
    }

    fun expire(now: Long) {
        val expired = waits.filterValues { now >= it.untilNanos }.keys.toList()
        for ((endpoint, adapter) in expired) end(endpoint, adapter, loaded = false)
    }
}
