package io.camphordrum.core.duty

import io.camphordrum.core.Member
import java.util.TreeMap

/**
 * Stores the newest counts of every daemon that this one has heard of, and which of them a receiver may lack.
 *
 * Counts of one incarnation only grow, so the larger one of two values is the newer one.
 *
 * @param keptWindows number of windows around the current one that are kept.
 */
internal class DutyLedger(private val keptWindows: Int) {
    private class CountedWindow(var closed: Boolean, val began: HashMap<String, Int>, var version: Long)

    private class Entry(var sequence: Long, var demand: List<ServiceDemand>) {
        val windows = TreeMap<Long, CountedWindow>()
        var demandNanos = 0L
        var demandVersion = 0L
    }

    private class Receiver(var sentVersion: Long, var resentNanos: Long, var sentNanos: Long)

    private val entries = LinkedHashMap<Member, Entry>()
    private val receivers = object : LinkedHashMap<String, Receiver>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Receiver>) = size > MAX_RECEIVERS
    }
    private var version = 0L

    /** Window up to which all reports are decided. */
    var decidedWindow = 0L
        private set

    /** Merges [counts] of a daemon; windows far from [currentWindow] are ignored. */
    fun merge(now: Long, currentWindow: Long, counts: DutyCounts) {
        if (counts.member !in entries && entries.size >= MAX_MEMBERS) return
        val entry = entries.getOrPut(counts.member) { Entry(-1, emptyList()) }
        if (counts.sequence > entry.sequence) {
            entry.sequence = counts.sequence
            if (entry.demand != counts.demand) entry.demandVersion = ++version
            entry.demand = counts.demand
            entry.demandNanos = now
        }
        for (counted in counts.windows) {
            val distance = counted.window - currentWindow
            if (counted.window <= decidedWindow || distance > 1 || distance < -keptWindows) continue
            val window = entry.windows.getOrPut(counted.window) { CountedWindow(false, HashMap(), ++version) }
            var changed = counted.closed && !window.closed
            window.closed = window.closed || counted.closed
            for ((account, began) in counted.began) {
                if (began <= (window.began[account] ?: 0)) continue
                window.began[account] = began
                changed = true
            }
            if (changed) window.version = ++version
        }
    }

    /**
     * Drops the windows up to [window], whose reports are decided.
     *
     * Moves back if the clock of the holder was stepped back.
     */
    fun markDecided(window: Long) {
        if (window == decidedWindow) return
        decidedWindow = window
        for (entry in entries.values) entry.windows.headMap(window, true).clear()
    }

    /** Drops windows that are too old, and daemons for which [isKnown] is false and that have no window left. */
    fun trim(currentWindow: Long, isKnown: (Member) -> Boolean) {
        for (entry in entries.values) entry.windows.headMap(currentWindow - keptWindows, false).clear()
        entries.entries.removeAll { (member, entry) -> entry.windows.isEmpty() && !isKnown(member) }
    }

    /** Returns the sums over all daemons of the requests that began in [window], by account in the order of names. */
    fun total(window: Long): Map<String, Long> {
        val total = TreeMap<String, Long>()
        for (entry in entries.values) {
            entry.windows[window]?.began?.forEach { (account, began) ->
                total.merge(account, began.toLong(), Long::plus)
            }
        }
        return total
    }

    /** Returns whether the counts of [member] in [window] are final. */
    fun isClosed(member: Member, window: Long): Boolean = entries[member]?.windows?.get(window)?.closed == true

    /** Returns the demand that [member] reported last, unless that is older than [maxAgeNanos]. */
    fun demand(now: Long, member: Member, maxAgeNanos: Long): List<ServiceDemand>? =
        entries[member]?.takeIf { it.demandNanos > 0 && now - it.demandNanos < maxAgeNanos }?.demand

    /** Returns whether counts may be sent to [receiver] again. */
    fun isDue(now: Long, receiver: String): Boolean =
        receivers[receiver]?.let { now - it.sentNanos >= SEND_NANOS } != false

    /**
     * Returns the counts of the daemons accepted by [includes] that changed since the last call for [receiver].
     *
     * Messages may be lost, so everything undecided is sent again at times.
     */
    fun changes(now: Long, receiver: String, includes: (Member) -> Boolean): List<DutyCounts> {
        val sent = receivers.getOrPut(receiver) { Receiver(0, now, Long.MIN_VALUE / 2) }
        sent.sentNanos = now
        if (now - sent.resentNanos >= RESEND_NANOS) {
            sent.resentNanos = now
            sent.sentVersion = 0
        }
        val sinceVersion = sent.sentVersion
        sent.sentVersion = version
        return entries.filterKeys(includes).mapNotNull { (member, entry) ->
            val changed = entry.windows.filterValues { it.version > sinceVersion }
                .map { (window, it) -> WindowCounts(window, it.closed, HashMap(it.began)) }
            val current = changed.isEmpty() && entry.demandVersion <= sinceVersion
            if (current) null else DutyCounts(member, entry.sequence, changed, entry.demand)
        }
    }

    private companion object {
        const val MAX_MEMBERS = 4_096

        // The holder, the relay of this daemon, and the relays of other data centres.
        const val MAX_RECEIVERS = 64

        // Far below the time until a report is due; what a daemon counts in this time is lost if it dies.
        const val SEND_NANOS = 700_000_000L
        const val RESEND_NANOS = 3_000_000_000L
    }
}
