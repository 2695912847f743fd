package io.camphordrum.wire

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException

/** Runs one connection: exchanges hellos, then receives the messages of the peer until the connection ends. */
internal class PeerConnection(
    private val socket: Socket,
    private val remote: String,
    private val ownHello: Hello,
    private val settings: PeerSettings,
    private val codec: FrameCodec,
    private val registry: PeerRegistry,
    private val events: PeerEvents,
) {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)

    /** Exchanges hellos; returns the hello of the peer, or null after the connection was refused. */
    suspend fun open(): Hello? {
        val reason = try {
            codec.write(output, codec.encode(ownHello))
            output.flush()
            when (val firstMessage = withTimeoutOrNull(settings.helloTimeoutMillis) { codec.read(input) ?: ownHello }) {
                null -> "expected a hello within ${settings.helloTimeoutMillis} ms, but none came"
                ownHello -> "expected a hello, but the connection ended"
                is Hello -> registry.register(firstMessage) ?: return firstMessage
                else -> "expected a hello first, but was ${firstMessage::class.simpleName}"
            }
        } catch (e: FrameException) {
            e.message.orEmpty()
        } catch (e: IOException) {
            "connection failed: ${e.message}"
        }
        close()
        events.onFault(remote, reason)
        return null
    }

    /** Passes the messages of [peer] to the event handler until the connection ends, and returns the reason. */
    suspend fun receive(peer: Hello): String = try {
        receiveAll(peer)
    } catch (e: FrameException) {
        e.message.orEmpty().also { events.onFault(remote, it) }
    } catch (e: IOException) {
        "connection failed: ${e.message}"
    }

    private suspend fun receiveAll(peer: Hello): String {
        while (true) {
            val message = codec.read(input) ?: return "closed by the peer"
            if (!registry.isCurrent(peer)) return "replaced by a newer incarnation"
            if (message is Hello) throw FrameException("expected one hello for each connection, but another came")
            events.onMessage(peer.member, peer.dataCentre, message)
        }
    }

    /** Writes the messages of [queue]; flushes whenever the queue is empty. */
    suspend fun sendAll(queue: PeerQueue) {
        while (true) {
            var next: PeerMessage? = queue.receive()
            while (next != null) {
                write(next)
                next = queue.poll()
            }
            output.flush()
        }
    }

    private suspend fun write(message: PeerMessage) {
        val bytes = try {
            codec.encode(message)
        } catch (e: FrameException) {
            events.onFault(remote, "message not sent: ${e.message}")
            return
        }
        codec.write(output, bytes)
    }

    fun close() {
        try {
            socket.close()
        } catch (e: CancellationException) {
            throw e
        } catch (e: IOException) {
            events.onFault(remote, "close failed: ${e.message}")
        }
    }
}
