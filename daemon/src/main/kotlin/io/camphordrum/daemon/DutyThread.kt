package io.camphordrum.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import org.jctools.queues.MpscArrayQueue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.locks.LockSupport

private val log = KotlinLogging.logger {}

/**
 * Runs one duty of the daemon on a named thread, fed by a bounded ring.
 *
 * ```kotlin
 * if (!decisions.offer { core.requestCancelled(now, id) }) refuse()
 * ```
 *
 * @param slots capacity of the ring; a power of two.
 * @param tickNanos interval between two calls of [tick], in nanoseconds.
 */
class DutyThread(
    private val name: String,
    slots: Int,
    private val tickNanos: Long = IDLE_TICK_NANOS,
    private val tick: () -> Unit = {},
) {
    private val ring = MpscArrayQueue<() -> Unit>(slots)
    private val parked = AtomicBoolean()
    private val thread = Thread(::run, name).apply { isDaemon = true }

    @Volatile
    private var running = true

    /** Returns how many inputs wait in the ring. */
    val depth: Int get() = ring.size

    /** Starts the thread. */
    fun start() = thread.start()

    /** Hands over [input]; returns false when the ring is full or the thread has stopped, and then it never runs. */
    fun offer(input: () -> Unit): Boolean {
        if (!running || !ring.offer(input)) return false
        if (parked.get()) LockSupport.unpark(thread)
        return true
    }

    /**
     * Hands over [input] and waits for a free slot.
     *
     * For inputs that must not be lost, such as the end of a dispatch. The duty thread itself must not call it.
     */
    fun put(input: () -> Unit) {
        while (running && !offer(input)) LockSupport.parkNanos(FULL_PAUSE_NANOS)
    }

    /** Stops the thread after the input that it is working on. */
    fun stop() {
        running = false
        LockSupport.unpark(thread)
        thread.join(STOP_MILLIS)
    }

    private fun run() {
        var nextTick = System.nanoTime()
        while (running) {
            val now = System.nanoTime()
            if (now - nextTick >= 0) {
                guarded(tick)
                nextTick = now + tickNanos
            }
            val input = ring.poll()
            if (input != null) guarded(input) else park(nextTick - now)
        }
    }

    private fun park(nanos: Long) {
        parked.set(true)
        if (ring.isEmpty && nanos > 0) LockSupport.parkNanos(this, nanos)
        parked.set(false)
    }

    // A fault in one step must not end the thread that everything else depends on.
    private fun guarded(step: () -> Unit) {
        try {
            step()
        } catch (e: Exception) {
            log.error(e) { "duty_failed $name" }
        }
    }

    private companion object {
        const val IDLE_TICK_NANOS = 1_000_000_000L
        const val FULL_PAUSE_NANOS = 100_000L
        const val STOP_MILLIS = 2_000L
    }
}
