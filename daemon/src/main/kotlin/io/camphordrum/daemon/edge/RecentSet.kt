package io.camphordrum.daemon.edge

/** Holds the [capacity] distinct texts added last. */
internal class RecentSet(private val capacity: Int) {
    private val texts = LinkedHashSet<String>()

    operator fun contains(text: String): Boolean = text in texts

    /** Adds [text] and removes the oldest text above [capacity]; returns false if [text] is already present. */
    fun add(text: String): Boolean {
        if (!texts.add(text)) return false
        if (texts.size > capacity) texts.remove(texts.first())
        return true
    }
}
