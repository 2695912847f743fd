package io.camphordrum.daemon

import io.camphordrum.core.Clock

/** Reads the clocks of the machine. */
object SystemClock : Clock {
    override fun nanos(): Long = System.nanoTime()

    override fun epochMillis(): Long = System.currentTimeMillis()
}
