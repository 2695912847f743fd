package io.camphordrum.core

/**
 * Supplies monotonic and wall-clock time to every decision.
 *
 * ```kotlin
 * val deadline = clock.nanos() + 5_000_000_000L
 * ```
 */
public interface Clock {
    /** Returns monotonic time in nanoseconds; only differences between two readings are meaningful. */
    public fun nanos(): Long

    /** Returns wall-clock time in milliseconds since the Unix epoch; it may jump, so no member lease depends on it. */
    public fun epochMillis(): Long
}
