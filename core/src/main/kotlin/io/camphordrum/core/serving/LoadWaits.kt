package io.camphordrum.core.serving

/** Joins the requests that wait for one adapter at one endpoint. */
internal class LoadWaits {
    private class Wait(var untilNanos: Long) {
        val waiters = ArrayList<(Boolean) -> Unit>()
    }

    private val waits = HashMap<Pair<String, String>, Wait>()

    /** Adds a waiter; returns whether it is the first, so that the adapter must be asked for. */
    fun add(endpoint: String, adapter: String, untilNanos: Long, waiter: (Boolean) -> Unit): Boolean {
        val known = waits[endpoint to adapter]
        val wait = known ?: Wait(untilNanos).also { waits[endpoint to adapter] = it }
        wait.waiters += waiter
        return known == null
    }

    fun cancel(endpoint: String, adapter: String, waiter: (Boolean) -> Unit) {
        waits[endpoint to adapter]?.waiters?.remove(waiter)
    }

    fun end(endpoint: String, adapter: String, loaded: Boolean) {
        val wait = waits.remove(endpoint to adapter) ?: return
        wait.waiters.forEach { it(loaded) }
    }

    fun expire(now: Long) {
        val over = waits.filterValues { now >= it.untilNanos }.keys.toList()
        for ((endpoint, adapter) in over) end(endpoint, adapter, loaded = false)
    }
}
