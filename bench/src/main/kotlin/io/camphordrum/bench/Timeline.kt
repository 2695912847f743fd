package io.camphordrum.bench

import java.util.concurrent.CopyOnWriteArrayList

/** Makes the events of a scenario happen while the load runs, one after the other. */
class Timeline(private val events: List<Event>, private val fleet: Fleet, private val startNanos: Long) {
    /** Records what happened: name, begin and end in seconds, and the fault if it failed. */
    data class Entry(val name: String, val beganSeconds: Double, val endedSeconds: Double, val fault: String?)

    private val entries = CopyOnWriteArrayList<Entry>()
    private val thread = Thread(::run, "timeline").apply { isDaemon = true }

    /** Starts the thread. */
    fun start() = thread.start()

    /** Waits for the last event and returns what happened. */
    fun finish(): List<Entry> {
        thread.join()
        return entries.toList()
    }

    private fun run() {
        for (event in events) {
            val wait = event.atSeconds - elapsed()
            if (wait > 0) Thread.sleep((wait * 1000).toLong())
            val began = elapsed()
            val fault = runCatching { event.act(fleet) }.exceptionOrNull()?.message
            entries += Entry(event.name, began, elapsed(), fault)
        }
    }

    private fun elapsed() = (System.nanoTime() - startNanos) / 1e9
}
