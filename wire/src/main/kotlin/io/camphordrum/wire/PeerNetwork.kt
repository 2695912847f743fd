package io.camphordrum.wire

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.Member
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.toJavaAddress
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExecutorCoroutineDispatcher
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/**
 * Exchanges messages with daemons by peer address; messages may be lost, but stay in order within a connection.
 *
 * ```kotlin
 * val network = PeerNetwork(self, DataCentreId("a"), PeerSettings(port = 8101), PeerEvents(onMessage = ::handle))
 * network.start()
 * network.send("127.0.0.1:8102", PeerMessage.Membership(heartbeat))
 * ```
 *
 * Each address has one outgoing connection, which carries only messages of this daemon and is re-established with
 * back-off until [disconnect]. Call that for addresses of former members, because the number of addresses is limited.
 * The hello identifies a peer, without authentication.
 *
 * All work runs on one thread named `peers`, except the wait for socket readiness. That runs on a separate thread,
 * `peers-selector`, because the selector of Ktor blocks its thread and would delay messages that are ready to be sent.
 */
public class PeerNetwork(
    private val self: Member,
    private val dataCentre: DataCentreId,
    private val settings: PeerSettings,
    private val events: PeerEvents,
) {
    private class OutgoingConnection(val queue: PeerQueue, val job: Job)

    private class Listener(val port: Int, val selector: SelectorManager, val server: ServerSocket)

    private val dispatcher = singleThread("peers")
    private val selectorDispatcher = singleThread("peers-selector")
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val codec = FrameCodec(settings.maxFrameBytes)
    private val registry = PeerRegistry(events, maxInstances = 8 * settings.maxPeers)
    private val random = Random(settings.seed)
    private val outgoing = ConcurrentHashMap<String, OutgoingConnection>()
    private val droppedCount = AtomicLong()
    private var acceptedCount = 0

    @Volatile
    private var listener: Listener? = null

    /** Number of messages dropped because the queue of their peer was full. */
    public val droppedMessages: Long get() = droppedCount.get()

    /** Starts listening and returns the port; throws `IOException` when the address in the settings cannot be bound. */
    public fun start(): Int = runBlocking(dispatcher) {
        check(listener == null) { "expected a network that was not started, but it runs on port ${listener?.port}" }
        val selector = SelectorManager(selectorDispatcher)
        val server = aSocket(selector).tcp().bind(settings.host, settings.port) { reuseAddress = true }
        val port = (server.localAddress.toJavaAddress() as java.net.InetSocketAddress).port
        listener = Listener(port, selector, server)
        scope.launch { acceptAll(server) }
        port
    }

    /** Queues [message] for the peer at [address] (`host:port`); returns false when it cannot be queued. */
    public fun send(address: String, message: PeerMessage): Boolean {
        val listener = listener ?: return false
        val connection = outgoing[address] ?: connect(address, listener) ?: return false
        return connection.queue.offer(message)
    }

    /** Closes the connection to [address] and drops its queued messages; a later [send] connects again. */
    public fun disconnect(address: String) {
        outgoing.remove(address)?.job?.cancel()
    }

    /** Closes all connections and stops the threads; queued messages are lost. */
    public fun stop() {
        val oldListener = listener ?: return
        listener = null
        runBlocking {
            scope.coroutineContext.job.cancelAndJoin()
        }
        oldListener.server.close()
        oldListener.selector.close()
        selectorDispatcher.close()
        dispatcher.close()
    }

    private fun connect(address: String, listener: Listener): OutgoingConnection? {
        val colon = address.lastIndexOf(':')
        val port = address.substring(colon + 1).toIntOrNull() ?: return null
        if (colon <= 0 || port !in 1..MAX_PORT || outgoing.size >= settings.maxPeers) return null
        val remote = InetSocketAddress(address.substring(0, colon), port)
        return outgoing.computeIfAbsent(address) {
            val queue = PeerQueue(settings.queueCapacity, droppedCount)
            OutgoingConnection(queue, scope.launch { keepConnected(address, remote, queue, listener) })
        }
    }

    private suspend fun acceptAll(server: ServerSocket) {
        while (true) {
            val socket = try {
                server.accept()
            } catch (e: IOException) {
                events.onFault(settings.host, "accept failed: ${e.message}")
                delay(settings.backOffMillis)
                continue
            }
            if (acceptedCount >= settings.maxPeers) {
                // The address of a connection that its peer has closed cannot be read.
                events.onFault(settings.host, "expected at most ${settings.maxPeers} connections")
                socket.close()
            } else {
                scope.launch { runAccepted(socket) }
            }
        }
    }

    private suspend fun runAccepted(socket: Socket) {
        acceptedCount++
        try {
            endAfterError(settings.host) { runConnection(socket, socket.remoteAddress.toString(), queue = null) }
        } finally {
            acceptedCount--
        }
    }

    private suspend fun keepConnected(
        address: String,
        remote: InetSocketAddress,
        queue: PeerQueue,
        listener: Listener,
    ) {
        var failures = 0
        while (true) {
            val socket = try {
                aSocket(listener.selector).tcp().connect(remote) { noDelay = true }
            } catch (e: IOException) {
                events.onFault(address, "connect failed: ${e.message}")
                null
            }
            val hellosExchanged =
                socket != null && endAfterError(address) { runConnection(socket, address, queue) } == true
            failures = if (hellosExchanged) 0 else failures + 1
            delay(backOff(failures))
        }
    }

    // An error in the handler of a message ends the connection; it must not end the loop that connects again.
    private suspend fun <T> endAfterError(remote: String, run: suspend () -> T): T? = try {
        run()
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        events.onFault(remote, "connection ended by an error: $e")
        null
    } catch (e: StackOverflowError) {
        events.onFault(remote, "connection ended by an error: $e")
        null
    }

    /** Runs one connection until it ends, and returns whether hellos were exchanged. */
    private suspend fun runConnection(socket: Socket, remote: String, queue: PeerQueue?): Boolean {
        val hello = Hello(
            Hello.PROTOCOL_VERSION,
            self,
            dataCentre,
            settings.advertisedAddress ?: "${settings.host}:${listener?.port}",
        )
        val connection = PeerConnection(socket, remote, hello, settings, codec, registry, events)
        var peer: Hello? = null
        var reason = "stopped"
        try {
            peer = connection.open() ?: return false
            reason = exchange(connection, peer, queue)
        } finally {
            connection.close()
            peer?.let { registry.unregister(it, reason) }
        }
        return true
    }

    private suspend fun exchange(connection: PeerConnection, peer: Hello, queue: PeerQueue?): String = coroutineScope {
        val sender = queue?.let { launch { sendUntilFailure(connection, it) } }
        val reason = connection.receive(peer)
        sender?.cancel()
        reason
    }

    // Closing the connection also ends the receiving side, which reports the reason of the failure.
    private suspend fun sendUntilFailure(connection: PeerConnection, queue: PeerQueue) {
        try {
            connection.sendAll(queue)
        } catch (e: IOException) {
            connection.close()
        }
    }

    private fun backOff(failures: Int): Long {
        val uncappedMillis = settings.backOffMillis shl failures.coerceAtMost(MAX_DOUBLINGS)
        val delayMillis = uncappedMillis.coerceAtMost(settings.maxBackOffMillis).coerceAtLeast(2)
        return delayMillis / 2 + random.nextLong(delayMillis / 2 + 1)
    }

    private fun singleThread(name: String): ExecutorCoroutineDispatcher =
        Executors.newSingleThreadExecutor { Thread(it, name).apply { isDaemon = true } }.asCoroutineDispatcher()

    private companion object {
        const val MAX_PORT = 65_535
        const val MAX_DOUBLINGS = 16
    }
}
