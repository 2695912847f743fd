package io.camphordrum.core.residency

import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.EndpointId
import kotlin.math.abs

/** Builds digests with the changes at an endpoint since the previous digest. */
internal class DigestWriter(private val endpoint: EndpointId) {
    private var sentResident: Set<AdapterVersion> = emptySet()
    private var sentWaitMillis = 0
    private var sequence = 0
    private var lastFullNanos = Long.MIN_VALUE

    /** Returns the next digest, or null when nothing changed and no full digest is due. */
    fun next(now: Long, fencing: Long, resident: List<AdapterVersion>, waitNanos: Long): ResidencyMessage.Digest? {
        val waitMillis = (waitNanos / MILLISECOND).coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
        val residentSet = resident.toSet()
        val full = lastFullNanos == Long.MIN_VALUE || now - lastFullNanos >= FULL_INTERVAL_NANOS
        if (!full && residentSet == sentResident && !waitChanged(waitMillis)) return null
        val added = if (full) residentSet else residentSet - sentResident
        val removed = if (full) emptySet() else sentResident - residentSet
        if (full) lastFullNanos = now
        sentResident = residentSet
        sentWaitMillis = waitMillis
        sequence++
        return ResidencyMessage.Digest(
            endpoint,
            fencing,
            sequence,
            full,
            added.sorted(),
            removed.sorted(),
            waitMillis,
        )
    }

    private fun waitChanged(waitMillis: Int): Boolean =
        abs(waitMillis - sentWaitMillis) > maxOf(MIN_WAIT_CHANGE_MILLIS, sentWaitMillis / WAIT_CHANGE_DIVISOR)

    private companion object {
        const val FULL_INTERVAL_NANOS = 10 * SECOND
        const val MIN_WAIT_CHANGE_MILLIS = 50
        const val WAIT_CHANGE_DIVISOR = 4
    }
}
