package io.camphordrum.daemon

import io.camphordrum.core.Clock

/** Reads the monotonic clock and the wall clock of the machine. */
object SystemClock : Clock {
    override fun nanos(): Long = System.nanoTime()

    override fun epochMillis(): Long = System.currentTimeMillis()
}
