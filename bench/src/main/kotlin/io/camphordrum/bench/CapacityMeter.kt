package io.camphordrum.bench

import org.HdrHistogram.Histogram
import java.lang.management.ManagementFactory

/** Records processor time and allocation of the current thread. */
internal class CapacityMeter {
    private val threads = ManagementFactory.getThreadMXBean() as com.sun.management.ThreadMXBean
    private val id = Thread.currentThread().id
    private val cpu = Histogram(3)
    private var allocated = 0L

    fun <T> measure(block: () -> T): T {
        val bytes = threads.getThreadAllocatedBytes(id)
        val start = threads.currentThreadCpuTime
        val result = block()
        cpu.recordValue(threads.currentThreadCpuTime - start)
        allocated += threads.getThreadAllocatedBytes(id) - bytes
        return result
    }

    val p50Micros get() = cpu.getValueAtPercentile(50.0) / 1e3
    val p99Micros get() = cpu.getValueAtPercentile(99.0) / 1e3
    val meanMicros get() = cpu.mean / 1e3
    val meanBytes get() = allocated.toDouble() / cpu.totalCount
    val count get() = cpu.totalCount
}

/** Returns the heap in use after collections. */
internal fun usedHeap(): Long {
    repeat(3) {
        System.gc()
        Thread.sleep(30)
    }
    return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
}
