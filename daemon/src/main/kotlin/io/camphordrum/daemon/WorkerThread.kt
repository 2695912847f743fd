package io.camphordrum.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import org.jctools.queues.MpscArrayQueue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.locks.LockSupport

private val log = KotlinLogging.logger {}

/**
 * Runs tasks from a bounded ring buffer, and a periodic tick, on one named thread.
 *
 * ```kotlin
 * if (!decisions.offer { core.requestCancelled(now, id) }) reject()
 * ```
 *
 * @param slots capacity of the ring buffer; a power of two.
 * @param tickNanos interval between two calls of [tick], in nanoseconds.
 */
class WorkerThread(
    private val name: String,
    slots: Int,
    private val tickNanos: Long = DEFAULT_TICK_NANOS,
    private val tick: () -> Unit = {},
) {
    private val ring = MpscArrayQueue<() -> Unit>(slots)
    private val parked = AtomicBoolean()
    private val thread = Thread(::run, name).apply { isDaemon = true }

    @Volatile
    private var running = true

    /** Number of tasks that wait in the ring buffer. */
    val depth: Int get() = ring.size

    /** Starts the thread. */
    fun start() = thread.start()

    /** Enqueues [task]; returns false, and never runs it, when the ring buffer is full or the thread has stopped. */
    fun offer(task: () -> Unit): Boolean {
        if (!running || !ring.offer(task)) return false
        if (parked.get()) LockSupport.unpark(thread)
        return true
    }

    /**
     * Enqueues [task] and blocks while the ring buffer is full.
     *
     * For tasks that must not be lost, such as the end of a dispatch. Must not be called on this thread itself.
     */
    fun put(task: () -> Unit) {
        while (running && !offer(task)) LockSupport.parkNanos(FULL_RETRY_NANOS)
    }

    /** Stops the thread after the current task. */
    fun stop() {
        running = false
        LockSupport.unpark(thread)
        thread.join(STOP_TIMEOUT_MILLIS)
    }

    private fun run() {
        var nextTick = System.nanoTime()
        while (running) {
            val now = System.nanoTime()
            if (now - nextTick >= 0) {
                runLoggingErrors(tick)
                nextTick = now + tickNanos
            }
            val task = ring.poll()
            if (task != null) runLoggingErrors(task) else park(nextTick - now)
        }
    }

    private fun park(nanos: Long) {
        parked.set(true)
        if (ring.isEmpty && nanos > 0) LockSupport.parkNanos(this, nanos)
        parked.set(false)
    }

    // An exception in one task must not terminate the thread, because all later tasks run on it.
    private fun runLoggingErrors(task: () -> Unit) {
        try {
            task()
        } catch (e: Exception) {
            log.error(e) { "duty_failed $name" }
        }
    }

    private companion object {
        const val DEFAULT_TICK_NANOS = 1_000_000_000L
        const val FULL_RETRY_NANOS = 100_000L
        const val STOP_TIMEOUT_MILLIS = 2_000L
    }
}
