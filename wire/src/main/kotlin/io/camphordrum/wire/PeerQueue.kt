package io.camphordrum.wire

import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import java.util.concurrent.atomic.AtomicLong

/** Holds messages that wait for one peer; drops and counts the oldest when it is full. */
internal class PeerQueue(slots: Int, private val dropped: AtomicLong) {
    private val channel = Channel<PeerMessage>(slots, BufferOverflow.DROP_OLDEST) { dropped.incrementAndGet() }

    fun offer(message: PeerMessage): Boolean = channel.trySend(message).isSuccess

    suspend fun receive(): PeerMessage = channel.receive()

    fun poll(): PeerMessage? = channel.tryReceive().getOrNull()
}
