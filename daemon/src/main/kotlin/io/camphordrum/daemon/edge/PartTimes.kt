package io.camphordrum.daemon.edge

/** Records the arrival times of the parts of one answer, in monotonic nanoseconds. */
internal class PartTimes {
    private var first: Long? = null
    private var last = 0L

    /** Longest time between two parts. */
    var longestPauseNanos = 0L
        private set

    fun recordFirst(now: Long) {
        first = now
        last = now
    }

    /** Records a further part; returns the nanoseconds since the previous one. */
    fun recordNext(now: Long): Long {
        val pause = now - last
        last = now
        longestPauseNanos = maxOf(longestPauseNanos, pause)
        return pause
    }

    /** Returns the arrival time of the first part, or [now] if none has arrived. */
    fun firstNanos(now: Long): Long = first ?: now
}
