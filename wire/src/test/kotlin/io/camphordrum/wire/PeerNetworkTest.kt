package io.camphordrum.wire

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.Generation
import io.camphordrum.core.GenerationMember
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import io.camphordrum.core.MemberState
import io.camphordrum.core.membership.GenerationNotice
import io.camphordrum.core.membership.Heartbeat
import io.camphordrum.core.membership.MembershipChange
import io.camphordrum.core.membership.MembershipRecord
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Waits without time bounds; a fault shows as a test that does not end. */
class PeerNetworkTest {
    private class Node(name: String, incarnation: Long = 1, port: Int = 0, queueSlots: Int = 1_024) {
        val member = Member(InstanceId(name), incarnation)
        val received = LinkedBlockingQueue<Pair<Member, PeerMessage>>()
        val up = LinkedBlockingQueue<Hello>()
        val down = LinkedBlockingQueue<String>()
        val faults = LinkedBlockingQueue<String>()
        val network = PeerNetwork(
            member,
            DataCentreId("a"),
            PeerSettings(port = port, queueSlots = queueSlots, maxFrameBytes = 4_096, backOffMillis = 5),
            PeerEvents(
                onMessage = { from, _, message -> received += from to message },
                onUp = { up += it },
                onDown = { _, reason -> down += reason },
                onFault = { _, reason -> faults += reason },
            ),
        )
        val port = network.start()
        val address = "127.0.0.1:${this.port}"

        fun faultWith(text: String) {
            while (true) if (text in faults.take()) return
        }
    }

    private val nodes = ArrayList<Node>()

    private fun node(name: String, incarnation: Long = 1, port: Int = 0, queueSlots: Int = 1_024) =
        Node(name, incarnation, port, queueSlots).also { nodes += it }

    private fun beat(sequence: Long) = PeerMessage.Membership(Heartbeat(1, sequence, 0))

    @OptIn(ExperimentalSerializationApi::class)
    private fun encode(message: PeerMessage) = Cbor.encodeToByteArray(PeerMessage.serializer(), message)

    private fun hello(incarnation: Long = 1, version: Int = Hello.PROTOCOL_VERSION) =
        Hello(version, Member(InstanceId("raw"), incarnation), DataCentreId("a"), "127.0.0.1:1")

    private fun DataOutputStream.frame(bytes: ByteArray) {
        writeInt(bytes.size)
        write(bytes)
    }

    /** Connects by hand, writes what [write] writes, ends the output, and waits until the node has closed. */
    private fun speak(node: Node, write: DataOutputStream.() -> Unit) {
        Socket("127.0.0.1", node.port).use { socket ->
            DataOutputStream(socket.getOutputStream()).write()
            socket.shutdownOutput()
            val input = DataInputStream(socket.getInputStream())
            while (input.read() >= 0) Unit
        }
    }

    @AfterEach
    fun stop() {
        for (node in nodes) node.network.stop()
    }

    @Nested
    inner class Messages {
        /** Guards against messages that are lost, crossed or attributed to another sender. */
        @Test
        fun `arrive in order with their sender`() {
            val (a, b) = node("a") to node("b")
            for (i in 1L..500L) assertTrue(a.network.send(b.address, beat(i)))
            for (i in 1L..500L) assertEquals(a.member to beat(i), b.received.take())
            assertTrue(b.network.send(a.address, beat(0)))
            assertEquals(b.member to beat(0), a.received.take())
            assertEquals(b.address, a.up.take().peerAddress)
        }

        /** Guards against a generation that cannot be passed on once a data centre has reached the limits. */
        @Test
        fun `carry the largest record of a generation`() {
            val members =
                List(256) { GenerationMember(Member(InstanceId("i$it"), 2L shl 40), "h$it:1", MemberState.LIVE) }
            val history = List(64) { MembershipChange(it + 1L, joined = members.take(4), left = members.takeLast(4)) }
            val record = MembershipRecord(Generation(DataCentreId("a"), 64, members, members[0].member), history)
            val notice = PeerMessage.Membership(GenerationNotice(record, version = 9))
            assertTrue(encode(notice).size < 1 shl 17, "${encode(notice).size} bytes")
            assertEquals(notice, Frames(1 shl 20).decode(encode(notice)))
        }

        /** Guards against a connection that is never made again, and a peer that stays up after it ended. */
        @Test
        fun `arrive again after the peer restarted`() {
            val (a, b) = node("a") to node("b")
            a.network.send(b.address, beat(1))
            b.received.take()
            b.network.stop()
            a.down.take()
            val next = node("b", incarnation = 2, port = b.port)
            a.network.send(b.address, beat(2))
            assertEquals(beat(2), next.received.take().second)
            assertEquals(listOf(1L, 2L), listOf(a.up.take(), a.up.take()).map { it.member.incarnation })
        }

        /** Guards against a queue that grows while a peer is away. */
        @Test
        fun `are dropped from the oldest on and counted when the queue is full`() {
            val a = node("a")
            val b = node("b")
            b.network.stop()
            for (i in 1L..2_000L) a.network.send(b.address, beat(i))
            assertTrue(a.network.droppedMessages >= 2_000 - 1_024)
            val next = node("b", incarnation = 2, port = b.port)
            assertTrue(
                (next.received.take().second as PeerMessage.Membership).message.let {
                    (it as Heartbeat).sequence >
                        1
                },
            )
        }

        /** Guards against connections to addresses that no member has any more. */
        @Test
        fun `go over a new connection after the address was forgotten`() {
            val (a, b) = node("a") to node("b")
            a.network.send(b.address, beat(1))
            b.received.take()
            a.network.forget(b.address)
            assertEquals("closed by the peer", b.down.take())
            a.network.send(b.address, beat(2))
            assertEquals(beat(2), b.received.take().second)
        }

        /** Guards against messages that are accepted although nobody will send them. */
        @Test
        fun `are refused for a bad address and after the stop`() {
            val a = node("a")
            for (address in listOf(
                "nowhere",
                ":1",
                "host:0",
                "host:70000",
            )) {
                assertFalse(a.network.send(address, beat(1)))
            }
            a.network.stop()
            assertFalse(a.network.send("127.0.0.1:1", beat(1)))
        }
    }

    @Nested
    inner class Connections {
        /** Guards against bytes that are taken for a message. */
        @Test
        fun `close on a frame that cannot be decoded`() {
            val a = node("a")
            speak(a) {
                frame(encode(hello()))
                frame(byteArrayOf(1, 2, 3))
            }
            a.faultWith("cannot be decoded")
            assertContains(a.down.take(), "cannot be decoded")
        }

        /** Guards against a part of a frame that is taken for a message, or a wait for the rest that never ends. */
        @Test
        fun `close on a frame that is cut off`() {
            val a = node("a")
            speak(a) {
                frame(encode(hello()))
                writeInt(100)
                write(1)
            }
            a.faultWith("connection ended")
        }

        /** Guards against memory taken for a length that a peer made up. */
        @Test
        fun `close on a length outside the limit`() {
            val a = node("a")
            for (length in listOf(0, -1, 4_097, Int.MAX_VALUE)) {
                speak(a) { writeInt(length) }
                a.faultWith("expected a frame of 1 to 4096 bytes, but was $length")
            }
        }

        /** Guards against peers that speak another version, or that say nothing of who they are. */
        @Test
        fun `close unless the first message is a hello of this version`() {
            val a = node("a")
            speak(a) { frame(encode(hello(version = 9))) }
            a.faultWith("expected protocol version 1, but was 9")
            speak(a) { frame(encode(beat(1))) }
            a.faultWith("expected a hello first, but was Membership")
            assertEquals(0, a.received.size)
        }

        /** Guards against messages of a process that a newer incarnation has replaced. */
        @Test
        fun `of an older incarnation are closed`() {
            val a = node("a")
            Socket("127.0.0.1", a.port).use { old ->
                val output = DataOutputStream(old.getOutputStream())
                output.frame(encode(hello(incarnation = 1)))
                a.up.take()
                speak(a) {
                    frame(encode(hello(incarnation = 2)))
                    frame(encode(beat(2)))
                }
                assertEquals(2, a.received.take().first.incarnation)
                output.frame(encode(beat(1)))
                while (true) if (a.down.take() == "replaced by a newer incarnation") break
                assertEquals(0, a.received.size)
            }
            speak(a) { frame(encode(hello(incarnation = 1))) }
            a.faultWith("expected the latest incarnation of raw")
        }
    }
}
