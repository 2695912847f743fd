package io.camphordrum.bench

import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/** Sends a plan in an open loop: each request at its planned time, independently of earlier answers. */
class OpenLoop(private val startNanos: Long, private val send: (Arrival, Int) -> CompletableFuture<Outcome>) {
    private class SentRequest(val arrival: Arrival, val answer: CompletableFuture<Outcome>)

    /** Sends [plan] and returns the outcomes; waits a bounded time for the last answers. */
    fun run(plan: List<Arrival>): List<Outcome> {
        val sent = ArrayList<SentRequest>()
        for (arrival in plan) {
            var waitNanos = startNanos + arrival.atNanos - System.nanoTime()
            while (waitNanos > 0) {
                LockSupport.parkNanos(waitNanos)
                waitNanos = startNanos + arrival.atNanos - System.nanoTime()
            }
            for (copyIndex in 0 until arrival.copies) sent += SentRequest(arrival, sendOrFail(arrival, copyIndex))
        }
        val allAnswers = CompletableFuture.allOf(*sent.map { it.answer }.toTypedArray())
        runCatching { allAnswers.get(LAST_ANSWERS_TIMEOUT_SECONDS, TimeUnit.SECONDS) }
        return sent.map { it.answer.getNow(null) ?: lostOutcome(it.arrival, "no answer by the end of the run") }
    }

    private fun sendOrFail(arrival: Arrival, copyIndex: Int): CompletableFuture<Outcome> = try {
        send(arrival, copyIndex)
    } catch (e: Exception) {
        CompletableFuture.completedFuture(lostOutcome(arrival, "$e"))
    }

    private fun lostOutcome(arrival: Arrival, detail: String) =
        Outcome(arrival, Ending.LOST, 0, elapsedNanos(), detail = detail)

    private fun elapsedNanos() = System.nanoTime() - startNanos

    private companion object {
        const val LAST_ANSWERS_TIMEOUT_SECONDS = 60L
    }
}
