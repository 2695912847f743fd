package io.camphordrum.core.admission

/**
 * Recognises callers that return after a refusal by the time that they still wait.
 *
 * A caller states how long it waits for its answer, and a returning one states what is left of that time. Any daemon
 * can thus tell how long ago the first attempt was, without state of its own about refused requests. The callers of a
 * route mostly begin with the same wait; a wait that was seen several times is a first attempt.
 */
public class ReturningCallers {
    private class Waits {
        val counts = object : LinkedHashMap<Long, Int>(MAX_WAITS, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, Int>) = size > MAX_WAITS
        }
    }

    private val routes = object : LinkedHashMap<String, Waits>(INITIAL_ROUTES, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Waits>) = size > MAX_ROUTES
    }

    /**
     * Records that a caller of [route] states to wait for [waitMillis], and returns the milliseconds since its first
     * attempt; 0 for a first attempt, or if that is not known.
     */
    public fun spentMillis(route: String, waitMillis: Long?): Long {
        if (waitMillis == null) return 0
        val counts = routes.getOrPut(route) { Waits() }.counts
        val count = counts.merge(waitMillis, 1, Int::plus) ?: 1
        if (count >= USUAL_COUNT) return 0
        // Callers return within the third of their time that they wait at most, and the first attempt before it.
        val usual = counts.filter { it.value >= USUAL_COUNT && it.key > waitMillis }.keys.minOrNull() ?: return 0
        return if (waitMillis >= usual / 2) usual - waitMillis else 0
    }

    private companion object {
        const val USUAL_COUNT = 4
        const val MAX_WAITS = 64
        const val MAX_ROUTES = 256
        const val INITIAL_ROUTES = 16
        const val LOAD_FACTOR = 0.75f
    }
}
