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

/** Drives several holders over a lossy message bag, an object store and a membership that follows the design page. */
class Fleet(
    private val random: Random,
    centres: Map<String, Int>,
    var limits: Map<AccountId, RateLimit>,
    private val parameters: ShareParameters = ShareParameters(floorLeaseNanos = 20 * SECONDS),
) {
    class Node(val member: Member, val centre: DataCentreId) {
        lateinit var holder: ShareHolder
        var known: Generation? = null
        var leaseUntil = Long.MIN_VALUE
        var dead = false
        var isolated = false
        var pausedUntil = Long.MIN_VALUE
    }

    class Grant(val at: Long, val node: Node, val account: AccountId, val charged: Long, var used: Long)

    private class Packet(val at: Long, val node: Node, val deliver: () -> Unit)

    val clock = ManualClock()
    val now: Long get() = clock.nanos()
    val nodes = mutableListOf<Node>()
    val grants = mutableListOf<Grant>()
    var refused = 0
    var sent = 0
    var writes = 0
    var lossPercent = 0
    var duplicatePercent = 0
    var maxDelayNanos = 1 * MILLIS
    var lostAnswerPercent = 0
    var storeDown = false
    val generations = HashMap<DataCentreId, Generation>()
    private val returning = HashMap<Node, Long>()
    private val removable = HashMap<Member, Long>()
    private val packets = mutableListOf<Packet>()
    private var record: AllotmentRecord? = null
    private var version = 0L
    private val centreIds = centres.keys.map { DataCentreId(it) }

    init {
        for ((name, size) in centres) {
            val centre = DataCentreId(name)
            val added = (1..size).map { add(Member(InstanceId("$name-$it"), 1), centre) }
            publish(centre, added.map { entry(it, MemberState.LIVE) }, added.first().member)
        }
    }

    fun node(name: String): Node = nodes.last { it.member.instance.name == name }

    fun admit(node: Node, account: AccountId, tokens: Long): Admission? {
        if (!isRunning(node)) return null
        val admission = node.holder.admit(now, account, tokens)
        if (admission == Admission.Granted) grants += Grant(now, node, account, tokens, tokens)
        if (admission is Admission.Refused) refused++
        if (admission is Admission.Wait) execute(node, node.holder.tick(now))
        return admission
    }

    fun settle(grant: Grant, used: Long) {
        if (!isRunning(grant.node)) return
        grant.used = used
        grant.node.holder.settle(now, grant.account, grant.charged, used, grant.at)
    }

    fun run(nanos: Long, step: Long = 5 * MILLIS, each: () -> Unit = {}) {
        val end = now + nanos
        while (now < end) {
            clock.advance(step)
            deliver()
            renew()
            for (node in nodes) if (isRunning(node)) execute(node, node.holder.tick(now))
            each()
        }
    }

    fun release(node: Node) = execute(node, node.holder.release(now))

    /** Removes a silent member: first as leaving, and after the lease time for good. */
    fun remove(node: Node) {
        val current = generations.getValue(node.centre)
        if (current.members.none { it.member == node.member && it.state == MemberState.LIVE }) return
        if (current.live.size < 2) return
        removable[node.member] = now + 3_200 * MILLIS
        publish(
            node.centre,
            current.members.map { if (it.member == node.member) it.copy(state = MemberState.LEAVING) else it },
            coordinator(node.centre, node.member),
        )
    }

    /** Starts a new process under the same name and address; the old one has ended. */
    fun restart(node: Node): Node {
        node.dead = true
        val next = add(node.member.copy(incarnation = node.member.incarnation + 1), node.centre)
        join(next)
        return next
    }

    fun join(node: Node) {
        val others = generations.getValue(node.centre).members.filter { it.member.instance != node.member.instance }
        publish(node.centre, others + entry(node, MemberState.LIVE), coordinator(node.centre, null))
    }

    /** Starts an instance with a new name; nothing proves that any other process has ended. */
    fun start(centre: DataCentreId) = join(add(Member(InstanceId("${centre.name}-${nodes.size + 1}"), 1), centre))

    fun kill(node: Node) {
        node.dead = true
    }

    /** Cuts [node] off or pauses it, has it removed, and lets it rejoin later with its memory intact. */
    fun absent(node: Node, nanos: Long, paused: Boolean) {
        if (paused) node.pausedUntil = now + nanos else node.isolated = true
        remove(node)
        returning[node] = now + nanos
    }

    fun isMember(node: Node): Boolean = generations.getValue(node.centre).members.any { it.member == node.member }

    /** Returns by how many nano-tokens the worst window exceeded burst + rate * T; at most 0 if none did. */
    fun worstExcess(account: AccountId): Long {
        val limit = limits.getValue(account)
        var worst = Long.MIN_VALUE
        var excess = -limit.burstTokens * SECONDS
        var last = 0L
        for (grant in grants.filter { it.account == account }) {
            excess = maxOf(excess - limit.tokensPerSecond * (grant.at - last), -limit.burstTokens * SECONDS)
            excess += grant.used * SECONDS
            last = grant.at
            worst = maxOf(worst, excess)
        }
        return worst
    }

    private fun add(member: Member, centre: DataCentreId): Node {
        val node = Node(member, centre)
        node.holder = ShareHolder(member, centreIds, { it < node.leaseUntil }, parameters)
        node.holder.configure(now, limits)
        nodes += node
        return node
    }

    private fun entry(node: Node, state: MemberState) =
        GenerationMember(node.member, "${node.member.instance}:1", state)

    private fun coordinator(centre: DataCentreId, without: Member?): Member {
        val live = generations.getValue(centre).live.filter { it != without }
        val running = nodes.filter { it.member in live && isRunning(it) && !it.isolated }.map { it.member }
        return (running.ifEmpty { live }).random(random)
    }

    private fun publish(centre: DataCentreId, members: List<GenerationMember>, coordinator: Member) {
        val number = (generations[centre]?.number ?: 0) + 1
        val next = Generation(centre, number, members.sortedBy { it.member.instance }, coordinator)
        generations[centre] = next
        for (node in nodes.filter { it.centre == centre && !it.dead }) notify(node, next)
    }

    // Notices may be lost or late; every running member learns the newest generation from the next renewal.
    private fun notify(node: Node, generation: Generation) {
        if (node.isolated || random.nextInt(100) < lossPercent) return
        packets += Packet(now + random.nextLong(maxDelayNanos), node) { enter(node, generation) }
    }

    private fun enter(node: Node, generation: Generation) {
        if (generation.number <= (node.known?.number ?: 0)) return
        node.known = generation
        execute(node, node.holder.onGeneration(now, generation))
    }

    private fun isRunning(node: Node) = !node.dead && now >= node.pausedUntil

    private fun renew() {
        for (node in nodes.toList()) {
            if (!isRunning(node) || node.isolated) continue
            val current = generations.getValue(node.centre)
            if (node.known != current && now % (200 * MILLIS) == 0L) enter(node, current)
            if (node.known == current && node.member in current.live && now % (500 * MILLIS) == 0L) {
                node.leaseUntil = now + 2_850 * MILLIS
            }
        }
        finishRemovals()
    }

    private fun finishRemovals() {
        for (node in returning.filterValues { it <= now }.keys) {
            returning.remove(node)
            node.isolated = false
            if (!node.dead && !isMember(node)) join(node)
        }
        for ((member, at) in removable.toMap()) {
            if (now < at) continue
            removable.remove(member)
            val centre = nodes.first { it.member == member }.centre
            val members = generations.getValue(centre).members
            if (members.none { it.member == member && it.state == MemberState.LEAVING }) continue
            publish(centre, members.filter { it.member != member }, coordinator(centre, member))
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
        sent++
        val to = nodes.firstOrNull { it.member == effect.to } ?: return
        if (from.isolated || to.isolated) return
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
                val (value, at) = record to version
                packets += Packet(now + random.nextLong(maxDelayNanos), node) {
                    execute(node, node.holder.allotmentsRead(now, value, at))
                }
            }

            is AllotmentEffect.WriteAllotments -> write(node, effect)
        }
    }

    private fun write(node: Node, effect: AllotmentEffect.WriteAllotments) {
        writes++
        val lost = storeDown || random.nextInt(100) < lostAnswerPercent
        // A write whose answer is lost may take effect much later, even after its writer has died.
        val late = if (lost) 4 * SECONDS else maxDelayNanos
        if (!storeDown) {
            packets += Packet(now + random.nextLong(late), STORE) {
                val applied = effect.expectedVersion == version
                if (applied) {
                    record = effect.record
                    version++
                }
                if (!lost) answer(node, if (applied) WriteOutcome.Applied(0) else WriteOutcome.Conflict)
            }
        }
        if (lost) answer(node, if (storeDown) WriteOutcome.Unavailable else WriteOutcome.Unknown)
    }

    private fun answer(node: Node, outcome: WriteOutcome) {
        packets += Packet(now + random.nextLong(maxDelayNanos), node) {
            execute(node, node.holder.allotmentsWritten(now, outcome))
        }
    }

    private fun deliver() {
        while (true) {
            val due = packets.filter { it.at <= now && (it.node === STORE || now >= it.node.pausedUntil) }
            if (due.isEmpty()) return
            packets.removeAll(due.toSet())
            for (packet in due.sortedBy { it.at }) if (!packet.node.dead) packet.deliver()
        }
    }

    private companion object {
        val STORE = Node(Member(InstanceId("store"), 0), DataCentreId("store"))
    }
}
