package io.camphordrum.bench

import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/** Sends a plan in an open loop: each request goes out at its planned time, whatever became of the earlier ones. */
class OpenLoop(private val startNanos: Long, private val send: (Arrival, Int) -> CompletableFuture<Outcome>) {
    private class Sent(val arrival: Arrival, val answer: CompletableFuture<Outcome>)

    /** Runs [plan] and returns the outcomes; waits a bounded time for the last answers. */
    fun run(plan: List<Arrival>): List<Outcome> {
        val sent = ArrayList<Sent>()
        for (arrival in plan) {
            var wait = startNanos + arrival.atNanos - System.nanoTime()
            while (wait > 0) {
                LockSupport.parkNanos(wait)
                wait = startNanos + arrival.atNanos - System.nanoTime()
            }
            for (copy in 0 until arrival.copies) sent += Sent(arrival, guarded(arrival, copy))
        }
        val all = CompletableFuture.allOf(*sent.map { it.answer }.toTypedArray())
        runCatching { all.get(GRACE_SECONDS, TimeUnit.SECONDS) }
        return sent.map { it.answer.getNow(null) ?: lost(it.arrival, "no answer by the end of the run") }
    }

    private fun guarded(arrival: Arrival, copy: Int): CompletableFuture<Outcome> = try {
        send(arrival, copy)
    } catch (e: Exception) {
        CompletableFuture.completedFuture(lost(arrival, "$e"))
    }

    private fun lost(arrival: Arrival, detail: String) = Outcome(arrival, Ending.LOST, 0, elapsed(), detail = detail)

    private fun elapsed() = System.nanoTime() - startNanos

    private companion object {
        const val GRACE_SECONDS = 60L
    }
}
