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

/** Waits without timeouts: a failure shows as a test that does not end. */
class PeerNetworkTest {
    private class Node(name: String, incarnation: Long = 1, port: Int = 0, queueCapacity: Int = 1_024) {
        val member = Member(InstanceId(name), incarnation)
        val received = LinkedBlockingQueue<Pair<Member, PeerMessage>>()
        val up = LinkedBlockingQueue<Hello>()
        val down = LinkedBlockingQueue<String>()
        val faults = LinkedBlockingQueue<String>()
        val network = PeerNetwork(
            member,
            DataCentreId("a"),
            PeerSettings(port = port, queueCapacity = queueCapacity, maxFrameBytes = 4_096, backOffMillis = 5),
            PeerEvents(
                onMessage = { from, _, message -> received += from to message },
                onUp = { up += it },
                onDown = { _, reason -> down += reason },
                onFault = { _, reason -> faults += reason },
            ),
        )
        val port = network.start()
        val address = "127.0.0.1:${this.port}"

        fun awaitFault(text: String) {
            while (true) if (text in faults.take()) return
        }
    }

    private val nodes = ArrayList<Node>()

    private fun node(name: String, incarnation: Long = 1, port: Int = 0, queueCapacity: Int = 1_024) =
        Node(name, incarnation, port, queueCapacity).also { nodes += it }

    private fun heartbeat(sequence: Long) = PeerMessage.Membership(Heartbeat(1, sequence, 0))

    @OptIn(ExperimentalSerializationApi::class)
    private fun encode(message: PeerMessage) = Cbor.encodeToByteArray(PeerMessage.serializer(), message)

    private fun hello(incarnation: Long = 1, version: Int = Hello.PROTOCOL_VERSION) =
        Hello(version, Member(InstanceId("raw"), incarnation), DataCentreId("a"), "127.0.0.1:1")

    private fun DataOutputStream.writeFrame(bytes: ByteArray) {
        writeInt(bytes.size)
        write(bytes)
    }

    /** Opens a plain socket, runs [write], shuts down the output, and waits until the node closes the connection. */
    private fun connectRaw(node: Node, write: DataOutputStream.() -> Unit) {
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
        /** Guards against messages that are lost, reordered or attributed to another sender. */
        @Test
        fun `arrive in order with their sender`() {
            val (a, b) = node("a") to node("b")
            for (i in 1L..500L) assertTrue(a.network.send(b.address, heartbeat(i)))
            for (i in 1L..500L) assertEquals(a.member to heartbeat(i), b.received.take())
            assertTrue(b.network.send(a.address, heartbeat(0)))
            assertEquals(b.member to heartbeat(0), a.received.take())
            assertEquals(b.address, a.up.take().peerAddress)
        }

        /** Guards against a generation that is too large for a frame once a data centre has reached the limits. */
        @Test
        fun `carry the largest record of a generation`() {
            val members =
                List(256) { GenerationMember(Member(InstanceId("i$it"), 2L shl 40), "h$it:1", MemberState.LIVE) }
            val history = List(64) { MembershipChange(it + 1L, joined = members.take(4), left = members.takeLast(4)) }
            val record = MembershipRecord(Generation(DataCentreId("a"), 64, members, members[0].member), history)
            val notice = PeerMessage.Membership(GenerationNotice(record, version = 9))
            assertTrue(encode(notice).size < 1 shl 17, "${encode(notice).size} bytes")
            assertEquals(notice, FrameCodec(1 shl 20).decode(encode(notice)))
        }

        /** Guards against a connection that is never re-established, and a peer that stays up after a disconnect. */
        @Test
        fun `arrive again after the peer restarted`() {
            val (a, b) = node("a") to node("b")
            a.network.send(b.address, heartbeat(1))
            b.received.take()
            b.network.stop()
            a.down.take()
            val restarted = node("b", incarnation = 2, port = b.port)
            a.network.send(b.address, heartbeat(2))
            assertEquals(heartbeat(2), restarted.received.take().second)
            assertEquals(listOf(1L, 2L), listOf(a.up.take(), a.up.take()).map { it.member.incarnation })
        }

        /** Guards against a queue that grows while a peer is unreachable. */
        @Test
        fun `are dropped oldest first and counted when the queue is full`() {
            val a = node("a")
            val b = node("b")
            b.network.stop()
            for (i in 1L..2_000L) a.network.send(b.address, heartbeat(i))
            assertTrue(a.network.droppedMessages >= 2_000 - 1_024)
            val restarted = node("b", incarnation = 2, port = b.port)
            assertTrue(
                (restarted.received.take().second as PeerMessage.Membership).message.let {
                    (it as Heartbeat).sequence >
                        1
                },
            )
        }

        /** Guards against connections to addresses of former members. */
        @Test
        fun `use a new connection after the address was disconnected`() {
            val (a, b) = node("a") to node("b")
            a.network.send(b.address, heartbeat(1))
            b.received.take()
            a.network.disconnect(b.address)
            assertEquals("closed by the peer", b.down.take())
            a.network.send(b.address, heartbeat(2))
            assertEquals(heartbeat(2), b.received.take().second)
        }

        /** Guards against messages that are accepted although they will never be sent. */
        @Test
        fun `are refused for an invalid address and after the stop`() {
            val a = node("a")
            for (address in listOf(
                "nowhere",
                ":1",
                "host:0",
                "host:70000",
            )) {
                assertFalse(a.network.send(address, heartbeat(1)))
            }
            a.network.stop()
            assertFalse(a.network.send("127.0.0.1:1", heartbeat(1)))
        }
    }

    @Nested
    inner class Connections {
        /** Guards against arbitrary bytes being decoded as a message. */
        @Test
        fun `close on a frame that cannot be decoded`() {
            val a = node("a")
            connectRaw(a) {
                writeFrame(encode(hello()))
                writeFrame(byteArrayOf(1, 2, 3))
            }
            a.awaitFault("cannot be decoded")
            assertContains(a.down.take(), "cannot be decoded")
        }

        /** Guards against decoding an incomplete frame, and against waiting forever for the rest of it. */
        @Test
        fun `close on an incomplete frame`() {
            val a = node("a")
            connectRaw(a) {
                writeFrame(encode(hello()))
                writeInt(100)
                write(1)
            }
            a.awaitFault("connection ended")
        }

        /** Guards against allocating memory for an arbitrary length sent by a peer. */
        @Test
        fun `close on a length outside the limit`() {
            val a = node("a")
            for (length in listOf(0, -1, 4_097, Int.MAX_VALUE)) {
                connectRaw(a) { writeInt(length) }
                a.awaitFault("expected a frame of 1 to 4096 bytes, but was $length")
            }
        }

        /** Guards against peers that use another protocol version or do not identify themselves. */
        @Test
        fun `close unless the first message is a hello of this version`() {
            val a = node("a")
            connectRaw(a) { writeFrame(encode(hello(version = 9))) }
            a.awaitFault("expected protocol version 1, but was 9")
            connectRaw(a) { writeFrame(encode(heartbeat(1))) }
            a.awaitFault("expected a hello first, but was Membership")
            assertEquals(0, a.received.size)
        }

        /** Guards against messages of a process that was replaced by a newer incarnation. */
        @Test
        fun `of an older incarnation are closed`() {
            val a = node("a")
            Socket("127.0.0.1", a.port).use { old ->
                val output = DataOutputStream(old.getOutputStream())
                output.writeFrame(encode(hello(incarnation = 1)))
                a.up.take()
                connectRaw(a) {
                    writeFrame(encode(hello(incarnation = 2)))
                    writeFrame(encode(heartbeat(2)))
                }
                assertEquals(2, a.received.take().first.incarnation)
                output.writeFrame(encode(heartbeat(1)))
                while (true) if (a.down.take() == "replaced by a newer incarnation") break
                assertEquals(0, a.received.size)
            }
            connectRaw(a) { writeFrame(encode(hello(incarnation = 1))) }
            a.awaitFault("expected the latest incarnation of raw")
        }
    }
}
