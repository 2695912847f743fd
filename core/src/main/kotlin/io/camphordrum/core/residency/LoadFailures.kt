package io.camphordrum.core.residency

import io.camphordrum.core.AdapterVersion

/** Counts failed loads, spaces the next attempts and stops after a number of them. */
internal class LoadFailures(private val settings: OwnerSettings) {
    private class Entry(var attempts: Int, var retryNanos: Long)

    private val entries = LinkedHashMap<AdapterVersion, Entry>()

    /** Notes a failed load. */
    fun failed(now: Long, version: AdapterVersion) {
        val entry = entries.remove(version) ?: Entry(0, 0)
        if (entries.size >= FAILURE_LIMIT) entries.remove(entries.keys.first())
        entries[version] = entry
        entry.attempts++
        val pause = settings.loadBackoffNanos shl minOf(entry.attempts - 1, MAX_DOUBLINGS)
        entry.retryNanos = now + if (entry.attempts < settings.loadAttempts) pause else DENY_NANOS
    }

    fun loaded(version: AdapterVersion) {
        entries.remove(version)
    }

    /** True while the pause after a failed load lasts. */
    fun paused(now: Long, version: AdapterVersion): Boolean = (entries[version]?.retryNanos ?: now) > now

    /** Returns how long requests for [version] are denied, or null when they are not. */
    fun deniedNanos(now: Long, version: AdapterVersion): Long? {
        val entry = entries[version] ?: return null
        if (entry.attempts < settings.loadAttempts) return null
        if (entry.retryNanos > now) return entry.retryNanos - now
        entries.remove(version)
        return null
    }

    private companion object {
        const val FAILURE_LIMIT = 256
        const val MAX_DOUBLINGS = 10

        // An adapter that failed every attempt is tried again after this time, in case its weights were repaired.
        const val DENY_NANOS = 30 * SECOND
    }
}
