package io.camphordrum.wire

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import io.camphordrum.core.membership.Heartbeat
import io.camphordrum.core.serving.ServingMessage
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Tests frames that no daemon of this version sends. */
@OptIn(ExperimentalSerializationApi::class)
class OddFramesTest {
    private val received = LinkedBlockingQueue<Long>()
    private val faults = LinkedBlockingQueue<String>()
    private val network = PeerNetwork(
        Member(InstanceId("a"), 1),
        DataCentreId("a"),
        PeerSettings(port = 0, maxFrameBytes = MAX_FRAME_BYTES, backOffMillis = 5),
        PeerEvents(
            onMessage = { _, _, message -> onHeartbeat((message as PeerMessage.Membership).message as Heartbeat) },
            onFault = { _, reason -> faults += reason },
        ),
    )
    private val port = network.start()

    private fun onHeartbeat(heartbeat: Heartbeat) {
        if (heartbeat.sequence < 0) error("odd heartbeat")
        if (heartbeat.sequence == OVERFLOW_SEQUENCE) throw StackOverflowError()
        received += heartbeat.sequence
    }

    @AfterEach
    fun stop() = network.stop()

    private fun heartbeat(sequence: Long) = encode(PeerMessage.Membership(Heartbeat(1, sequence, 0)))

    private fun encode(message: PeerMessage) = Cbor.encodeToByteArray(PeerMessage.serializer(), message)

    private fun hello(name: String) =
        encode(Hello(Hello.PROTOCOL_VERSION, Member(InstanceId(name), 1), DataCentreId("a"), "127.0.0.1:1"))

    private fun write(socket: Socket, frame: ByteArray) = DataOutputStream(socket.getOutputStream()).run {
        writeInt(frame.size)
        write(frame)
    }

    private val oddFrames: Map<String, ByteArray> = mapOf(
        "nested arrays" to ByteArray(DEPTH) { NESTED_ARRAY },
        "nested tags" to ByteArray(DEPTH) { NESTED_TAG },
        "nested arrays in an unknown field" to UNKNOWN_FIELD + ByteArray(DEPTH) { NESTED_ARRAY },
        "a string longer than the frame" to byteArrayOf(0x9f.toByte(), 0x7b, 0x7f, -1, -1, -1, -1, -1, -1, -1),
        "a string of a negative length" to byteArrayOf(0x9f.toByte(), 0x7b, -1, -1, -1, -1, -1, -1, -1, -1),
        "a string of two gigabytes" to byteArrayOf(0x9f.toByte(), 0x7a, 0x7f, -1, -1, -1),
        "a list of two gigabytes" to byteArrayOf(0x9a.toByte(), 0x7f, -1, -1, -1),
        "a message that its handler rejects" to heartbeat(-1),
        "a message whose handler overflows the stack" to heartbeat(OVERFLOW_SEQUENCE),
    )

    @Nested
    inner class Connections {
        // Guards against a daemon that no longer hears any other one after a single odd frame.
        @Test
        fun `an odd frame costs at most its connection`() {
            Socket(InetAddress.getLoopbackAddress(), port).use { sound ->
                write(sound, hello("sound"))
                for ((index, odd) in oddFrames.entries.withIndex()) {
                    Socket(InetAddress.getLoopbackAddress(), port).use {
                        write(it, hello("odd"))
                        write(it, odd.value)
                        it.shutdownOutput()
                        DataInputStream(it.getInputStream()).readAllBytes()
                    }
                    assertNotNull(faults.poll(2, TimeUnit.SECONDS), "expected a fault for ${odd.key}")
                    write(sound, heartbeat(index.toLong()))
                    assertEquals(index.toLong(), received.poll(2, TimeUnit.SECONDS), "after ${odd.key}")
                }
            }
        }

        // Guards against a peer to which a daemon never connects again after an odd frame.
        @Test
        fun `an outgoing connection is established again after an odd frame`() {
            ServerSocket(0, 50, InetAddress.getLoopbackAddress()).use { server ->
                server.soTimeout = 2_000
                network.send("127.0.0.1:${server.localPort}", PeerMessage.Membership(Heartbeat(1, 1, 0)))
                for (odd in oddFrames.values) {
                    server.accept().use {
                        write(it, hello("b"))
                        write(it, odd)
                        DataInputStream(it.getInputStream()).readAllBytes()
                    }
                }
                server.accept().close()
            }
        }
    }

    @Nested
    inner class Decoding {
        private val messages = listOf(
            hello("a"),
            heartbeat(7),
            encode(PeerMessage.Serving(ServingMessage.PermitAsk("i-1", "1", 2.5))),
            encode(PeerMessage.Serving(ServingMessage.PermitEnd("i-1", "1", "limit", 400))),
        )

        private fun mutate(random: Random): ByteArray {
            var bytes = messages.random(random)
            repeat(random.nextInt(1, 5)) {
                val at = random.nextInt(bytes.size)
                val start = bytes.copyOf(at)
                val rest = bytes.copyOfRange(at, bytes.size)
                bytes = when (random.nextInt(4)) {
                    0 -> bytes.copyOf().also { it[at] = random.nextInt().toByte() }
                    1 -> start + bytes[at]
                    2 -> start + random.nextBytes(random.nextInt(12)) + rest
                    else -> start + oddFrames.values.random(random) + rest
                }
            }
            return bytes
        }

        // Guards against a throwable that the receiving loop does not expect.
        @Test
        fun `any bytes are a message or a frame fault`() {
            val codec = FrameCodec(MAX_FRAME_BYTES)
            var faults = 0
            val seeds = Integer.getInteger("oddSeeds", 300)
            for (seed in 1..seeds) {
                val bytes = mutate(Random(seed))
                try {
                    codec.decode(bytes)
                } catch (e: FrameException) {
                    faults++
                } catch (e: Throwable) {
                    throw AssertionError("seed $seed", e)
                }
            }
            assertTrue(faults > seeds / 4, "$faults faults")
        }
    }

    private companion object {
        const val MAX_FRAME_BYTES = 1 shl 20
        const val DEPTH = 200_000
        const val OVERFLOW_SEQUENCE = 99_999L
        const val NESTED_ARRAY = 0x81.toByte()
        const val NESTED_TAG = 0xc1.toByte()

        // A map of indefinite length whose first key is "x".
        val UNKNOWN_FIELD = byteArrayOf(0x9f.toByte(), 0x61, 'm'.code.toByte(), 0xbf.toByte(), 0x61, 'x'.code.toByte())
    }
}
