package io.camphordrum.core.residency

import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Rendezvous

/** What a router knows about one endpoint from digests and ticket answers. */
internal class EndpointView(var endpoint: RoutedEndpoint, now: Long, private val holders: Holders) {
    val hash: Long = Rendezvous.hash(endpoint.id.name)
    private val resident = LinkedHashSet<AdapterVersion>()
    private var fencing = Long.MIN_VALUE
    private var sequence = 0
    private var waitNanos = 0L
    private var waitKnownNanos = now
    private var overSinceNanos: Long? = null

    /** The base model of an engine or the pool of a plain service. */
    val group: Any? get() = endpoint.base ?: endpoint.pool

    fun receive(now: Long, digest: ResidencyMessage.Digest, settings: RouterSettings) {
        val newOwner = digest.fencing > fencing
        if (digest.fencing < fencing || (!newOwner && digest.sequence <= sequence)) return
        if (digest.full || newOwner) clear()
        fencing = digest.fencing
        sequence = digest.sequence
        digest.removed.filter { resident.remove(it) }.forEach { holders.remove(it, this) }
        digest.added.forEach { holds(it, settings) }
        waits(now, digest.waitMillis * MILLISECOND, settings)
    }

    fun holds(version: AdapterVersion, settings: RouterSettings) {
        if (resident.size < settings.residentLimit && resident.add(version)) holders.add(version, this)
    }

    fun clear() {
        resident.forEach { holders.remove(it, this) }
        resident.clear()
    }

    fun waits(now: Long, nanos: Long, settings: RouterSettings) {
        val over = nanos > settings.spillNanos
        overSinceNanos = if (over) overSinceNanos ?: now else null
        waitNanos = nanos
        waitKnownNanos = now
    }

    /** Returns the last reported wait, or 0 when it is too old to be believed. */
    fun wait(now: Long, settings: RouterSettings): Long =
        if (now - waitKnownNanos > settings.waitNanos) 0 else waitNanos

    /** True when the wait has been long for a while, so that one endpoint cannot carry the work. */
    fun overloaded(now: Long, settings: RouterSettings): Boolean =
        overSinceNanos?.let { now - it >= settings.replicaNanos } ?: false
}

/** Finds the endpoints that hold an adapter; it has an entry for each slot that is in use and no others. */
internal class Holders {
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

/** Remembers which endpoint cached a prompt prefix; the hints come late and with gaps, so they only break ties. */
internal class PrefixHints(private val settings: RouterSettings) {
    private class Hint(val endpoint: EndpointId, val nanos: Long)

    private val hints = LinkedHashMap<Long, Hint>()

    fun add(now: Long, prefix: Long, endpoint: EndpointId) {
        hints.remove(prefix)
        if (hints.size >= settings.hintLimit) hints.remove(hints.keys.first())
        hints[prefix] = Hint(endpoint, now)
    }

    fun find(now: Long, prefix: Long): EndpointId? =
        hints[prefix]?.takeIf { now - it.nanos < settings.hintNanos }?.endpoint

    fun expire(now: Long) {
        hints.values.removeIf { now - it.nanos >= settings.hintNanos }
    }
}
