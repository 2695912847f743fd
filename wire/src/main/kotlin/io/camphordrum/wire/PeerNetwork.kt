package io.camphordrum.wire

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.Member
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.toJavaAddress
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
 * Exchanges messages with the daemons at given peer addresses; loss is allowed, order holds within a connection.
 *
 * ```kotlin
 * val network = PeerNetwork(self, DataCentreId("a"), PeerSettings(port = 8101), PeerEvents(onMessage = ::handle))
 * network.start()
 * network.send("127.0.0.1:8102", PeerMessage.Membership(heartbeat))
 * ```
 *
 * There is one outgoing connection for each address; it carries messages of this daemon only, and is made again with
 * back-off until [forget]. An address that belongs to no member any more should be forgotten, because their number is
 * limited. A peer is known by what its hello says; nothing proves it.
 *
 * Everything but the wait for socket readiness runs on one thread named `peers`. That wait has a thread of its own,
 * `peers-selector`, because Ktor's selector blocks its thread and would delay messages that are ready to be sent.
 */
public class PeerNetwork(
    private val self: Member,
    private val dataCentre: DataCentreId,
    private val settings: PeerSettings,
    private val events: PeerEvents,
) {
    private class Link(val queue: PeerQueue, val job: Job)

    private class Running(val port: Int, val selector: SelectorManager, val server: ServerSocket)

    private val dispatcher = singleThread("peers")
    private val selectorDispatcher = singleThread("peers-selector")
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val frames = Frames(settings.maxFrameBytes)
    private val registry = PeerRegistry(events, maxInstances = 8 * settings.maxPeers)
    private val random = Random(settings.seed)
    private val links = ConcurrentHashMap<String, Link>()
    private val dropped = AtomicLong()
    private var accepted = 0

    @Volatile
    private var running: Running? = null

    /** Counts messages that were dropped because the queue of their peer was full. */
    public val droppedMessages: Long get() = dropped.get()

    /** Listens on the settings' address and returns the port; throws `IOException` when the address cannot be bound. */
    public fun start(): Int = runBlocking(dispatcher) {
        check(running == null) { "expected a network that was not started, but it runs on port ${running?.port}" }
        val selector = SelectorManager(selectorDispatcher)
        val server = aSocket(selector).tcp().bind(settings.host, settings.port) { reuseAddress = true }
        val port = (server.localAddress.toJavaAddress() as java.net.InetSocketAddress).port
        running = Running(port, selector, server)
        scope.launch { acceptAll(server) }
        port
    }

    /** Queues [message] for the peer at [address] (`host:port`); returns false when it cannot be accepted. */
    public fun send(address: String, message: PeerMessage): Boolean {
        val running = running ?: return false
        val link = links[address] ?: connect(address, running) ?: return false
        return link.queue.offer(message)
    }

    /** Ends the connection to [address] and drops what waits for it; a later [send] connects again. */
    public fun forget(address: String) {
        links.remove(address)?.job?.cancel()
    }

    /** Closes all connections and ends the threads; queued messages are lost. */
    public fun stop() {
        val stopped = running ?: return
        running = null
        runBlocking {
            scope.coroutineContext.job.cancelAndJoin()
        }
        stopped.server.close()
        stopped.selector.close()
        selectorDispatcher.close()
        dispatcher.close()
    }

    private fun connect(address: String, running: Running): Link? {
        val colon = address.lastIndexOf(':')
        val port = address.substring(colon + 1).toIntOrNull() ?: return null
        if (colon <= 0 || port !in 1..MAX_PORT || links.size >= settings.maxPeers) return null
        val remote = InetSocketAddress(address.substring(0, colon), port)
        return links.computeIfAbsent(address) {
            val queue = PeerQueue(settings.queueSlots, dropped)
            Link(queue, scope.launch { keepConnected(address, remote, queue, running) })
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
            if (accepted >= settings.maxPeers) {
                events.onFault(socket.remoteAddress.toString(), "expected at most ${settings.maxPeers} connections")
                socket.close()
            } else {
                scope.launch { serve(socket) }
            }
        }
    }

    private suspend fun serve(socket: Socket) {
        accepted++
        try {
            converse(socket, socket.remoteAddress.toString(), queue = null)
        } finally {
            accepted--
        }
    }

    private suspend fun keepConnected(
        address: String,
        remote: InetSocketAddress,
        queue: PeerQueue,
        running: Running,
    ) {
        var failures = 0
        while (true) {
            val socket = try {
                aSocket(running.selector).tcp().connect(remote) { noDelay = true }
            } catch (e: IOException) {
                events.onFault(address, "connect failed: ${e.message}")
                null
            }
            val up = socket != null && converse(socket, address, queue)
            failures = if (up) 0 else failures + 1
            delay(backOff(failures))
        }
    }

    /** Runs one connection to its end, and returns whether hellos were exchanged. */
    private suspend fun converse(socket: Socket, remote: String, queue: PeerQueue?): Boolean {
        val hello = Hello(
            Hello.PROTOCOL_VERSION,
            self,
            dataCentre,
            settings.advertised ?: "${settings.host}:${running?.port}",
        )
        val connection = PeerConnection(socket, remote, hello, settings, frames, registry, events)
        var peer: Hello? = null
        var reason = "stopped"
        try {
            peer = connection.open() ?: return false
            reason = exchange(connection, peer, queue)
        } finally {
            connection.close()
            peer?.let { registry.closed(it, reason) }
        }
        return true
    }

    private suspend fun exchange(connection: PeerConnection, peer: Hello, queue: PeerQueue?): String = coroutineScope {
        val sender = queue?.let { launch { sendQuietly(connection, it) } }
        val reason = connection.receive(peer)
        sender?.cancel()
        reason
    }

    // A failed write also ends the read side, which reports the reason.
    private suspend fun sendQuietly(connection: PeerConnection, queue: PeerQueue) {
        try {
            connection.sendAll(queue)
        } catch (e: IOException) {
            connection.close()
        }
    }

    private fun backOff(failures: Int): Long {
        val full = settings.backOffMillis shl failures.coerceAtMost(MAX_DOUBLINGS)
        val capped = full.coerceAtMost(settings.maxBackOffMillis).coerceAtLeast(2)
        return capped / 2 + random.nextLong(capped / 2 + 1)
    }

    private fun singleThread(name: String): ExecutorCoroutineDispatcher =
        Executors.newSingleThreadExecutor { Thread(it, name).apply { isDaemon = true } }.asCoroutineDispatcher()

    private companion object {
        const val MAX_PORT = 65_535
        const val MAX_DOUBLINGS = 16
    }
}
