package io.camphordrum.core.membership

import io.camphordrum.core.Member

/** Limits how often the same generation is sent to the same member; evicts the least recently notified member. */
internal class NoticeLimiter {
    private class Sent(val at: Long, val number: Long)

    private val sent = object : LinkedHashMap<Member, Sent>() {
        override fun removeEldestEntry(eldest: Map.Entry<Member, Sent>): Boolean = size > Membership.MAX_MEMBERS
    }

    /** Returns whether the generation with [number] may be sent to [to], and if so records the sending. */
    fun tryAcquire(now: Long, to: Member, number: Long): Boolean {
        val last = sent[to]
        if (last != null && last.number == number && now - last.at < MIN_INTERVAL_NANOS) return false
        sent.remove(to)
        sent[to] = Sent(now, number)
        return true
    }

    private companion object {
        const val MIN_INTERVAL_NANOS = 500_000_000L
    }
}
