package io.camphordrum.core.residency

import io.camphordrum.core.AdapterVersion
import kotlin.math.pow

internal enum class SlotState {
    LOADING,
    RESIDENT,

    /** Resident, but given no new tickets so that it can be evicted. */
    CLOSING,
    EVICTING,

    /** An order was lost; whether the adapter is resident shows in a report after the order's last moment. */
    UNKNOWN,
}

internal class Slot(val version: AdapterVersion, var state: SlotState, var sinceNanos: Long) {
    /** The last moment at which the latest order can take effect. */
    var untilNanos: Long = 0

    /** True while a ticket of a previous owner, or a dispatch without ticket, may still use the adapter. */
    var unsettled: Boolean = false
    var lastEndNanos: Long = Long.MIN_VALUE
    private var use = 0.0
    private var usedNanos = sinceNanos

    /** Continues with the use from an earlier residence. */
    fun remember(earlier: Slot) {
        use = earlier.use
        usedNanos = earlier.usedNanos
    }

    fun used(now: Long, tokens: Long) {
        use = score(now) + tokens
        usedNanos = now
    }

    /** Returns the tokens used, where past use counts half after each half-life. */
    fun score(now: Long): Double = use * 0.5.pow((now - usedNanos).toDouble() / HALF_LIFE_NANOS)

    // Use is remembered for about as long as popularity is stable.
    private companion object {
        const val HALF_LIFE_NANOS = 600 * SECOND
    }
}

/** Tracks which adapters an endpoint holds, from orders and lagging reports. */
internal class Slots {
    private val byVersion = LinkedHashMap<AdapterVersion, Slot>()
    private val evicted = LinkedHashMap<AdapterVersion, Long>()
    private val past = LinkedHashMap<AdapterVersion, Slot>()

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

    fun loading(now: Long, version: AdapterVersion, untilNanos: Long) {
        evicted.remove(version)
        val slot = Slot(version, SlotState.LOADING, now)
        slot.untilNanos = untilNanos
        past.remove(version)?.let(slot::remember)
        byVersion[version] = slot
    }

    fun remove(version: AdapterVersion) {
        byVersion.remove(version)
    }

    fun evicted(now: Long, version: AdapterVersion) {
        byVersion.remove(version)?.let { past[version] = it }
        if (past.size > PAST_LIMIT) past.remove(past.keys.first())
        if (evicted.size >= EVICTED_LIMIT) evicted.remove(evicted.keys.first())
        evicted[version] = now
    }

    /** Forgets what the endpoint held before it restarted; changes that may be newer are left to later reports. */
    fun restarted(now: Long, then: Long) {
        val newer = byVersion.values.filter {
            it.state == SlotState.LOADING ||
                it.state == SlotState.EVICTING ||
                it.state == SlotState.UNKNOWN ||
                it.sinceNanos > then
        }
        byVersion.values.retainAll(newer.toSet())
        for (slot in newer) {
            if (slot.state == SlotState.LOADING) continue
            slot.untilNanos = maxOf(slot.untilNanos, now)
            slot.state = SlotState.UNKNOWN
        }
    }

    /** Takes a report of the state at [then] and returns true when it shows that everything was lost. */
    fun reported(then: Long, report: LoadReport, unsettled: Boolean): Boolean {
        capacity = minOf(report.slots, SLOT_LIMIT)
        val expected = byVersion.values.filter { it.state.steady && it.sinceNanos < then }
        val lost = expected.filter { it.version !in report.resident }
        val empty = expected.isNotEmpty() && report.resident.isEmpty()
        lost.forEach { byVersion.remove(it.version) }
        for (slot in byVersion.values.filter { it.state == SlotState.UNKNOWN && then > it.untilNanos }) {
            if (slot.version in report.resident) {
                slot.state = SlotState.RESIDENT
                slot.sinceNanos = then
                slot.unsettled = unsettled
            } else {
                byVersion.remove(slot.version)
            }
        }
        evicted.values.removeIf { it < then }
        for (version in report.resident) {
            if (version in byVersion || version in evicted || byVersion.size >= SLOT_LIMIT) continue
            byVersion[version] = Slot(version, SlotState.RESIDENT, then).also { it.unsettled = unsettled }
        }
        return empty
    }

    private val SlotState.steady: Boolean get() = this == SlotState.RESIDENT || this == SlotState.CLOSING

    private companion object {
        const val SLOT_LIMIT = 256
        const val EVICTED_LIMIT = 256

        // Remembered use keeps an adapter that returns often from being the first to be evicted each time.
        const val PAST_LIMIT = 512
    }
}
