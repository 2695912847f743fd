package io.camphordrum.core.residency

import io.camphordrum.core.AdapterVersion

/** Counts failed loads, delays the next attempts and denies requests after too many failures. */
internal class LoadFailures(private val settings: OwnerSettings) {
    private class Entry(var attempts: Int, var retryNanos: Long)

    private val entries = LinkedHashMap<AdapterVersion, Entry>()

    /** Records a failed load. */
    fun recordFailure(now: Long, version: AdapterVersion) {
        val entry = entries.remove(version) ?: Entry(0, 0)
        if (entries.size >= ENTRY_LIMIT) entries.remove(entries.keys.first())
        entries[version] = entry
        entry.attempts++
        val backoffNanos = settings.loadBackoffNanos shl minOf(entry.attempts - 1, MAX_DOUBLINGS)
        entry.retryNanos = now + if (entry.attempts < settings.loadAttempts) backoffNanos else DENIAL_NANOS
    }

    fun recordSuccess(version: AdapterVersion) {
        entries.remove(version)
    }

    /** Returns whether the delay after a failed load is still in effect. */
    fun inBackoff(now: Long, version: AdapterVersion): Boolean = (entries[version]?.retryNanos ?: now) > now

    /** Returns for how long requests for [version] remain denied, in nanoseconds, or null when they are not. */
    fun remainingDenialNanos(now: Long, version: AdapterVersion): Long? {
        val entry = entries[version] ?: return null
        if (entry.attempts < settings.loadAttempts) return null
        if (entry.retryNanos > now) return entry.retryNanos - now
        entries.remove(version)
        return null
    }

    private companion object {
        const val ENTRY_LIMIT = 256
        const val MAX_DOUBLINGS = 10

        // After this time an adapter whose loads all failed is tried again, as its weights may have been repaired.
        const val DENIAL_NANOS = 30 * SECOND
    }
}
