package io.camphordrum.core.request

import java.util.PriorityQueue

/** Orders points in time at which requests need attention; times may be stale, and the reader checks them. */
internal class Deadlines {
    private class Entry(val at: Long, val request: Long)

    private val queue = PriorityQueue<Entry> { a, b -> java.lang.Long.signum(a.at - b.at) }

    fun add(at: Long, request: Long) {
        queue.add(Entry(at, request))
    }

    /** Removes and returns the requests whose time has come. */
    fun due(now: Long): List<Long> {
        if (queue.isEmpty() || queue.peek().at - now > 0) return emptyList()
        val due = ArrayList<Long>()
        while (queue.isNotEmpty() && queue.peek().at - now <= 0) due += queue.poll().request
        return due
    }
}
