package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.Generation
import io.camphordrum.core.GenerationMember
import io.camphordrum.core.InstanceId
import io.camphordrum.core.ManualClock
import io.camphordrum.core.Member
import io.camphordrum.core.MemberState
import io.camphordrum.core.RateLimit
import io.camphordrum.core.WriteOutcome
import kotlin.random.Random

const val MILLIS = 1_000_000L
const val SECONDS = 1_000_000_000L

/** Runs share holders over a simulated membership, object store, and network that loses and reorders messages. */
class Fleet(
    private val random: Random,
    memberCounts: Map<String, Int>,
    var limits: Map<AccountId, RateLimit>,
    private val parameters: ShareParameters = ShareParameters(floorLeaseNanos = 20 * SECONDS),
) {
    class Node(val member: Member, val dataCentre: DataCentreId) {
        lateinit var holder: ShareHolder
        var knownGeneration: Generation? = null
        var leaseUntil = Long.MIN_VALUE
        var isStopped = false
        var isIsolated = false
        var pausedUntil = Long.MIN_VALUE
    }

    class Grant(val grantedAt: Long, val node: Node, val account: AccountId, val charged: Long, var used: Long)

    private class Packet(val deliverAt: Long, val node: Node, val deliver: () -> Unit)

    val clock = ManualClock()
    val now: Long get() = clock.nanos()
    val nodes = mutableListOf<Node>()
    val grants = mutableListOf<Grant>()
    var refusals = 0
    var messagesSent = 0
    var storeWrites = 0
    var lossPercent = 0
    var duplicatePercent = 0
    var maxDelayNanos = 1 * MILLIS
    var lostResponsePercent = 0
    var storeDown = false
    val generations = HashMap<DataCentreId, Generation>()
    private val rejoinTimes = HashMap<Node, Long>()
    private val removalTimes = HashMap<Member, Long>()
    private val packets = mutableListOf<Packet>()
    private var record: AllotmentRecord? = null
    private var version = 0L
    private val dataCentres = memberCounts.keys.map { DataCentreId(it) }

    init {
        for ((name, size) in memberCounts) {
            val dataCentre = DataCentreId(name)
            val added = (1..size).map { addNode(Member(InstanceId("$name-$it"), 1), dataCentre) }
            publishGeneration(dataCentre, added.map { generationMember(it, MemberState.LIVE) }, added.first().member)
        }
    }

    fun node(name: String): Node = nodes.last { it.member.instance.name == name }

    fun admit(node: Node, account: AccountId, tokens: Long): Admission? {
        if (!isRunning(node)) return null
        val admission = node.holder.admit(now, account, tokens)
        if (admission == Admission.Granted) grants += Grant(now, node, account, tokens, tokens)
        if (admission is Admission.Refused) refusals++
        if (admission is Admission.Wait) execute(node, node.holder.tick(now))
        return admission
    }

    fun settle(grant: Grant, used: Long) {
        if (!isRunning(grant.node)) return
        grant.used = used
        grant.node.holder.settle(now, grant.account, grant.charged, used, grant.grantedAt)
    }

    fun run(nanos: Long, stepNanos: Long = 5 * MILLIS, onStep: () -> Unit = {}) {
        val end = now + nanos
        while (now < end) {
            clock.advance(stepNanos)
            deliverDue()
            renewLeases()
            for (node in nodes) if (isRunning(node)) execute(node, node.holder.tick(now))
            onStep()
        }
    }

    fun release(node: Node) = execute(node, node.holder.release(now))

    /** Removes a member that does not respond: marks it as leaving, and removes it after its lease time. */
    fun remove(node: Node) {
        val current = generations.getValue(node.dataCentre)
        if (current.members.none { it.member == node.member && it.state == MemberState.LIVE }) return
        if (current.live.size < 2) return
        removalTimes[node.member] = now + 3_200 * MILLIS
        publishGeneration(
            node.dataCentre,
            current.members.map { if (it.member == node.member) it.copy(state = MemberState.LEAVING) else it },
            coordinator(node.dataCentre, node.member),
        )
    }

    /** Stops the process and starts a new one with the same name and address. */
    fun restart(node: Node): Node {
        node.isStopped = true
        val next = addNode(node.member.copy(incarnation = node.member.incarnation + 1), node.dataCentre)
        join(next)
        return next
    }

    fun join(node: Node) {
        val others = generations.getValue(node.dataCentre).members.filter { it.member.instance != node.member.instance }
        publishGeneration(
            node.dataCentre,
            others + generationMember(node, MemberState.LIVE),
            coordinator(node.dataCentre, null),
        )
    }

    /** Starts an instance with a new name; it does not prove that any other process has exited. */
    fun startInstance(dataCentre: DataCentreId) =
        join(addNode(Member(InstanceId("${dataCentre.name}-${nodes.size + 1}"), 1), dataCentre))

    fun kill(node: Node) {
        node.isStopped = true
    }

    /** Isolates or pauses [node], removes it, and lets it rejoin after [nanos] with its memory intact. */
    fun removeTemporarily(node: Node, nanos: Long, paused: Boolean) {
        if (paused) node.pausedUntil = now + nanos else node.isIsolated = true
        remove(node)
        rejoinTimes[node] = now + nanos
    }

    fun isMember(node: Node): Boolean = generations.getValue(node.dataCentre).members.any { it.member == node.member }

    /** Returns by how many nano-tokens the worst window exceeded burst + rate * T; not positive if none did. */
    fun worstExcessNanoTokens(account: AccountId): Long {
        val limit = limits.getValue(account)
        var worstNanoTokens = Long.MIN_VALUE
        var excessNanoTokens = -limit.burstTokens * SECONDS
        var last = 0L
        for (grant in grants.filter { it.account == account }) {
            excessNanoTokens =
                maxOf(excessNanoTokens - limit.tokensPerSecond * (grant.grantedAt - last), -limit.burstTokens * SECONDS)
            excessNanoTokens += grant.used * SECONDS
            last = grant.grantedAt
            worstNanoTokens = maxOf(worstNanoTokens, excessNanoTokens)
        }
        return worstNanoTokens
    }

    private fun addNode(member: Member, dataCentre: DataCentreId): Node {
        val node = Node(member, dataCentre)
        node.holder = ShareHolder(member, dataCentres, { it < node.leaseUntil }, parameters)
        node.holder.configure(now, limits)
        nodes += node
        return node
    }

    private fun generationMember(node: Node, state: MemberState) =
        GenerationMember(node.member, "${node.member.instance}:1", state)

    private fun coordinator(dataCentre: DataCentreId, excluded: Member?): Member {
        val live = generations.getValue(dataCentre).live.filter { it != excluded }
        val running = nodes.filter { it.member in live && isRunning(it) && !it.isIsolated }.map { it.member }
        return (running.ifEmpty { live }).random(random)
    }

    private fun publishGeneration(dataCentre: DataCentreId, members: List<GenerationMember>, coordinator: Member) {
        val number = (generations[dataCentre]?.number ?: 0) + 1
        val next = Generation(dataCentre, number, members.sortedBy { it.member.instance }, coordinator)
        generations[dataCentre] = next
        for (node in nodes.filter { it.dataCentre == dataCentre && !it.isStopped }) sendGeneration(node, next)
    }

    // Generation messages may be lost or late; every running member receives the newest generation with its next lease
    // renewal.
    private fun sendGeneration(node: Node, generation: Generation) {
        if (node.isIsolated || random.nextInt(100) < lossPercent) return
        packets += Packet(now + random.nextLong(maxDelayNanos), node) { enterGeneration(node, generation) }
    }

    private fun enterGeneration(node: Node, generation: Generation) {
        if (generation.number <= (node.knownGeneration?.number ?: 0)) return
        node.knownGeneration = generation
        execute(node, node.holder.onGeneration(now, generation))
    }

    private fun isRunning(node: Node) = !node.isStopped && now >= node.pausedUntil

    private fun renewLeases() {
        for (node in nodes.toList()) {
            if (!isRunning(node) || node.isIsolated) continue
            val current = generations.getValue(node.dataCentre)
            if (node.knownGeneration != current && now % (200 * MILLIS) == 0L) enterGeneration(node, current)
            if (node.knownGeneration == current && node.member in current.live && now % (500 * MILLIS) == 0L) {
                node.leaseUntil = now + 2_850 * MILLIS
            }
        }
        finishRemovals()
    }

    private fun finishRemovals() {
        for (node in rejoinTimes.filterValues { it <= now }.keys) {
            rejoinTimes.remove(node)
            node.isIsolated = false
            if (!node.isStopped && !isMember(node)) join(node)
        }
        for ((member, removeAt) in removalTimes.toMap()) {
            if (now < removeAt) continue
            removalTimes.remove(member)
            val dataCentre = nodes.first { it.member == member }.dataCentre
            val members = generations.getValue(dataCentre).members
            if (members.none { it.member == member && it.state == MemberState.LEAVING }) continue
            publishGeneration(dataCentre, members.filter { it.member != member }, coordinator(dataCentre, member))
        }
    }

    private fun execute(node: Node, effects: List<ShareEffect>) {
        for (effect in effects) {
            when (effect) {
                is ShareEffect.Send -> send(node, effect)
                is ShareEffect.Store -> store(node, effect.effect)
            }
        }
    }

    private fun send(from: Node, effect: ShareEffect.Send) {
        messagesSent++
        val to = nodes.firstOrNull { it.member == effect.to } ?: return
        if (from.isIsolated || to.isIsolated) return
        repeat(if (random.nextInt(100) < duplicatePercent) 2 else 1) {
            if (random.nextInt(100) >= lossPercent) {
                packets += Packet(now + random.nextLong(maxDelayNanos), to) {
                    execute(to, to.holder.receive(now, from.member, effect.message))
                }
            }
        }
    }

    private fun store(node: Node, effect: AllotmentEffect) {
        when (effect) {
            AllotmentEffect.ReadAllotments -> if (!storeDown) {
                val (value, readVersion) = record to version
                packets += Packet(now + random.nextLong(maxDelayNanos), node) {
                    execute(node, node.holder.allotmentsRead(now, value, readVersion))
                }
            }

            is AllotmentEffect.WriteAllotments -> write(node, effect)
        }
    }

    private fun write(node: Node, effect: AllotmentEffect.WriteAllotments) {
        storeWrites++
        val isResponseLost = storeDown || random.nextInt(100) < lostResponsePercent
        // A write whose response is lost may take effect much later, even after its writer has stopped.
        val maxDelay = if (isResponseLost) 4 * SECONDS else maxDelayNanos
        if (!storeDown) {
            packets += Packet(now + random.nextLong(maxDelay), STORE) {
                val applied = effect.expectedVersion == version
                if (applied) {
                    record = effect.record
                    version++
                }
                if (!isResponseLost) {
                    reportOutcome(node, if (applied) WriteOutcome.Applied(0) else WriteOutcome.Conflict)
                }
            }
        }
        if (isResponseLost) reportOutcome(node, if (storeDown) WriteOutcome.Unavailable else WriteOutcome.Unknown)
    }

    private fun reportOutcome(node: Node, outcome: WriteOutcome) {
        packets += Packet(now + random.nextLong(maxDelayNanos), node) {
            execute(node, node.holder.allotmentsWritten(now, outcome))
        }
    }

    private fun deliverDue() {
        while (true) {
            val due = packets.filter { it.deliverAt <= now && (it.node === STORE || now >= it.node.pausedUntil) }
            if (due.isEmpty()) return
            packets.removeAll(due.toSet())
            for (packet in due.sortedBy { it.deliverAt }) if (!packet.node.isStopped) packet.deliver()
        }
    }

    private companion object {
        val STORE = Node(Member(InstanceId("store"), 0), DataCentreId("store"))
    }
}
