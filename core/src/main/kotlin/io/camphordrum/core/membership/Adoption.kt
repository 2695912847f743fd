package io.camphordrum.core.membership

import io.camphordrum.core.Member

/** Tracks the latest generation that each listed member is known to have adopted; the number never decreases. */
internal class Adoption {
    private val adoptedNumbers = HashMap<Member, Long>()

    /** Removes the members that [view] does not list. */
    fun retainListed(view: RecordView) {
        adoptedNumbers.keys.retainAll { view.state(it) != null }
    }

    fun recordAdopted(member: Member, number: Long) {
        adoptedNumbers.merge(member, number, ::maxOf)
    }

    /** Returns the latest generation that [member] is known to have adopted. */
    fun adoptedNumber(member: Member, view: RecordView): Long =
        maxOf(adoptedNumbers[member] ?: view.oldestNumber, view.oldestNumber)

    /** Returns the latest generation that all listed members are known to have adopted. */
    fun newestAdoptedByAll(view: RecordView): Long =
        view.generation.members.minOfOrNull { adoptedNumber(it.member, view) } ?: view.number

    /** Returns the members that adopted the current generation as a bit set over their list positions. */
    fun toBitSet(view: RecordView): List<Long> {
        val members = view.generation.members
        val words = LongArray((members.size + WORD_BITS - 1) / WORD_BITS)
        for ((i, entry) in members.withIndex()) {
            if (adoptedNumber(entry.member, view) >= view.number) {
                words[i / WORD_BITS] = words[i / WORD_BITS] or (1L shl i % WORD_BITS)
            }
        }
        return words.asList()
    }

    /** Merges the [bitSet] that another member reported for the same generation. */
    fun merge(bitSet: List<Long>, view: RecordView) {
        for ((i, entry) in view.generation.members.withIndex()) {
            val word = bitSet.getOrNull(i / WORD_BITS) ?: return
            if (word ushr i % WORD_BITS and 1L == 1L) recordAdopted(entry.member, view.number)
        }
    }

    private companion object {
        const val WORD_BITS = 64
    }
}
