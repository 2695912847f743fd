package io.camphordrum.core.serving

/** Longest duration in a message of another daemon that is taken as it is, in milliseconds. */
internal const val MAX_PEER_DURATION_MILLIS = 3_600_000L

/** Converts a duration of another daemon to nanoseconds, limited to 0 through [MAX_PEER_DURATION_MILLIS]. */
internal fun peerDurationNanos(millis: Long): Long =
    millis.coerceIn(0, MAX_PEER_DURATION_MILLIS) * OrderRights.NANOS_PER_MILLI
