package io.camphordrum.core.serving

/** Records what one endpoint of a [LimitedFleet] receives, and checks the platform's rules for it. */
internal class LimitedReplica(val record: EndpointRecord) {
    /** A request that reached the endpoint. */
    class Arrival(val nanos: Long, val daemon: String)

    val arrivals = ArrayList<Arrival>()

    /** Requests a second that its answers announce from [limitedFromNanos] on; null if they announce no limit. */
    var limit: Double? = null
    var limitedFromNanos = 0L

    /** When each daemon first passed on an answer that announces the limit. */
    val toldNanos = HashMap<String, Long>()

    /** When it was last cold; empty if it has never been. */
    var coldNanos = LongRange.EMPTY

    /** Whether it turns one in four requests away without running them. */
    var turnsAway = false

    /**
     * Returns the window with the most requests if these exceed the announced limit.
     *
     * Counts the requests of daemons that had passed on an announcement half a second before or earlier, from the
     * contact time after the first announcement on.
     */
    fun violation(isExcused: (Arrival) -> Boolean): String? {
        val perSecond = limit ?: return null
        val firstNanos = toldNanos.values.minOrNull() ?: return null
        val counted = arrivals.filter { arrival ->
            val told = toldNanos[arrival.daemon]
            told != null &&
                arrival.nanos >= maxOf(firstNanos + CONTACT_NANOS, told + TOLD_NANOS) &&
                !isExcused(arrival)
        }.map { it.nanos }
        val worstNanos = counted.maxByOrNull { counted.countFrom(it, WINDOW_NANOS) } ?: return null
        val count = counted.countFrom(worstNanos, WINDOW_NANOS)
        val allowed = perSecond * WINDOW_NANOS / 1e9 * RULE_FACTOR + RULE_SLACK
        if (count <= allowed) return null
        val seconds = (worstNanos - limitedFromNanos) / 1e9
        return "${record.id.name}: $count requests in 4 s from $seconds s on, allowed $allowed"
    }

    /** Returns the most requests that arrived in a second while the endpoint was cold. */
    fun mostInColdSecond(): Int {
        val cold = arrivals.map { it.nanos }.filter { it in coldNanos }
        return cold.maxOfOrNull { cold.countFrom(it, SECOND_NANOS) } ?: 0
    }

    private fun List<Long>.countFrom(startNanos: Long, windowNanos: Long) =
        count { it - startNanos in 0 until windowNanos }

    companion object {
        /** The platform's contact time. */
        const val CONTACT_NANOS = 3_000_000_000L

        // The platform's rule LIMIT.
        private const val WINDOW_NANOS = 4_000_000_000L
        private const val RULE_FACTOR = 1.5
        private const val RULE_SLACK = 5
        private const val TOLD_NANOS = 500_000_000L
        private const val SECOND_NANOS = 1_000_000_000L
    }
}
