package io.camphordrum.core.membership

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import io.camphordrum.core.WriteOutcome
import kotlin.random.Random

/** Simulates members with a fake store and reordered messages, in steps of 50 ms of real time. */
class MembershipSimulation(size: Int, seed: Long, private val faults: Boolean = true) {
    inner class Process(val slot: Int, incarnation: Long) {
        val member = Member(InstanceId("m$slot"), incarnation)
        val membership = Membership(member, DataCentreId("a"), "host:$slot", random.nextLong())
        val rate = if (faults) listOf(0.95, 1.0, 1.05).random(random) else 1.0
        val offset = random.nextLong(-1_000_000_000_000, 1_000_000_000_000)
        var pausedUntil = 0L
        val networkGroup get() = networkGroups[slot]

        fun clock(): Long = offset + (now * rate).toLong()
    }

    private class Event(val at: Long, val process: Process?, val action: () -> Unit)

    val checker = RightsChecker()
    val processes: MutableList<Process>
    val endpoints = List(6) { EndpointId("e$it") }
    var now = 0L
        private set
    var reads = 0
        private set
    var writes = 0
        private set
    var removed = 0
        private set
    var record: MembershipRecord? = null
        private set
    private val random = Random(seed)
    private val networkGroups = IntArray(size)
    private var events = mutableListOf<Event>()
    private var version = 0L
    private var lossRate = 0.0
    private val storeUnavailable = BooleanArray(size)
    private var lostAnswerRate = 0.0
    private var incarnation = 1L

    init {
        processes = MutableList(size) { Process(it, incarnation++) }
    }

    fun run(seconds: Int, withFaults: Boolean = faults) {
        repeat(seconds * 20) { step ->
            if (withFaults && step % 40 == 0) injectFaults()
            now += STEP_NANOS
            val due = events.filter { it.at <= now }.shuffled(random)
            for (event in due) {
                if (event.process != null && event.process.pausedUntil > now) continue
                events.remove(event)
                event.action()
            }
            for (process in processes) {
                if (process.pausedUntil <= now) invoke(process) { tick(it) }
            }
            check()
        }
    }

    /** Clears all faults; killed processes have already been replaced. */
    fun clearFaults() {
        networkGroups.fill(0)
        lossRate = 0.0
        lostAnswerRate = 0.0
        storeUnavailable.fill(false)
        for (process in processes) process.pausedUntil = 0
    }

    fun invoke(process: Process, call: Membership.(Long) -> List<MembershipEffect>) {
        for (effect in process.membership.call(process.clock())) perform(process, effect)
    }

    fun kill(slot: Int, restart: Boolean = true) {
        val old = processes.first { it.slot == slot }
        processes.remove(old)
        events.removeAll { it.process === old }
        if (restart) processes += Process(slot, incarnation++)
    }

    fun isolate(vararg slots: Int) {
        for (slot in slots) networkGroups[slot] = 1
    }

    fun isolateFromStore(vararg slots: Int) {
        for (slot in slots) storeUnavailable[slot] = true
    }

    private fun injectFaults() {
        lossRate = listOf(0.0, 0.0, 0.1, 0.5).random(random)
        lostAnswerRate = listOf(0.0, 0.1, 0.5).random(random)
        val storeOutage = random.nextInt(5) == 0
        for (slot in networkGroups.indices) {
            networkGroups[slot] = if (random.nextInt(3) == 0) random.nextInt(3) else 0
            storeUnavailable[slot] = storeOutage || random.nextInt(3) == 0
        }
        for (process in processes.toList()) {
            when (random.nextInt(12)) {
                0, 1 -> process.pausedUntil = now + random.nextLong(9_000_000_000)
                2 -> kill(process.slot)
                3 -> if (random.nextInt(3) == 0) invoke(process) { leave(it) }
            }
        }
        // Restarts random processes, among them those that have left or were superseded.
        for (process in processes.toList()) if (random.nextInt(30) == 0) kill(process.slot)
    }

    private fun check() {
        for (process in processes) {
            if (process.membership.leaseValid(process.clock())) checker.checkLease(process.member, now)
        }
        for (endpoint in endpoints) {
            val holders = processes.filter { it.membership.holds(it.clock(), endpoint) }.map { it.member }
            checker.checkHolders(endpoint, holders, now)
        }
    }

    private fun perform(process: Process, effect: MembershipEffect) {
        when (effect) {
            is MembershipEffect.Send -> deliver(process, effect)
            is MembershipEffect.ReadStore -> read(process)
            is MembershipEffect.WriteStore -> write(process, effect)
            else -> Unit
        }
    }

    private fun deliver(from: Process, send: MembershipEffect.Send) {
        repeat(if (random.nextInt(20) == 0) 2 else 1) {
            val maxDelay = if (lossRate > 0 && random.nextInt(8) == 0) 6_000_000_000 else 30_000_000L
            schedule(random.nextLong(maxDelay), null) {
                val to = processes.firstOrNull { it.member == send.to }
                val lost = to == null || random.nextDouble() < lossRate || to.networkGroup != from.networkGroup
                if (!lost) schedule(0, to) { invoke(to!!) { receive(it, from.member, send.message) } }
            }
        }
    }

    private fun read(process: Process) {
        reads++
        val sentAt = process.clock()
        schedule(storeDelay(), null) {
            val found = record
            val foundVersion = version
            val failed = storeUnavailable[process.slot] || random.nextDouble() < lostAnswerRate
            schedule(storeDelay(), process) {
                invoke(process) { if (failed) storeReadFailed(it) else storeRead(it, sentAt, found, foundVersion) }
            }
        }
    }

    private fun write(process: Process, write: MembershipEffect.WriteStore) {
        writes++
        val lost = random.nextDouble() < lostAnswerRate
        if (lost) schedule(storeDelay(), process) { invoke(process) { storeWritten(it, WriteOutcome.Unknown) } }
        val extraDelay = if (lost && random.nextBoolean()) 5_000_000_000 else 0L
        schedule(storeDelay() + extraDelay, null) {
            val outcome = when {
                storeUnavailable[process.slot] -> WriteOutcome.Unavailable
                version != write.expectedVersion -> WriteOutcome.Conflict
                else -> apply(write.record)
            }
            if (!lost) schedule(storeDelay(), process) { invoke(process) { storeWritten(it, outcome) } }
        }
    }

    private fun apply(written: MembershipRecord): WriteOutcome {
        val before = record?.generation?.members.orEmpty().map { it.member }
        removed += (before - written.generation.members.map { it.member }.toSet()).size
        record = written
        checker.recordWrite(written)
        return WriteOutcome.Applied(++version)
    }

    private fun storeDelay(): Long = random.nextLong(if (random.nextInt(10) == 0) 1_500_000_000 else 20_000_000)

    private fun schedule(delay: Long, process: Process?, action: () -> Unit) {
        events += Event(now + delay, process, action)
    }

    private companion object {
        const val STEP_NANOS = 50_000_000L
    }
}
