package io.camphordrum.wire

import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

/** Queues messages for one peer; drops and counts the oldest when the queue is full. */
internal class PeerQueue(private val capacity: Int, private val droppedCount: AtomicLong) {
    private val messages = ArrayDeque<PeerMessage>()

    /** Whether a flush of this queue is scheduled, so that the messages of one callback are written together. */
    val flushScheduled = AtomicBoolean()

    fun offer(message: PeerMessage): Unit = synchronized(messages) {
        if (messages.size == capacity) {
            messages.removeFirst()
            droppedCount.incrementAndGet()
        }
        messages.addLast(message)
    }

    fun poll(): PeerMessage? = synchronized(messages) { messages.removeFirstOrNull() }
}
