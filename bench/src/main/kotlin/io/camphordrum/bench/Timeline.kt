package io.camphordrum.bench

import java.util.concurrent.CopyOnWriteArrayList

/** Executes the events of a scenario one after the other on a thread of its own while the load runs. */
class Timeline(private val events: List<Event>, private val fleet: Fleet, private val startNanos: Long) {
    /** Records one event: its name, start and end in seconds from the start of the run, and its error if it failed. */
    data class Entry(val name: String, val startSeconds: Double, val endSeconds: Double, val fault: String?)

    private val entries = CopyOnWriteArrayList<Entry>()
    private val thread = Thread(::run, "timeline").apply { isDaemon = true }

    /** Starts the thread. */
    fun start() = thread.start()

    /** Waits for the last event to end and returns the record of all events. */
    fun awaitEnd(): List<Entry> {
        thread.join()
        return entries.toList()
    }

    private fun run() {
        for (event in events) {
            val waitSeconds = event.atSeconds - elapsedSeconds()
            if (waitSeconds > 0) Thread.sleep((waitSeconds * 1000).toLong())
            val eventStartSeconds = elapsedSeconds()
            val fault = runCatching { event.action(fleet) }.exceptionOrNull()?.message
            entries += Entry(event.name, eventStartSeconds, elapsedSeconds(), fault)
        }
    }

    private fun elapsedSeconds() = (System.nanoTime() - startNanos) / 1e9
}
