package io.camphordrum.daemon.edge

/** Remembers the ids of requests that a connection carried, because an endpoint may repeat their answers on it. */
internal class AnsweredIds {
    private val refused = HashSet<String>()
    private val recentSuccesses = RecentSet(MAX_RECENT_SUCCESSES)

    /** Whether no further refusal fits; the connection must not be reused then. */
    val isFull get() = refused.size >= MAX_REFUSED

    operator fun contains(id: String): Boolean = id in refused || id in recentSuccesses

    /** Adds an answered [id]; only the most recent successes are kept, because their repetition promises nothing. */
    fun add(id: String, success: Boolean) {
        if (success) recentSuccesses.add(id) else refused.add(id)
    }

    private companion object {
        // Ids are short texts, so these take a few kilobytes for each connection.
        const val MAX_REFUSED = 64
        const val MAX_RECENT_SUCCESSES = 32
    }
}
