package io.camphordrum.core.membership

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.Generation
import io.camphordrum.core.GenerationMember
import io.camphordrum.core.InstanceId
import io.camphordrum.core.ManualClock
import io.camphordrum.core.Member
import io.camphordrum.core.MemberState
import io.camphordrum.core.WriteOutcome
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

class MembershipTest {
    private val clock = ManualClock(500)
    private val a = entry("a")
    private val b = entry("b")
    private val c = entry("c")
    private val membership = Membership(a.member, DataCentreId("dc"), a.peerAddress, seed = 1)

    private fun entry(name: String, incarnation: Long = 1, address: String = "$name:1") =
        GenerationMember(Member(InstanceId(name), incarnation), address, MemberState.LIVE)

    private fun record(number: Long, vararg members: GenerationMember) =
        MembershipRecord(Generation(DataCentreId("dc"), number, members.toList(), members.first().member))

    private fun read(record: MembershipRecord?, sentAt: Long = clock.nanos()) =
        membership.storeRead(clock.nanos(), sentAt, record, record?.generation?.number ?: 0)

    private fun receive(from: GenerationMember, message: MembershipMessage) =
        membership.receive(clock.nanos(), from.member, message)

    private fun tick(millis: Long = 0): List<MembershipEffect> {
        val effects = ArrayList<MembershipEffect>()
        repeat((millis / 100).toInt()) {
            clock.advance(100_000_000)
            effects += membership.tick(clock.nanos())
        }
        return effects + membership.tick(clock.nanos())
    }

    private fun List<MembershipEffect>.sent(to: GenerationMember) =
        filterIsInstance<MembershipEffect.Send>().filter { it.to == to.member }.map { it.message }

    private fun List<MembershipEffect>.written() = filterIsInstance<MembershipEffect.WriteStore>().map { it.record }

    private fun List<MembershipEffect>.reads() = count { it is MembershipEffect.ReadStore }

    private fun valid() = membership.leaseValid(clock.nanos())

    @Nested
    inner class Lease {
        /** Guards against a lease that lasts longer because the answer is late. */
        @Test
        fun `starts before the read was sent`() {
            val sentAt = clock.nanos()
            clock.advance(2_000_000_000)
            read(record(1, a), sentAt)
            assertTrue(valid())
            clock.advance(Membership.VALID_NANOS - 2_000_000_000)
            assertFalse(valid())
        }

        /** Guards against counting acknowledgements of another generation or of too few witnesses. */
        @Test
        fun `needs acknowledgements of a quorum in the current generation`() {
            val heartbeats = receive(b, GenerationNotice(record(7, a, b, c), 7)).sent(b)
            val heartbeat = assertIs<Heartbeat>(heartbeats.first())
            receive(b, Acknowledgement(7, heartbeat.sequence, granted = true, revision = 0))
            receive(c, Acknowledgement(6, heartbeat.sequence, granted = true, revision = 0))
            receive(c, Acknowledgement(7, heartbeat.sequence, granted = false, revision = 0))
            assertFalse(valid())
            receive(c, Acknowledgement(7, heartbeat.sequence, granted = true, revision = 0))
            assertTrue(valid())
        }

        /** Guards against a lease that ends whenever another member joins. */
        @Test
        fun `stays valid when another member joins`() {
            read(record(1, a, b))
            receive(b, GenerationNotice(record(2, a, b, c), 2))
            assertTrue(valid())
        }

        /** Guards against using rights after the member is marked as leaving or has requested a graceful leave. */
        @Test
        fun `ends when the member is marked as leaving or leaves`() {
            read(record(1, a, b))
            receive(b, GenerationNotice(record(2, a.copy(state = MemberState.LEAVING), b), 2))
            assertFalse(valid())
            val other = Membership(b.member, DataCentreId("dc"), b.peerAddress, seed = 2)
            other.storeRead(0, 0, record(1, a, b), 1)
            val effects = other.leave(0)
            assertFalse(other.leaseValid(0))
            assertEquals(listOf(a), effects.written().single().generation.members)
        }

        /** Guards against calls to the store while nothing changes. */
        @Test
        fun `needs no store call while witnesses answer, and less than one read per second without witnesses`() {
            read(record(1, a, b))
            var calls = 0
            repeat(100) {
                val effects = tick(100)
                calls += effects.reads() + effects.written().size
                for (heartbeat in effects.sent(b).filterIsInstance<Heartbeat>()) {
                    receive(b, Acknowledgement(1, heartbeat.sequence, granted = true, revision = 0))
                }
            }
            assertEquals(0, calls)
            read(record(2, a))
            repeat(100) { if (tick(100).reads() > 0) calls += 1.also { read(record(2, a)) } }
            assertTrue(calls in 5..9, "$calls reads in 10 s")
        }
    }

    @Nested
    inner class Join {
        /** Guards against two initial generations, and a lease before the write is known to have taken effect. */
        @Test
        fun `creates the first generation and resolves a lost answer by reading`() {
            val write = assertIs<MembershipEffect.WriteStore>(read(null).single())
            assertEquals(0, write.expectedVersion)
            membership.storeWritten(clock.nanos(), WriteOutcome.Unknown)
            assertFalse(valid())
            assertEquals(1, tick(500).reads())
            read(write.record)
            assertTrue(valid())
        }

        /** Guards against revoking rights of a process that may still run at another address. */
        @Test
        fun `replaces an older incarnation only at the same address`() {
            val restarted = Membership(Member(a.member.instance, 2), DataCentreId("dc"), a.peerAddress, seed = 1)
            val written = restarted.storeRead(0, 0, record(3, a, b), 3).written().single()
            assertEquals(listOf(2L, 1L), written.generation.members.map { it.member.incarnation })
            val moved = Membership(Member(a.member.instance, 2), DataCentreId("dc"), "elsewhere:1", seed = 1)
            assertEquals(emptyList(), moved.storeRead(0, 0, record(3, a, b), 3).written())
        }

        /** Guards against an old process that rejoins after a newer incarnation has started. */
        @Test
        fun `an older incarnation never joins`() {
            val effects = read(record(3, entry("a", incarnation = 2), b))
            assertTrue(effects.any { it is MembershipEffect.Superseded })
            assertEquals(emptyList(), effects.written() + tick(20_000).written())
        }
    }

    @Nested
    inner class Promise {
        private fun heartbeat(
            number: Long,
        ) = receive(b, Heartbeat(number, 9, 0)).sent(b).filterIsInstance<Acknowledgement>()

        /** Guards against a quorum that forms after the promises were collected. */
        @Test
        fun `refuses the member in this generation only`() {
            read(record(1, a, b, c))
            assertEquals(emptyList(), receive(c, RemovalRequest(1, b.member)).sent(c), "b was not silent yet")
            tick(2_500)
            assertEquals(
                listOf<MembershipMessage>(RemovalPromise(1, b.member)),
                receive(c, RemovalRequest(1, b.member)).sent(c),
            )
            assertFalse(heartbeat(1).single().granted)
            receive(c, GenerationNotice(record(2, a, b, c), 2))
            assertEquals(emptyList(), heartbeat(1))
            assertTrue(heartbeat(2).single().granted)
        }

        /** Guards against counting promises of another generation for a removal. */
        @Test
        fun `removal needs promises of this generation`() {
            val members = arrayOf(a, b, c, entry("d"), entry("e"))
            read(record(1, *members))
            fun step(): List<MembershipEffect> = members.drop(2).flatMap { receive(it, Heartbeat(1, 1, 0)) } + tick(500)
            repeat(10) { step() }
            receive(c, RemovalPromise(0, b.member))
            assertEquals(emptyList(), step().written())
            receive(c, RemovalPromise(1, b.member))
            val marked = step().written().single().generation.members.filter { it.state == MemberState.LEAVING }
            assertEquals(listOf(b.member), marked.map { it.member })
        }

        /** Guards against a lease renewed by witnesses of an earlier generation that received no removal request. */
        @Test
        fun `removal needs the witnesses of each generation that the member may act on`() {
            val joined = MembershipChange(2, joined = listOf(a))
            val history = record(2, a, b, c).copy(history = listOf(joined))
            read(history)
            receive(c, Heartbeat(1, 1, 0))
            assertEquals(emptyList(), tick(12_000).written(), "b may act on generation 1 with witness c")
            receive(c, RemovalPromise(2, b.member))
            assertEquals(
                listOf(b.member),
                tick(500).written().single().generation.members
                    .filter { it.state == MemberState.LEAVING }.map { it.member },
            )
        }

        /** Guards against an operator's statement without effect, and a removal without the wait. */
        @Test
        fun `an operator's statement replaces promises but not the wait`() {
            read(record(1, a, b))
            val mark = membership.declareGone(clock.nanos(), b.member.instance).written().single()
            assertEquals(MemberState.LEAVING, mark.generation.members.last().state)
            membership.storeWritten(clock.nanos(), WriteOutcome.Applied(2))
            assertEquals(emptyList(), tick(3_100).written())
            assertEquals(listOf(a), tick(1_500).written().single().generation.members)
        }
    }

    @Nested
    inner class Notice {
        /** Guards against a member that keeps an outdated generation, and a member that returns to an older one. */
        @Test
        fun `updates members and never returns to an older generation`() {
            read(record(5, a, b))
            assertEquals(5, assertIs<GenerationNotice>(receive(b, Heartbeat(4, 1, 0)).sent(b).single()).generation)
            assertFalse(assertIs<Acknowledgement>(receive(b, Heartbeat(6, 1, 0)).sent(b).single()).granted)
            receive(b, GenerationNotice(record(4, a, b, c), 4))
            assertEquals(5, membership.generation?.number)
        }

        /** Guards against configuration changes that are not detected. */
        @Test
        fun `reports newer configuration revisions`() {
            read(record(1, a, b))
            membership.updateConfigRevision(3)
            assertNull(receive(b, Heartbeat(1, 1, 3)).firstOrNull { it is MembershipEffect.RevisionSeen })
            val seen = receive(b, Heartbeat(1, 2, 4)).firstOrNull { it is MembershipEffect.RevisionSeen }
            assertEquals(MembershipEffect.RevisionSeen(b.member, 4), seen)
        }
    }

    @Nested
    inner class DataCentre {
        private val simulation = MembershipSimulation(4, seed = 5, faults = false).also { it.run(seconds = 20) }

        private fun valid() = simulation.processes.map { it.membership.leaseValid(it.clock()) }

        /** Guards against leases that depend on the platform, and unneeded calls to the store. */
        @Test
        fun `keeps all leases without a call to the store, also while the platform is unavailable`() {
            val calls = simulation.reads + simulation.writes
            simulation.run(seconds = 60)
            assertEquals(calls, simulation.reads + simulation.writes)
            simulation.isolateFromStore(0, 1, 2, 3)
            simulation.run(seconds = 60)
            assertEquals(List(4) { true }, valid())
        }

        /** Guards against an isolated member that keeps its lease, and one that does not rejoin. */
        @Test
        fun `removes an isolated member and readmits it`() {
            simulation.isolate(2)
            simulation.isolateFromStore(2)
            simulation.run(seconds = 15)
            assertEquals(listOf(true, true, false, true), valid())
            assertEquals(3, simulation.record?.generation?.members?.size)
            simulation.clearFaults()
            simulation.run(seconds = 20)
            assertEquals(List(4) { true }, valid())
        }

        /** Guards against endpoints without an owner after a crash. */
        @Test
        fun `removes a killed member and reassigns its endpoints`() {
            simulation.kill(1, restart = false)
            simulation.run(seconds = 10)
            for (endpoint in simulation.endpoints) {
                assertEquals(1, simulation.processes.count { it.membership.holds(it.clock(), endpoint) })
            }
        }

        /** Guards against a leave that waits until other members suspect the leaving one. */
        @Test
        fun `removes a leaving member within a second`() {
            simulation.invoke(simulation.processes[3]) { leave(it) }
            simulation.run(seconds = 1)
            assertEquals(3, simulation.record?.generation?.members?.size)
        }
    }
}
