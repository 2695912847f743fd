package io.camphordrum.core

/** Implements a clock that advances only when a test advances it. */
class ManualClock(private var now: Long = 0L) : Clock {
    override fun nanos(): Long = now

    override fun epochMillis(): Long = now / 1_000_000L

    fun advance(nanos: Long) {
        now += nanos
    }
}
