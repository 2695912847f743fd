package io.camphordrum.core.residency

import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Rendezvous

/** The state of one endpoint at a router, built from digests and ticket answers. */
internal class EndpointView(var endpoint: RoutedEndpoint, now: Long, private val residencyIndex: ResidencyIndex) {
    val hash: Long = Rendezvous.hash(endpoint.id.name)
    private val resident = LinkedHashSet<AdapterVersion>()
    private var fencing = Long.MIN_VALUE
    private var sequence = 0
    private var waitNanos = 0L
    private var waitReportedNanos = now
    private var overloadedSinceNanos: Long? = null

    /** The base model of an engine, or the pool of a plain service. */
    val group: Any? get() = endpoint.base ?: endpoint.pool

    fun applyDigest(now: Long, digest: ResidencyMessage.Digest, settings: RouterSettings) {
        val newOwner = digest.fencing > fencing
        if (digest.fencing < fencing || (!newOwner && digest.sequence <= sequence)) return
        if (digest.full || newOwner) clearResident()
        fencing = digest.fencing
        sequence = digest.sequence
        digest.removed.filter { resident.remove(it) }.forEach { residencyIndex.remove(it, this) }
        digest.added.forEach { addResident(it, settings) }
        recordWait(now, digest.waitMillis * MILLISECOND, settings)
    }

    fun addResident(version: AdapterVersion, settings: RouterSettings) {
        if (resident.size < settings.residentLimit && resident.add(version)) residencyIndex.add(version, this)
    }

    fun clearResident() {
        resident.forEach { residencyIndex.remove(it, this) }
        resident.clear()
    }

    fun recordWait(now: Long, newWaitNanos: Long, settings: RouterSettings) {
        val overloaded = newWaitNanos > settings.spillWaitNanos
        overloadedSinceNanos = if (overloaded) overloadedSinceNanos ?: now else null
        waitNanos = newWaitNanos
        waitReportedNanos = now
    }

    /** Returns the last reported wait, or 0 when that report is too old. */
    fun currentWaitNanos(now: Long, settings: RouterSettings): Long =
        if (now - waitReportedNanos > settings.waitValidNanos) 0 else waitNanos

    /** Returns whether the wait has been long for some time, so that one endpoint is not enough for the load. */
    fun persistentlyOverloaded(now: Long, settings: RouterSettings): Boolean =
        overloadedSinceNanos?.let { now - it >= settings.replicaDelayNanos } ?: false
}

/** Indexes the endpoints by resident adapter; it has an entry for each occupied slot and no others. */
internal class ResidencyIndex {
    private val byVersion = HashMap<AdapterVersion, MutableList<EndpointView>>()

    operator fun get(version: AdapterVersion): List<EndpointView> = byVersion[version].orEmpty()

    fun add(version: AdapterVersion, view: EndpointView) {
        byVersion.getOrPut(version) { ArrayList(1) } += view
    }

    fun remove(version: AdapterVersion, view: EndpointView) {
        val views = byVersion[version] ?: return
        views.remove(view)
        if (views.isEmpty()) byVersion.remove(version)
    }
}

/** Records which endpoint cached a prompt prefix; hints are late and incomplete, so they only break ties. */
internal class PrefixHints(private val settings: RouterSettings) {
    private class Hint(val endpoint: EndpointId, val receivedNanos: Long)

    private val hints = LinkedHashMap<Long, Hint>()

    fun add(now: Long, prefix: Long, endpoint: EndpointId) {
        hints.remove(prefix)
        if (hints.size >= settings.hintLimit) hints.remove(hints.keys.first())
        hints[prefix] = Hint(endpoint, now)
    }

    fun find(now: Long, prefix: Long): EndpointId? =
        hints[prefix]?.takeIf { now - it.receivedNanos < settings.hintValidNanos }?.endpoint

    fun expire(now: Long) {
        hints.values.removeIf { now - it.receivedNanos >= settings.hintValidNanos }
    }
}
