package io.camphordrum.core.request

import java.util.PriorityQueue

/** Orders the timers of requests; a timer may be outdated, so the reader must check it. */
internal class TimerQueue {
    private class Timer(val dueNanos: Long, val request: Long)

    private val queue = PriorityQueue<Timer> { a, b -> java.lang.Long.signum(a.dueNanos - b.dueNanos) }

    fun add(dueNanos: Long, request: Long) {
        queue.add(Timer(dueNanos, request))
    }

    /** Removes and returns the requests whose timers are due. */
    fun due(now: Long): List<Long> {
        if (queue.isEmpty() || queue.peek().dueNanos - now > 0) return emptyList()
        val due = ArrayList<Long>()
        while (queue.isNotEmpty() && queue.peek().dueNanos - now <= 0) due += queue.poll().request
        return due
    }
}
