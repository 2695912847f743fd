package io.camphordrum.wire

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException

/** Runs one connection: hellos in both directions, then the messages of the other side until it ends. */
internal class PeerConnection(
    private val socket: Socket,
    private val remote: String,
    private val self: Hello,
    private val settings: PeerSettings,
    private val frames: Frames,
    private val registry: PeerRegistry,
    private val events: PeerEvents,
) {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)

    /** Exchanges hellos; returns the other side's hello, or null after the connection was refused. */
    suspend fun open(): Hello? {
        val reason = try {
            frames.write(output, frames.encode(self))
            output.flush()
            when (val first = withTimeoutOrNull(settings.helloTimeoutMillis) { frames.read(input) ?: self }) {
                null -> "expected a hello within ${settings.helloTimeoutMillis} ms, but none came"
                self -> "expected a hello, but the connection ended"
                is Hello -> registry.opened(first) ?: return first
                else -> "expected a hello first, but was ${first::class.simpleName}"
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

    /** Passes on the messages of [peer] until the connection ends, and returns the reason. */
    suspend fun receive(peer: Hello): String = try {
        receiveAll(peer)
    } catch (e: FrameException) {
        e.message.orEmpty().also { events.onFault(remote, it) }
    } catch (e: IOException) {
        "connection failed: ${e.message}"
    }

    private suspend fun receiveAll(peer: Hello): String {
        while (true) {
            val message = frames.read(input) ?: return "closed by the peer"
            if (!registry.current(peer)) return "replaced by a newer incarnation"
            if (message is Hello) throw FrameException("expected one hello for each connection, but another came")
            events.onMessage(peer.member, peer.dataCentre, message)
        }
    }

    /** Writes messages from [queue]; flushes when no further message waits. */
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
            frames.encode(message)
        } catch (e: FrameException) {
            events.onFault(remote, "message not sent: ${e.message}")
            return
        }
        frames.write(output, bytes)
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
