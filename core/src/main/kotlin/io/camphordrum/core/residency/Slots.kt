package io.camphordrum.core.residency

import io.camphordrum.core.AdapterVersion
import kotlin.math.pow

internal enum class SlotState {
    LOADING,
    RESIDENT,

    /** Resident, but without new tickets so that it can be evicted. */
    CLOSING,
    EVICTING,

    /**
     * The outcome of an order is unknown; a report after the order has expired shows whether the adapter is resident.
     */
    UNKNOWN,
}

/** @property residentSinceNanos since when the adapter is resident, or when its load was ordered. */
internal class Slot(val version: AdapterVersion, var state: SlotState, var residentSinceNanos: Long) {
    /** When the latest order expires and can no longer take effect. */
    var orderExpiresNanos: Long = 0

    /** True while a ticket of a previous owner, or a dispatch without a ticket, may still use the adapter. */
    var unknownUse: Boolean = false

    /** When a request with a ticket for the adapter last finished. */
    var lastFinishNanos: Long = Long.MIN_VALUE
    private var usage = 0.0
    private var usageNanos = residentSinceNanos

    /** Continues with the usage of an earlier residence. */
    fun inheritUsage(earlier: Slot) {
        usage = earlier.usage
        usageNanos = earlier.usageNanos
    }

    fun recordUse(now: Long, tokens: Long) {
        usage = usageScore(now) + tokens
        usageNanos = now
    }

    /** Returns the tokens used, with an exponential decay by half-life. */
    fun usageScore(now: Long): Double = usage * 0.5.pow((now - usageNanos).toDouble() / USAGE_HALF_LIFE_NANOS)

    private companion object {
        // Half-life of the usage score: about as long as the popularity of adapters is stable.
        const val USAGE_HALF_LIFE_NANOS = 600 * SECOND
    }
}

/** Tracks which adapters are resident at an endpoint, from orders and lagging reports. */
internal class Slots {
    private val byVersion = LinkedHashMap<AdapterVersion, Slot>()
    private val recentEvictions = LinkedHashMap<AdapterVersion, Long>()
    private val evictedSlots = LinkedHashMap<AdapterVersion, Slot>()

    var capacity: Int = 0
        private set

    val all: Collection<Slot> get() = byVersion.values

    val free: Int get() = capacity - byVersion.size

    operator fun get(version: AdapterVersion): Slot? = byVersion[version]

    operator fun contains(version: AdapterVersion): Boolean = version in byVersion

    fun resident(): List<AdapterVersion> = byVersion.values
        .filter { it.state == SlotState.RESIDENT || it.state == SlotState.CLOSING }
        .map { it.version }

    fun count(state: SlotState): Int = byVersion.values.count { it.state == state }

    fun addLoading(now: Long, version: AdapterVersion, orderExpiresNanos: Long) {
        recentEvictions.remove(version)
        val slot = Slot(version, SlotState.LOADING, now)
        slot.orderExpiresNanos = orderExpiresNanos
        evictedSlots.remove(version)?.let(slot::inheritUsage)
        byVersion[version] = slot
    }

    fun remove(version: AdapterVersion) {
        byVersion.remove(version)
    }

    fun recordEviction(now: Long, version: AdapterVersion) {
        byVersion.remove(version)?.let { evictedSlots[version] = it }
        if (evictedSlots.size > EVICTED_SLOT_LIMIT) evictedSlots.remove(evictedSlots.keys.first())
        if (recentEvictions.size >= RECENT_EVICTION_LIMIT) recentEvictions.remove(recentEvictions.keys.first())
        recentEvictions[version] = now
    }

    /** Removes what was resident before a restart; changes that may be newer are left to later reports. */
    fun resetAfterRestart(now: Long, stateNanos: Long) {
        val kept = byVersion.values.filter {
            it.state == SlotState.LOADING ||
                it.state == SlotState.EVICTING ||
                it.state == SlotState.UNKNOWN ||
                it.residentSinceNanos > stateNanos
        }
        byVersion.values.retainAll(kept.toSet())
        for (slot in kept) {
            if (slot.state == SlotState.LOADING) continue
            slot.orderExpiresNanos = maxOf(slot.orderExpiresNanos, now)
            slot.state = SlotState.UNKNOWN
        }
    }

    /** Applies a report of the state at [stateNanos] and returns whether it shows that all adapters were lost. */
    fun applyReport(stateNanos: Long, report: LoadReport, unknownUse: Boolean): Boolean {
        capacity = minOf(report.slots, SLOT_LIMIT)
        val expected = byVersion.values.filter { it.state.isResident && it.residentSinceNanos < stateNanos }
        val missing = expected.filter { it.version !in report.resident }
        val lostAll = expected.isNotEmpty() && report.resident.isEmpty()
        missing.forEach { byVersion.remove(it.version) }
        for (slot in byVersion.values.filter { it.state == SlotState.UNKNOWN && stateNanos > it.orderExpiresNanos }) {
            if (slot.version in report.resident) {
                slot.state = SlotState.RESIDENT
                slot.residentSinceNanos = stateNanos
                slot.unknownUse = unknownUse
            } else {
                byVersion.remove(slot.version)
            }
        }
        recentEvictions.values.removeIf { it < stateNanos }
        for (version in report.resident) {
            if (version in byVersion || version in recentEvictions || byVersion.size >= SLOT_LIMIT) continue
            byVersion[version] = Slot(version, SlotState.RESIDENT, stateNanos).also { it.unknownUse = unknownUse }
        }
        return lostAll
    }

    private val SlotState.isResident: Boolean get() = this == SlotState.RESIDENT || this == SlotState.CLOSING

    private companion object {
        const val SLOT_LIMIT = 256
        const val RECENT_EVICTION_LIMIT = 256

        // Maximum number of evicted adapters whose usage is kept, so that an adapter that is often loaded again is not
        // always evicted first.
        const val EVICTED_SLOT_LIMIT = 512
    }
}
