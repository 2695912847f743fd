package io.camphordrum.bench

import org.HdrHistogram.Histogram
import java.lang.management.ManagementFactory

/** Records the CPU time and the allocated bytes of the current thread. */
internal class CapacityMeter {
    private val threadBean = ManagementFactory.getThreadMXBean() as com.sun.management.ThreadMXBean
    private val threadId = Thread.currentThread().id
    private val cpuNanos = Histogram(3)
    private var allocatedBytes = 0L

    fun <T> measure(block: () -> T): T {
        val bytesBefore = threadBean.getThreadAllocatedBytes(threadId)
        val cpuNanosBefore = threadBean.currentThreadCpuTime
        val result = block()
        cpuNanos.recordValue(threadBean.currentThreadCpuTime - cpuNanosBefore)
        allocatedBytes += threadBean.getThreadAllocatedBytes(threadId) - bytesBefore
        return result
    }

    val p50Micros get() = cpuNanos.getValueAtPercentile(50.0) / 1e3
    val p99Micros get() = cpuNanos.getValueAtPercentile(99.0) / 1e3
    val meanMicros get() = cpuNanos.mean / 1e3
    val meanBytes get() = allocatedBytes.toDouble() / cpuNanos.totalCount
    val count get() = cpuNanos.totalCount
}

/** Returns the bytes of heap in use after three garbage collections. */
internal fun usedHeapBytes(): Long {
    repeat(3) {
        System.gc()
        Thread.sleep(30)
    }
    return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
}
