package io.camphordrum.core.residency

import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.EndpointId
import kotlin.math.abs

/** Writes what changed at an endpoint since the last digest. */
internal class DigestWriter(private val endpoint: EndpointId) {
    private var sent: Set<AdapterVersion> = emptySet()
    private var sentWaitMillis = 0
    private var sequence = 0
    private var fullNanos = Long.MIN_VALUE

    fun next(now: Long, fencing: Long, resident: List<AdapterVersion>, waitNanos: Long): ResidencyMessage.Digest? {
        val wait = (waitNanos / MILLISECOND).coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
        val held = resident.toSet()
        val full = fullNanos == Long.MIN_VALUE || now - fullNanos >= FULL_NANOS
        if (!full && held == sent && !changed(wait)) return null
        val added = if (full) held else held - sent
        val removed = if (full) emptySet() else sent - held
        if (full) fullNanos = now
        sent = held
        sentWaitMillis = wait
        sequence++
        return ResidencyMessage.Digest(
            endpoint,
            fencing,
            sequence,
            full,
            added.sorted(),
            removed.sorted(),
            wait,
        )
    }

    private fun changed(wait: Int): Boolean =
        abs(wait - sentWaitMillis) > maxOf(WAIT_STEP_MILLIS, sentWaitMillis / WAIT_SHARE)

    private companion object {
        const val FULL_NANOS = 10 * SECOND
        const val WAIT_STEP_MILLIS = 50
        const val WAIT_SHARE = 4
    }
}
