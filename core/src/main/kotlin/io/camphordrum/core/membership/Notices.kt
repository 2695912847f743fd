package io.camphordrum.core.membership

import io.camphordrum.core.Member

/** Limits how often the same generation is sent to the same member. */
internal class Notices {
    private class Sent(val at: Long, val number: Long)

    private val sent = object : LinkedHashMap<Member, Sent>() {
        override fun removeEldestEntry(eldest: Map.Entry<Member, Sent>): Boolean = size > Membership.MAX_MEMBERS
    }

    /** Tells whether the generation with [number] should be sent to [to], and notes that it is. */
    fun shouldSend(now: Long, to: Member, number: Long): Boolean {
        val last = sent[to]
        if (last != null && last.number == number && now - last.at < SPACING_NANOS) return false
        sent.remove(to)
        sent[to] = Sent(now, number)
        return true
    }

    private companion object {
        const val SPACING_NANOS = 500_000_000L
    }
}
