package io.camphordrum.wire

import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import java.util.concurrent.atomic.AtomicLong

/** Queues messages for one peer; drops and counts the oldest when the queue is full. */
internal class PeerQueue(capacity: Int, private val droppedCount: AtomicLong) {
    private val channel = Channel<PeerMessage>(capacity, BufferOverflow.DROP_OLDEST) { droppedCount.incrementAndGet() }

    fun offer(message: PeerMessage): Boolean = channel.trySend(message).isSuccess

    suspend fun receive(): PeerMessage = channel.receive()

    fun poll(): PeerMessage? = channel.tryReceive().getOrNull()
}
