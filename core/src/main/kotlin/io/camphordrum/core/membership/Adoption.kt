package io.camphordrum.core.membership

import io.camphordrum.core.Member

/** Tracks which generation each listed member is known to have adopted; adoption never goes back. */
internal class Adoption {
    private val numbers = HashMap<Member, Long>()

    /** Forgets members that [view] does not list. */
    fun retain(view: RecordView) {
        numbers.keys.retainAll { view.state(it) != null }
    }

    fun adopted(member: Member, number: Long) {
        numbers.merge(member, number, ::maxOf)
    }

    /** Returns a generation that [member] is known to have adopted. */
    fun of(member: Member, view: RecordView): Long = maxOf(numbers[member] ?: view.floor, view.floor)

    /** Returns the latest generation that all listed members are known to have adopted. */
    fun settled(view: RecordView): Long = view.generation.members.minOfOrNull { of(it.member, view) } ?: view.number

    /** Returns the members that adopted the current generation as a bit set over their positions. */
    fun bits(view: RecordView): List<Long> {
        val members = view.generation.members
        val words = LongArray((members.size + WORD - 1) / WORD)
        for ((i, entry) in members.withIndex()) {
            if (of(entry.member, view) >= view.number) words[i / WORD] = words[i / WORD] or (1L shl i % WORD)
        }
        return words.asList()
    }

    /** Takes over [bits] that another member reported for the same generation. */
    fun merge(bits: List<Long>, view: RecordView) {
        for ((i, entry) in view.generation.members.withIndex()) {
            val word = bits.getOrNull(i / WORD) ?: return
            if (word ushr i % WORD and 1L == 1L) adopted(entry.member, view.number)
        }
    }

    private companion object {
        const val WORD = 64
    }
}
