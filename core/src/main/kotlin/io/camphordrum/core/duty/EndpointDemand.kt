package io.camphordrum.core.duty

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.Member
import io.camphordrum.core.serving.ServedService
import io.camphordrum.core.serving.ServingContext

/**
 * Estimates how many endpoints of a service a data centre needs for what its callers ask for now.
 *
 * Demand is counted where callers arrive, also if it was refused or served elsewhere. Each request costs an engine the
 * time to read its prompt, and a place in the batch while it runs. An engine may be busy reading for the part of time
 * that leaves the first part of an answer within the callers' target; work that waits already must be done within the
 * boot time.
 */
internal class EndpointDemand(private val context: ServingContext, private val ledger: DutyLedger) {
    private class Counted(val arrived: Long, val begun: Long, val readMillis: Long)

    private val peers = context.peers
    private val registry = context.registry
    private val lastCounts = HashMap<Pair<Member, String>, Counted>()
    private val readMillis = HashMap<String, Double>()
    private val arrivals = HashMap<Pair<DataCentreId, String>, Double>()
    private val knownDataCentres = HashSet<DataCentreId>()
    private var updatedNanos = Long.MIN_VALUE / 2

    /** Takes the growth of all counts since the last call. */
    fun update(now: Long) {
        val seconds = (now - updatedNanos) / 1e9
        val first = seconds > MAX_UPDATE_SECONDS
        updatedNanos = now
        arrivals.clear()
        knownDataCentres.clear()
        val daemons = peers.all()
        for ((dataCentre, members) in daemons.groupBy { it.dataCentre }) {
            val reporting = members.count { updateMember(now, it.member, dataCentre, seconds) }
            if (!first && reporting * 2 >= members.size) knownDataCentres += dataCentre
        }
        val members = daemons.mapTo(HashSet()) { it.member }
        lastCounts.keys.removeAll { it.first !in members }
    }

    private fun updateMember(now: Long, member: Member, dataCentre: DataCentreId, seconds: Double): Boolean {
        val demand = ledger.demand(now, member, MAX_AGE_NANOS) ?: return false
        for (counted in demand) {
            val key = member to counted.service
            val last = lastCounts.put(key, Counted(counted.arrived, counted.begun, counted.readMillis)) ?: continue
            arrivals.merge(dataCentre to counted.service, (counted.arrived - last.arrived) / seconds, Double::plus)
            val begun = counted.begun - last.begun
            if (begun <= 0) continue
            val mean = (counted.readMillis - last.readMillis).toDouble() / begun
            val previous = readMillis[counted.service] ?: mean
            readMillis[counted.service] = previous + (mean - previous) * minOf(1.0, begun * READ_WEIGHT)
        }
        return true
    }

    /** Returns the number of endpoints that [service] needs in [dataCentre]; null if its demand is not known. */
    fun endpoints(now: Long, service: ServedService, dataCentre: DataCentreId, bootMillis: Long): Double? {
        if (dataCentre !in knownDataCentres) return null
        val states = registry.all.filter { it.record.service == service.name && it.record.dataCentre == dataCentre }
        val slots = service.engine?.batchSlots ?: states.maxOfOrNull { it.record.slots } ?: return null
        val open = states.sumOf { it.runningEverywhere(now) + it.unansweredEverywhere(now) }
        val places = open / (slots * SLOT_PART)
        if (service.engine == null) return places
        val readMillis = readMillis[service.name] ?: return places
        val reading = (arrivals[dataCentre to service.name] ?: 0.0) * readMillis / MILLIS_PER_SECOND
        val waitingTokens = states.sumOf { it.queuedTurnTokens + it.pendingTokens(now) }
        val waiting = waitingTokens / context.speed(service.name).tokensPerMilli / maxOf(bootMillis, MIN_CLEAR_MILLIS)
        return maxOf(reading / readingPart(service.name, readMillis) + waiting, places)
    }

    /**
     * Returns the part of an engine's time that prompts of [readMillis] may take.
     *
     * The wait for an engine that is busy for a part p of the time grows with p / (1 - p); late ones wait about
     * [LATE_FACTOR] times the time of one prompt for each unit of it.
     */
    private fun readingPart(service: String, readMillis: Double): Double {
        val targetMillis = context.config?.targetMillis(service) ?: return DEFAULT_READING_PART
        val slackMillis = targetMillis * USABLE_TARGET_PART - readMillis
        val part = slackMillis / (slackMillis + LATE_FACTOR * readMillis)
        return part.coerceIn(MIN_READING_PART, MAX_READING_PART)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val MAX_UPDATE_SECONDS = 10.0

        // Counts arrive about once a second, later through relays.
        const val MAX_AGE_NANOS = 5_000_000_000L
        const val READ_WEIGHT = 0.005
        const val SLOT_PART = 0.7
        const val MIN_CLEAR_MILLIS = 1_000L

        // The rest of the target is for the load of an adapter and the way to the caller.
        const val USABLE_TARGET_PART = 0.6
        const val LATE_FACTOR = 2.0
        const val DEFAULT_READING_PART = 0.5
        const val MIN_READING_PART = 0.1

        // Above it, uneven arrivals at single engines make callers wait, whatever the target is.
        const val MAX_READING_PART = 0.65
    }
}
